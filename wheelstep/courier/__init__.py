"""The real courier: sockets, the list and the journal round the decision module."""
