"""A standalone courier's endpoints as the list that the core is given, and what a new file changes in it. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from wheelstep import interface as api
from wheelstep.courier.config import Address
from wheelstep.courier.rows import Row
from wheelstep.standalone.model import Standalone, destination_number
from wheelstep.standalone.settings import kind_name


def rows_of(found: Standalone, names: Sequence[str]) -> list[Row]:
    """The file's endpoints as the list that the core is given; `names` are the kinds in the order of the settings."""
    return [(api.EndpointInfo(
        endpoint=f"{name}/{text}", destination=destination_number(name),
        kind=names.index(kind_name(part.batch, part.routes_apart)),
        state=api.EndpointState.DRAINING if text in part.drain else api.EndpointState.UP), Address.parse(text))
        for name, part in found.destinations.items() for text in part.endpoints]


def changes(before: Sequence[Row], after: Sequence[Row]) -> list[Row]:
    """What became of the one list on the way to the other: first those that have gone or drain."""
    known, wanted = {row[0].endpoint: row for row in before}, {row[0].endpoint: row for row in after}
    gone = [(replace(info, state=api.EndpointState.REMOVED), address) for name, (info, address) in known.items()
            if name not in wanted]
    fresh = [row for name, row in wanted.items() if known.get(name) != row]
    return gone + sorted(fresh, key=lambda row: row[0].state is api.EndpointState.UP)
