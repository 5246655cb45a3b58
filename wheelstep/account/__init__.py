"""The loss account: where messages lost value, computed from lines in the couriers' logs. Off unless an operator
enables it.

A courier imports only `lines` (the line format) and `writer` (the daemon's side). `timeline` (with `spans` and `log`)
attributes a message's time to causes, `tally` sums over messages; these do no I/O. `umberchute account` reads the logs.
"""
