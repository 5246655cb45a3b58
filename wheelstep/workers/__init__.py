"""One courier on several cores: a supervisor and worker processes behind one address. Each share of the destinations
has at most one owner at any time. Imports the courier, `forwarding` and the journal; only `umberchute serve
--workers N` imports it.

Reading order: `ownership` (decisions, no I/O), `layout` (folders), `journals`, `parts`, `frames` and `between`
(communication between processes), `worker`, `supervisor`, `start`.
"""
