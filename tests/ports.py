"""Addresses on which a test's processes listen later."""

from __future__ import annotations

import atexit

from wheelstep.rehearsal.standins.machine import CourierPort

_reserved: list[CourierPort] = []


@atexit.register
def _release() -> None:
    for port in _reserved:
        port.close()


def free_address() -> str:
    """Return an address that nobody listens at, reserved until this process ends against all tests and rehearsals on
    this machine. Raises `NoStartError` if there is none."""
    _reserved.append(CourierPort())
    return f"127.0.0.1:{_reserved[-1].port}"
