"""When a courier with workers says that it serves."""

from __future__ import annotations

import logging
import socket
from typing import Any, cast

import pytest

from wheelstep.courier.config import Config
from wheelstep.workers.layout import Layout
from wheelstep.workers.ownership import SupervisionLimits, WorkerPool
from wheelstep.workers.supervisor import Supervisor


class Control:
    """Stands for the connection to a worker."""

    def __init__(self) -> None:
        self.views: list[dict[str, Any]] = []

    def send(self, head: dict[str, Any], body: bytes = b"") -> bool:
        self.views += [head] if head["do"] == "view" else []
        return True


def test_a_courier_serves_once_every_worker_knows_the_owners_of_all_shares(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a 503 right after `serves on`, from a worker that did not know the owner of a share yet."""
    caplog.set_level(logging.INFO, "wheelstep.workers")
    pool = WorkerPool(2, 2, SupervisionLimits())
    pool.tick(0.0)  # starts the workers
    config = cast(Config, type("Configured", (), {
        "known": {}, "names": None, "discovery": None, "name": "n0",
        "listen": type("Address", (), {"host": "127.0.0.1"})}))
    controls = [Control(), Control()]
    with socket.create_server(("127.0.0.1", 0)) as listener:
        supervisor = Supervisor(config, Layout(1, 2), pool, listener, "", None)
        supervisor._controls[0] = cast(Any, controls[0])
        supervisor._on_worker_frame(0, {"is": "open", "share": pool.shares_of(0)[0]})
        supervisor._controls[1] = cast(Any, controls[1])
        supervisor._on_worker_frame(1, {"is": "open", "share": pool.shares_of(1)[0]})
        versions = [control.views[-1]["version"] for control in controls]
        assert versions[0] == versions[1] and not any(control.views[-1]["ready"] for control in controls)
        supervisor._on_worker_frame(0, {"is": "view", "version": versions[0]})
        supervisor._on_worker_frame(1, {"is": "view", "version": versions[1] - 1})
        assert not any("serves on" in line for line in caplog.messages)
        supervisor._on_worker_frame(1, {"is": "view", "version": versions[1]})
        assert any("serves on" in line for line in caplog.messages)
        assert all(control.views[-1]["ready"] for control in controls)
