"""The rehearsal kit: plays partners, platform and clients on loopback and judges a courier by six rules.

It may import `wheelstep.recording`. The daemon imports nothing of the kit, and the judge nothing of the daemon.
Reading order: `scenario` (the file format), `planned` and `plan` (the events drawn from it), `rig` (plays them),
`history`, `judge` (with `evidence`, `rules` and `verdict`), `report`.
"""
