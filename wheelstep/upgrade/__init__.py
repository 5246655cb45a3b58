"""Upgrade under load: the serving process hands everything over to a new process started beside it.

Only imported where the configuration names a `console`. Handed over are the journal, the listener, client connections
with partially received requests, the endpoint list, endpoint waits, and the outcomes of calls that are still in flight.
Reading order: `states` (decisions, no I/O), `channel` (packets with descriptors), `source` (the serving process),
`target` (the new process).
"""
