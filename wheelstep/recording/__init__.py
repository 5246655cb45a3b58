"""Records of what a courier was handed: time, class, destination, key, size and deadline, for a later rehearsal.

`format` is the codec, without I/O; `writer` is the daemon's side. Neither imports the daemon or the rehearsal kit.
"""
