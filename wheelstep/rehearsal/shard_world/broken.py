"""Variants of the code under test that are wrong on purpose: each has to be caught."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator, Mapping

VARIANTS: Mapping[str, Callable[[], contextlib.AbstractContextManager[None]]] = {}


@contextlib.contextmanager
def variant(name: str) -> Iterator[None]:
    """Within it the code is wrong in that way; "" leaves it as it is."""
    if not name:
        yield
        return
    with VARIANTS[name]():
        yield
