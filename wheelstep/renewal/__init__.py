"""New settings under load: may a renewed file be used, and which class's rules bind which message.

No I/O; only imported at the first SIGHUP, or where an earlier process had such a change. Reading order: `files`,
`classes`.
"""
