"""Couriers that share work: who is there, and who owns which part of the channels. Off unless the operator's file has
`[fleet]`.

Reading order: `types` (what travels and what is asked for), `packets` (sealed and opened), `membership` (who is alive),
`register` and `owner` (leases on parts), `assignment` (who should own what), `node` (all of it together, without I/O),
`daemon` (its sockets and files).
"""
