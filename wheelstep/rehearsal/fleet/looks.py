"""What couriers tell of channels' positions when they are asked for them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping, Sequence

from wheelstep.rehearsal.fleet.history import Looked
from wheelstep.rehearsal.standins.clients import CLIENT_TIMEOUT_S
from wheelstep.rehearsal.standins.wire import Client

_UNKNOWN = b"only a courier that is gone"  # of an owner that has never heard of the channel and can't look back


async def look(doors: Mapping[str, tuple[str, int]], channels: Sequence[str],
               now_us: Callable[[], int]) -> list[Looked]:
    """Ask every courier for every channel's position."""
    rows = await asyncio.gather(*(_look_at(name, doors[name], channels, now_us) for name in sorted(doors)))
    return [row for part in rows for row in part]


async def _look_at(courier: str, door: tuple[str, int], channels: Sequence[str],
                   now_us: Callable[[], int]) -> list[Looked]:
    link: Client | None = None
    looked = []
    try:
        for name in channels:
            asked_us = now_us()
            request = f"GET /channels/{name} HTTP/1.1\r\nHost: origin.svc\r\n\r\n".encode()
            answer = None
            try:
                async with asyncio.timeout(CLIENT_TIMEOUT_S):
                    if link is None or link.closed:
                        link = await Client.dial(*door)
                    answer = await link.exchange(request)
            except (TimeoutError, OSError):
                if link is not None:  # an answer that still comes would pass for the next one
                    link.close()
            if answer is not None:
                told = numbers(answer[2])
                status = 200 if _UNKNOWN in answer[2] else answer[0]
                looked.append(Looked(now_us(), asked_us, courier, name, status,
                                     told.get("next", 0) if told.get("known", True) else 0))
    finally:
        if link is not None:
            link.close()
    return looked


def numbers(body: bytes) -> dict[str, int]:
    """The whole numbers and truths of a JSON object; none where it is no such thing."""
    try:
        found = json.loads(body)
    except ValueError:
        return {}
    return {key: value for key, value in found.items() if isinstance(value, int)} if isinstance(found, dict) else {}
