"""Computes `docs/CAPACITY.md`: `results` reads result files and formats figures, `parts` and `after` look up figures of
single measurements and of scale runs, and the other modules make the page's sections. The command is
`benchmarks/capacity.py`. Sentences that go into the page are compared by a test.
"""
