"""A courier that leaks one small entry for each message, which `growth_run.py` has to detect. Configured through the
RELAY_* environment variables."""

from __future__ import annotations

import sys
from typing import Any

from wheelstep.courier import core
from wheelstep.courier.__main__ import main

LEAKED: dict[str, int] = {}
_take = core.Core.take


def _take_and_leak(self: core.Core, message: Any) -> None:
    LEAKED[message.id] = message.deadline_ms
    _take(self, message)


if __name__ == "__main__":
    core.Core.take = _take_and_leak  # type: ignore[method-assign]
    sys.exit(main())
