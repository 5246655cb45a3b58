"""A part of the channels moves from one courier to another: two machines, the giver's and the taker's, without I/O.

Reading order: `types` (what travels), `steps`, `asking`, `giver`, `staged` and `taker`, `swap`.
"""
