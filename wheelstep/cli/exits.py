"""Exit codes, and the error that means wrong use."""

from __future__ import annotations

OK, BROKEN, BAD_INPUT, INCONCLUSIVE, INTERRUPTED = 0, 1, 2, 3, 130


class InputError(Exception):
    """Wrong use or bad input, told on one line."""
