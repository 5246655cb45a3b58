"""What the tests of the journal share."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

from wheelstep.journal import StoredMessage


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    """Keep the journal's log out of the tests that injected errors."""
    logging.getLogger("wheelstep.journal").setLevel(logging.CRITICAL)
    yield
    logging.getLogger("wheelstep.journal").setLevel(logging.NOTSET)


def message(name: str, size: int = 100, **fields: object) -> StoredMessage:
    return StoredMessage(name, "c", 7, 1000, "k", None, False, b"x" * size, **fields)  # type: ignore[arg-type]
