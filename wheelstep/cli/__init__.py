"""The command line `umberchute`. Each command imports its dependencies only when it runs: extras stay optional."""
