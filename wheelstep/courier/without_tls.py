"""Keeps `ssl` out of the process that imports this module before asyncio.

asyncio imports `ssl` where it can, and with it OpenSSL: some 4 MB, a seventh of the least memory that a courier may
have. A courier speaks no TLS. asyncio and aiohttp go without; a process that has `ssl` already keeps it.
"""

from __future__ import annotations

import sys
from types import ModuleType

_modules: dict[str, ModuleType | None] = sys.modules  # type: ignore[assignment]
_modules.setdefault("ssl", None)  # an import raises `ImportError`
