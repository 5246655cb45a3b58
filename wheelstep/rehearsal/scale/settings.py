"""The settings that hollow and real couriers of a run share, and its destinations' rows."""

from __future__ import annotations

import random
from typing import Any

from wheelstep.courier.config import Names
from wheelstep.rehearsal.scale.plan import Plan
from wheelstep.shards.types import ListRow

CLASSES = ("note", "pay", "order", "once")  # safe, keyed, keyed and ordered, unsafe
SHARES = (0.5, 0.2, 0.2, 0.1)
ORDERED = {name: name == "order" for name in CLASSES}
KEYS = 4  # of a destination
DEADLINE_S = 20.0
NAMES = Names(CLASSES, ("k",), ("a",), ("x0", "x1"))


def settings(senders: int) -> dict[str, Any]:
    """As they stand in a courier's configuration. `senders`: couriers that share a destination's limit."""
    def row(name: str, effect: str, ordered: bool) -> dict[str, Any]:
        return {"name": name, "promise_us": 2_000_000, "deadline_us": int(DEADLINE_S * 1e6), "effect": effect,
                "group": "all", "key_ttl_us": 30_000_000, "by_arrival": ordered}
    effects = ("repeatable", "by_key", "by_key", "once")
    return {
        "services": [row(name, effect, ORDERED[name]) for name, effect in zip(CLASSES, effects, strict=True)],
        "specifics": {"calls_out": 256, "per_call": [1], "kind_apart": [False]},
        "kinds": ["k"], "areas": ["a"], "report": {"columns": ["x0", "x1"], "source": "inline"},
        "peers_total": senders,
        "caps": {"open_cap": 10_000, "most_tries": 12, "conn_idle_us": 10_000_000, "dial_timeout_us": 1_000_000,
                 "may_duplicate": True, "may_probe": True},
        "rules": {"order_settle_us": 300_000, "cold_us": 10_000_000, "cold_from": 0.3, "fall_multiple": 1.5,
                  "overload_for_us": 3_000_000, "drain_grace_us": 250_000},
        "prices": {"handshake": 0.06, "probe": 0.01},  # as of a site and of `serve`: idle connections are worth a place
        "tick_us": 5_000,
    }


def endpoint_of(destination: int, life: int = 0) -> str:
    """The name of a destination's endpoint; a replaced one has another."""
    return f"e{destination}-{life}"


def row(plan: Plan, destination: int, life: int = 0, health: str = "SERVING") -> ListRow:
    """A destination's line of the list."""
    port = plan.partners.rpartition(":")[2] or "9"
    return ListRow(endpoint_of(destination, life), f"{plan.partner_ip(destination)}:{port}", "a", "k", destination,
                   health)


def draw_class(rng: random.Random) -> str:
    """Of a message."""
    return rng.choices(CLASSES, SHARES)[0]
