"""Rehearsals of a fleet: real couriers that share channels, faults of links and processes, and a judge of the history.

Reading order: `faults` (the faults of a link), `relays` (the links), `history` and `judge` (facts and verdict),
`partner` and `clients` (stand-ins that know channels), `scenes` (the scenes by name), `courier` and `runner` (processes
with faulty clocks and disks), `rig` (runs a scene).
"""
