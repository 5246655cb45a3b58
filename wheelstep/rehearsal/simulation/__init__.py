"""A fleet in one process and one thread: network, clocks, disks and crashes drawn from one seed, around the decision
modules that the daemon runs. The same seed plays the same run, event by event.

Imports `wheelstep.fleet`, `wheelstep.moves` and `wheelstep.channels`; nothing of the daemon imports it. Reading order:
`world` (time and links), `disk`, `ports`, `machine` (a process around a node),
`store`, `attempts`, `content`, `partners`, `clients`, `faults`
(what is drawn), `check` (the invariants), `run`, `nodes`. Apart from these: `membership_world`, membership alone.
"""
