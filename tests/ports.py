"""Addresses on which a test's processes listen later."""

from __future__ import annotations

import itertools
import os
import random
import socket

_FIRST_PORT = 20_000  # the range ends at 32,000, below Linux's default range for clients' ports
_PORTS_PER_WORKER = 500
_MAX_WORKERS = 24
_WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % _MAX_WORKERS
_WORKER_PORTS = range(_FIRST_PORT + _WORKER * _PORTS_PER_WORKER, _FIRST_PORT + (_WORKER + 1) * _PORTS_PER_WORKER)
_next_ports = itertools.cycle(random.sample(_WORKER_PORTS, _PORTS_PER_WORKER))


def free_address() -> str:
    """Return an address that nobody listens at. Its port is in no other test worker's range, and the kernel gives it to
    no client, so that it is still free when a process binds it later. Raises `OSError` if all ports are in use."""
    for port in itertools.islice(_next_ports, _PORTS_PER_WORKER):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise OSError(f"ports {_WORKER_PORTS.start} to {_WORKER_PORTS.stop - 1} are all in use; expected a free one")
