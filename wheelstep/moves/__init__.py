"""Moves a part of the channels from one courier (the giver) to another (the taker): two state machines without I/O.

Reading order: `types` (the messages), `steps`, `asking`, `giver`, `staged` and `taker`, `swap`.
"""
