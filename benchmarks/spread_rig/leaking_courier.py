"""A courier that keeps one small entry a message for good, for `growth_run.py` to catch: in the RELAY_* environment."""

from __future__ import annotations

import sys
from typing import Any

from wheelstep.courier import core
from wheelstep.courier.__main__ import main

KEPT: dict[str, int] = {}
_take = core.Core.take


def _take_and_keep(self: core.Core, message: Any) -> None:
    KEPT[message.id] = message.deadline_ms
    _take(self, message)


if __name__ == "__main__":
    core.Core.take = _take_and_keep  # type: ignore[method-assign]
    sys.exit(main())
