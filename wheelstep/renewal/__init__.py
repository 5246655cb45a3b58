"""Changing settings under load: validating a new file, and which class rules apply to which message.

No I/O; only imported at the first SIGHUP, or where an earlier process had such a change. Reading order: `files`,
`classes`.
"""
