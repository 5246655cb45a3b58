"""The endpoint list of a standalone courier for the core, and the changes between two such lists. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from wheelstep import interface as api
from wheelstep.courier.config import Address
from wheelstep.courier.rows import Row
from wheelstep.standalone.model import Standalone, destination_number
from wheelstep.standalone.settings import kind_name


def rows_of(file_config: Standalone, kinds: Sequence[str]) -> list[Row]:
    """Return the file's endpoints as rows for the core; `kinds` are kind names in the order of the settings."""
    return [(api.EndpointInfo(
        endpoint=f"{name}/{text}", destination=destination_number(name),
        kind=kinds.index(kind_name(part.batch, part.routes_apart)),
        state=api.EndpointState.DRAINING if text in part.drain else api.EndpointState.UP), Address.parse(text))
        for name, part in file_config.destinations.items() for text in part.endpoints]


def changes(before: Sequence[Row], after: Sequence[Row]) -> list[Row]:
    """Return the rows that turn the list `before` into `after`, removed and draining endpoints first."""
    old_rows, new_rows = {row[0].endpoint: row for row in before}, {row[0].endpoint: row for row in after}
    removed = [(replace(info, state=api.EndpointState.REMOVED), address) for name, (info, address) in old_rows.items()
               if name not in new_rows]
    changed = [row for name, row in new_rows.items() if old_rows.get(name) != row]
    return removed + sorted(changed, key=lambda row: row[0].state is api.EndpointState.UP)
