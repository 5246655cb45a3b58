"""The courier's process: sockets, discovery's list and the journal around the decision module."""
