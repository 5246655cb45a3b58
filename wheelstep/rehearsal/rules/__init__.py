"""The judge's rules, one file each. Each has `findings`, which yields the violations found in the evidence.

They import `evidence`, `verdict`, `history` and `warmth`, but not each other.
"""
