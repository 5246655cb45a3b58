"""Exit codes, and the error for wrong usage."""

from __future__ import annotations

OK, BROKEN, BAD_INPUT, INCONCLUSIVE, INTERRUPTED = 0, 1, 2, 3, 130


class InputError(Exception):
    """Wrong usage or invalid input; the message is printed on one line and the exit code is `BAD_INPUT`."""
