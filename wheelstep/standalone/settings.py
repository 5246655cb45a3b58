"""Converts a standalone courier's file to the platform's configuration format, which the core reads. No I/O."""

from __future__ import annotations

from typing import Any

from wheelstep.standalone.model import Standalone


def settings(file_config: Standalone) -> dict[str, Any]:
    """Return the platform configuration that corresponds to the file."""
    effects = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
    kinds = sorted({(part.batch, part.routes_apart) for part in file_config.destinations.values()})
    return {
        "name": file_config.name, "listen": file_config.listen, "discovery": "127.0.0.1:1", "seed": "1",
        "limits": {"disk_mb": file_config.limits.disk_mb, "sockets": file_config.limits.descriptors,
                   "memory_mb": file_config.limits.memory_mb},
        "settings": {
            "services": [{
                "name": name, "promise_us": part.aim, "deadline_us": part.deadline, "effect": effects[part.effect],
                "group": "all", "key_ttl_us": part.key_life, "by_arrival": part.ordered, "worth": part.worth,
                "late_value": part.late_worth} for name, part in file_config.classes.items()],
            "kinds": [kind_name(batch, apart) for batch, apart in kinds], "areas": ["a"],
            "specifics": {"calls_out": file_config.limits.slots, "per_call": [batch for batch, _ in kinds],
                          "kind_apart": [apart for _, apart in kinds], "late": "even"},
            "report": {"columns": ["x0", "x1"], "source": "inline"},
            "caps": {"open_cap": file_config.limits.held, "most_tries": file_config.limits.attempts,
                     "conn_idle_us": file_config.limits.idle, "dial_timeout_us": file_config.limits.dial,
                     "may_duplicate": True, "may_probe": file_config.rules.probes, "cancel": True, "retry_after": True,
                     "max_retry_after_us": 60_000_000},
            "rules": {"order_settle_us": file_config.rules.settle, "cold_us": file_config.rules.cold,
                      "cold_from": file_config.rules.cold_from, "fall_multiple": file_config.rules.fall_multiple,
                      "overload_for_us": file_config.rules.fall_for, "drain_grace_us": file_config.rules.drain_grace,
                      "answer_slack_us": 20_000},
            "prices": {"handshake": 0.06, "probe": 0.01}, "tick_us": 2000}}


def kind_name(batch: int, routes_apart: bool) -> str:
    """Return the name of the kind of destinations with this `batch` and this `routes_apart`."""
    return f"{batch}{'-apart' if routes_apart else ''}"
