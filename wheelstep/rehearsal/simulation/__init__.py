"""Simulates a fleet in one process and one thread. The decision modules are those that the daemon runs; network,
clocks, disks and crashes are simulated and drawn from one seed. The same seed gives the same run, event by event.

Imports `wheelstep.fleet`, `wheelstep.moves` and `wheelstep.channels`; no module of the daemon imports it. Reading
order: `world` (time and links), `disk`, `ports`, `machine` (a process around a node), `store`, `attempts`, `content`,
`partners`, `clients`, `faults`, `check` (the invariants), `run`, `nodes`. `membership_world` stands alone and simulates
membership only.
"""
