"""One courier on several cores: a supervisor and worker processes behind one address. The destinations are divided
into shares, and each share has at most one worker that owns it at any time. Imports the courier, `forwarding` and the
journal; only `umberchute serve --workers N` imports it, and `umberchute workers merge` its `layout`.

Reading order: `ownership` (decisions, no I/O), `layout` (folders), `journals`, `parts`, `frames` and `between`
(communication between processes), `worker`, `supervisor`, `start`.
"""
