"""Rehearsals of a fleet: real couriers that share channels, faults between them, and a judge of what was seen.

Reading order: `faults` (a link's weather), `relays` (the links), `history` and `judge` (facts and verdict), `partner`
and `clients` (stand-ins that know channels), `scenes` (what is played), `courier` and `runner` (processes with bad
clocks and disks), `rig` (plays a scene).
"""
