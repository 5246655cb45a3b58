"""Moves a part of the channels from one courier (the giver) to another (the taker): two state machines without I/O.
The register is the couriers' agreed record of the owner and epoch of each part. The giver reads and shuts its part only
through `wheelstep.fleet.content.Content`.

Reading order: `types` (the messages), `steps`, `asking`, `giver`, `staged` and `taker`, `swap`.
"""
