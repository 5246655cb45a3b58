"""`docs/CAPACITY.md`, computed: `results` (files, figures and how they are written), `parts` (what single runs say of
the size) and `after`, then the page's sections. `benchmarks/capacity.py` is the command.
"""
