"""A soak test: random, overlapping faults on real couriers, checked by the judge's six rules and the couriers' own
run-time invariants.

Reading order: `plan` (draws settings, traffic and faults from a seed), `control` and `faulty` (faults inside a
courier's process: its wall clock, sockets and disk), `courier` (restarts and upgrades of one courier), `run` (runs a
plan and returns its verdict).
"""
