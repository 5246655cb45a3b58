"""A new version under load: the process that serves hands everything to the one that was started beside it.

Only imported where the configuration names a `console`. Passed on are the journal, the listener, clients' connections
with what came of a request, the list, waits, and the outcomes of calls that are still out. Reading order: `states`
(decisions, no I/O), `channel` (packets with descriptors), `source` (the process that serves), `target` (the new one).
"""
