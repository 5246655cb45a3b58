"""Which endpoint has an address. No I/O.

A new process may come up at the address of one that has gone, under another name and for another destination, before
discovery tells that the old one has left. What is meant for the old one would go to the new one. Of two entries with
one address, the one that started last has it; entries that started at the same time, or long ago, share it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import replace

from wheelstep import interface as api
from wheelstep.courier.config import Address
from wheelstep.courier.rows import Row

log = logging.getLogger(__name__)

OnRows = Callable[[api.ListKind, list[Row]], None]


class AddressOwners:
    """Passes discovery's rows on, without endpoints whose address another one has taken over."""

    def __init__(self, on_rows: OnRows) -> None:
        self._on_rows = on_rows
        self._rows: dict[Address, dict[str, Row]] = {}  # present entries, by address and endpoint
        self._addresses: dict[str, Address] = {}  # by endpoint

    def listed(self, kind: api.ListKind, rows: list[Row]) -> None:
        """Take a list, or changes to one."""
        if kind is api.ListKind.CHANGES:
            self._on_rows(kind, [found for row in rows for found in self._changed(row)])
            return
        self._rows.clear()
        self._addresses.clear()
        for row in rows:
            self._store(row)
        self._on_rows(kind, [row for row in rows if self._has_address(row)])

    def _changed(self, row: Row) -> Iterable[Row]:
        """Yield a change as it is to be applied, and the ends of the endpoints that have lost their address by it."""
        info, address = row
        if info.state is api.EndpointState.REMOVED:
            self._forget(info.endpoint)
            yield row
            return
        before = [other for other in self._rows.get(address, {}).values() if self._has_address(other)]
        self._store(row)
        yield row if self._has_address(row) else _ended(row)
        for other in before:
            if other[0].endpoint != info.endpoint and not self._has_address(other):
                log.info("endpoint %s has gone: %s started later at its address, %s:%d", other[0].endpoint,
                         info.endpoint, address.host, address.port)
                yield _ended(other)

    def _store(self, row: Row) -> None:
        info, address = row
        self._forget(info.endpoint)
        self._rows.setdefault(address, {})[info.endpoint] = row
        self._addresses[info.endpoint] = address

    def _forget(self, endpoint: str) -> None:
        if (address := self._addresses.pop(endpoint, None)) is None:
            return
        del self._rows[address][endpoint]
        if not self._rows[address]:
            del self._rows[address]

    def _has_address(self, row: Row) -> bool:
        info, address = row
        return info.born_ms >= max(other.born_ms for other, _ in self._rows[address].values())


def _ended(row: Row) -> Row:
    """Return the row of an endpoint that has left the list."""
    info, address = row
    return replace(info, state=api.EndpointState.REMOVED), address
