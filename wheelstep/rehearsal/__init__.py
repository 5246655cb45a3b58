"""The rehearsal kit: plays partners, platform and clients on loopback and judges a courier by the six rules.

May import `wheelstep.recording`; the daemon imports nothing of it, and the judge nothing of the daemon. Reading
order: `scenario` (what is asked for), `planned` and `plan` (all that is drawn), `rig` (plays it), `history`,
`judge` (with `evidence`, `rules` and `verdict`), `report`.
"""
