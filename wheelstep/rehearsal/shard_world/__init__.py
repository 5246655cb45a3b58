"""Simulation of a sharded fleet in one process and one thread.

It runs the daemons' asyncio code on event loops in virtual time, with network, disks, partners, clients and faults
drawn from one seed. The same seed gives the same run.

Imports `wheelstep.shards`, `wheelstep.forwarding` and `wheelstep.fleet`; nothing of the daemon imports it. Reading
order: `world` (time), `loop`, `clock`, `process`, `pipe`, `net`, `partners`, `discovery`, `disk`, `shelf`, `door`,
`courier`, `control`, `clients`, `faults`, `check` (the invariants), `run`, `broken` (incorrect variants).
"""
