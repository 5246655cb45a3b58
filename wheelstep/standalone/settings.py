"""A standalone courier's file in the form of the platform's configuration, which the daemon's core is given. No I/O."""

from __future__ import annotations

from typing import Any

from wheelstep.standalone.model import Standalone


def settings(found: Standalone) -> dict[str, Any]:
    """The same in the form of the platform's configuration, which the daemon's core is given."""
    effects = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
    kinds = sorted({(part.batch, part.routes_apart) for part in found.destinations.values()})
    return {
        "name": found.name, "listen": found.listen, "discovery": "127.0.0.1:1", "seed": "1",
        "limits": {"disk_mb": found.limits.disk_mb, "sockets": found.limits.descriptors},
        "settings": {
            "services": [{
                "name": name, "promise_us": part.aim, "deadline_us": part.deadline, "effect": effects[part.effect],
                "group": "all", "key_ttl_us": part.key_life, "by_arrival": part.ordered, "worth": part.worth,
                "late_value": part.late_worth} for name, part in found.classes.items()],
            "kinds": [kind_name(batch, apart) for batch, apart in kinds], "areas": ["a"],
            "specifics": {"calls_out": found.limits.slots, "per_call": [batch for batch, _ in kinds],
                          "kind_apart": [apart for _, apart in kinds], "late": "even"},
            "report": {"columns": ["x0", "x1"], "source": "inline"},
            "caps": {"open_cap": found.limits.held, "most_tries": found.limits.attempts,
                     "conn_idle_us": found.limits.idle, "dial_timeout_us": found.limits.dial,
                     "may_duplicate": True, "may_probe": found.rules.probes, "cancel": True, "retry_after": True,
                     "max_retry_after_us": 60_000_000},
            "rules": {"order_settle_us": found.rules.settle, "cold_us": found.rules.cold,
                      "cold_from": found.rules.cold_from, "fall_multiple": found.rules.fall_multiple,
                      "overload_for_us": found.rules.fall_for, "drain_grace_us": found.rules.drain_grace,
                      "answer_slack_us": 20_000},
            "prices": {"handshake": 0.06, "probe": 0.01}, "tick_us": 2000}}


def kind_name(batch: int, apart: bool) -> str:
    """The kind of destinations with this batch and these routes."""
    return f"{batch}{'-apart' if apart else ''}"
