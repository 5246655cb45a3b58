"""Couriers that lose messages."""

from __future__ import annotations

import json
import os
from typing import Any

from wheelstep.courier.core import Core
from wheelstep.courier.journal import Journal
from wheelstep.courier.platform import Notices


def answers_only() -> None:
    """202, and nothing more."""
    Core.begin = lambda self, name: None  # type: ignore[method-assign]


def drops_on_kill() -> None:
    """Only memory holds what was taken on."""

    def append(self: Journal, head: dict[str, Any], body: bytes = b"") -> None:
        self._apply(head, body)

    Journal._append = append  # type: ignore[method-assign]


def drops_on_term() -> None:
    """The journal is emptied on an orderly way out."""

    def close(self: Journal) -> None:
        os.ftruncate(self._file, 0)
        os.close(self._file)

    Journal.close = close  # type: ignore[method-assign]


def two_ends() -> None:
    """Each notice goes out twice, the second time with the other end."""
    post = Notices._post

    async def twice(self: Notices, body: bytes) -> bool:
        lines = [json.loads(line) for line in body.splitlines()]
        for line in lines:
            line["outcome"] = "given_up" if line["outcome"] == "handed_back" else "handed_back"
        return await post(self, body + b"".join(json.dumps(line).encode() + b"\n" for line in lines))

    Notices._post = twice  # type: ignore[method-assign]
