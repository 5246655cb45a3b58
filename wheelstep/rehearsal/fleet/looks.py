"""Asks couriers for the positions of channels."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping, Sequence

from wheelstep.rehearsal.fleet.history import Looked
from wheelstep.rehearsal.standins.clients import CLIENT_TIMEOUT_S
from wheelstep.rehearsal.standins.wire import Client

# In the answer of an owner that has no position of the channel, as the courier that had it is gone.
_UNKNOWN_POSITION = b"only a courier that is gone"


async def read_positions(addresses: Mapping[str, tuple[str, int]], channels: Sequence[str],
               now_us: Callable[[], int]) -> list[Looked]:
    """Ask every courier for every channel's position. A request that gets no answer is left out of the result. An owner
    that has no position of the channel counts as status 200 with `next` 0."""
    rows = await asyncio.gather(*(_read_positions_of(name, addresses[name], channels, now_us)
                                  for name in sorted(addresses)))
    return [row for part in rows for row in part]


async def _read_positions_of(courier: str, address: tuple[str, int], channels: Sequence[str],
                   now_us: Callable[[], int]) -> list[Looked]:
    connection: Client | None = None
    positions = []
    try:
        for name in channels:
            asked_us = now_us()
            request = f"GET /channels/{name} HTTP/1.1\r\nHost: origin.svc\r\n\r\n".encode()
            answer = None
            try:
                async with asyncio.timeout(CLIENT_TIMEOUT_S):
                    if connection is None or connection.closed:
                        connection = await Client.dial(*address)
                    answer = await connection.exchange(request)
            except (TimeoutError, OSError):
                if connection is not None:  # a late answer would be taken for the next request's
                    connection.close()
            if answer is not None:
                fields = integer_fields(answer[2])
                status = 200 if _UNKNOWN_POSITION in answer[2] else answer[0]
                positions.append(Looked(now_us(), asked_us, courier, name, status,
                                        fields.get("next", 0) if fields.get("known", True) else 0))
    finally:
        if connection is not None:
            connection.close()
    return positions


def integer_fields(body: bytes) -> dict[str, int]:
    """Return the integer and boolean fields of a JSON object; empty if the body is not a JSON object."""
    try:
        parsed = json.loads(body)
    except ValueError:
        return {}
    return {key: value for key, value in parsed.items() if isinstance(value, int)} if isinstance(parsed, dict) else {}
