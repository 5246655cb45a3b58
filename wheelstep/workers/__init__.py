"""One courier on many cores: a supervisor and worker processes behind one address, each share of the destinations with
one owner at any time. Imports the courier, `forwarding` and the journal; nothing imports it but `umberchute serve
--workers N`.

Reading order: `ownership` (decisions, no I/O), `layout` (folders), `journals`, `parts`, `frames` and `between`
(between processes), `worker`, `supervisor`, `start`.
"""
