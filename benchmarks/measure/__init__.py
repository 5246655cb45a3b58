"""Commands that measure single parts of a courier at several sizes and write result files for `benchmarks/capacity.py`.

`result` writes the files and runs each size in its own process. The commands are `destinations` (list and module),
`held` (held messages), `placement`, `voters`, `membership`, `members`, `windows`, `deaths`, `list_server`, `changes`,
`zones`.
"""
