"""A soak of random, overlapping faults over real couriers, judged by the six rules and the run-time invariants.

Reading order: `plan` (what goes wrong when, from a seed), `control` and `faulty` (faults inside a courier's process:
its wall clock, sockets, disk), `courier` (restarts and new versions of one courier), `run` (a play and its verdict).
"""
