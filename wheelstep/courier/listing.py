"""What discovery writes, as entries of the list. No I/O."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Any

from wheelstep import interface as api
from wheelstep.courier.config import UNREADABLE, Address, Names

log = logging.getLogger(__name__)


def entries(data: Mapping[str, Any], names: Names) -> list[tuple[api.EndpointInfo, Address]]:
    """The entries of a list that can be read."""
    found = []
    rows = data.get("hosts") or ()
    if not isinstance(rows, list | tuple):
        raise ValueError("hosts is no list")
    for row in rows:
        try:
            found.append(names.entry(row))
        except UNREADABLE as error:
            log.warning("discovery: passed over %.200r: %r", row, error)
    return found
