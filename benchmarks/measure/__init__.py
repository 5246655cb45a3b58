"""Commands that measure single parts at size, and write result files for `benchmarks/capacity.py`.

`result` (files, a process for each size), `destinations` (list and module), `held` (held messages), `placement`,
`voters`, `membership`, `members`, `deaths`, `list_server`, `changes`, `zones`.
"""
