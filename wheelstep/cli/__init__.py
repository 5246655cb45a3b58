"""The command line `umberchute`. Each command imports what it needs, and only when it is called."""
