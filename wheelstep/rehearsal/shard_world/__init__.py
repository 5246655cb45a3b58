"""Simulates a sharded fleet in one process and one thread. The asyncio code that daemons run is executed on event loops
in virtual time; network, disks, partners, clients and faults are drawn from one seed. The same seed gives the same run.

Imports `wheelstep.shards`, `wheelstep.forwarding` and `wheelstep.fleet`; no module of the daemon imports it. Reading
order: `world` (time), `loop`, `clock`, `process`, `pipe`, `net`, `partners`, `discovery`, `disk`, `shelf` (messages
and their calls), `door` (client requests), `courier`, `control`, `clients`, `faults`, `check` (the invariants),
`final`, `reach`, `run`, `broken`.
"""
