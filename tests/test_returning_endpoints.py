"""A returning destination is not pushed over, whatever its outage was like and whatever else happened in it.

The scenes of one process are played in virtual time by seed; `World.worst` counts as the rule does, in each span of
`overload_for_us` after the return.
"""

from __future__ import annotations

from typing import Any

import pytest
from returning_world import Trouble, World

SEEDS = (100, 101, 102)


def check(trouble: Trouble, *seeds: int, **scene: Any) -> None:
    """Play a scene with some seeds, and require that the endpoint is never overloaded."""
    for seed in seeds:
        ratio, calls, allowed, begin_s = World(seed, trouble, **scene).run().worst()
        assert ratio <= 1, f"seed {seed}: {calls} calls from {begin_s:.2f} s after the return, {allowed:.1f} allowed"


@pytest.mark.parametrize("scene", [{}, {"servers": 12, "slots": 240, "queue": 8}])
@pytest.mark.parametrize("kind", ["refused", "reset"])
def test_what_a_ramp_held_back_does_not_go_out_at_its_end(kind: str, scene: dict[str, Any]) -> None:
    """Guards against a backlog that goes out in the last span in which an endpoint that is still cold can fall."""
    for seconds in (6, 20):
        check(Trouble(kind, seconds), *SEEDS, **scene)
