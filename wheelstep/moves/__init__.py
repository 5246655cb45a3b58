"""A part of the channels moves from one courier to another: two machines, the giver's and the taker's, without I/O.

Reading order: `types` (steps and what travels), `giver`, `taker`.
"""
