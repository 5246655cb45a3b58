"""Recordings of a courier's input: time, class, destination, key, size and deadline of each message, for later replay.

`format` is the codec, without I/O; `writer` is the daemon's side. Neither imports the daemon or the rehearsal kit.
"""
