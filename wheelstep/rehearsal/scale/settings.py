"""The settings that hollow and real couriers of a run share, and the list rows of its destinations."""

from __future__ import annotations

import random
from typing import Any

from wheelstep.courier.config import Names
from wheelstep.rehearsal.scale.plan import Plan
from wheelstep.shards.types import ListRow

CLASSES = ("note", "pay", "order", "once")  # safe; idempotent by key; the same and ordered; unsafe to repeat
CLASS_SHARES = (0.5, 0.2, 0.2, 0.1)
IS_ORDERED = {name: name == "order" for name in CLASSES}
KEYS_PER_DESTINATION = 4  # keys of the ordered class
DEADLINE_S = 20.0  # of a message, from its submission
NAMES = Names(CLASSES, ("k",), ("a",), ("x0", "x1"))  # classes, kinds, zones, columns of load reports


def courier_settings(couriers: int) -> dict[str, Any]:
    """Return the `settings` section of a courier's configuration. `couriers` is the number of couriers that share a
    destination's limit."""
    def service(name: str, effect: str, ordered: bool) -> dict[str, Any]:
        return {"name": name, "promise_us": 2_000_000, "deadline_us": int(DEADLINE_S * 1e6), "effect": effect,
                "group": "all", "key_ttl_us": 30_000_000, "by_arrival": ordered}
    effects = ("repeatable", "by_key", "by_key", "once")
    return {
        "services": [service(name, effect, IS_ORDERED[name]) for name, effect in zip(CLASSES, effects, strict=True)],
        "specifics": {"calls_out": 256, "per_call": [1], "kind_apart": [False]},
        "kinds": ["k"], "areas": ["a"], "report": {"columns": ["x0", "x1"], "source": "inline"},
        "peers_total": couriers,
        "caps": {"open_cap": 10_000, "most_tries": 12, "conn_idle_us": 10_000_000, "dial_timeout_us": 1_000_000,
                 "may_duplicate": True, "may_probe": True},
        "rules": {"order_settle_us": 300_000, "cold_us": 10_000_000, "cold_from": 0.3, "fall_multiple": 1.5,
                  "overload_for_us": 3_000_000, "drain_grace_us": 250_000},
        # The prices of a deploy file's sites and of `serve`, at which keeping an idle connection pays.
        "prices": {"handshake": 0.06, "probe": 0.01},
        "tick_us": 5_000,
    }


def endpoint_name(destination: int, generation: int = 0) -> str:
    """Return the name of a destination's endpoint. Each replacement of the endpoint has its own `generation`."""
    return f"e{destination}-{generation}"


def destination_row(plan: Plan, destination: int, generation: int = 0, health: str = "SERVING") -> ListRow:
    """Return a destination's row of the list."""
    port = plan.partners.rpartition(":")[2] or "9"
    return ListRow(endpoint_name(destination, generation), f"{plan.partner_ip(destination)}:{port}", "a", "k",
                   destination, health)


def draw_class(rng: random.Random) -> str:
    """Return a random message class, weighted by `CLASS_SHARES`."""
    return rng.choices(CLASSES, CLASS_SHARES)[0]
