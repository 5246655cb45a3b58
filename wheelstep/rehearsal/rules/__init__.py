"""One file for each rule of the judge. Each has `findings`: the breaches that the evidence shows.

They import `evidence`, `verdict` and `history`, and nothing of each other.
"""
