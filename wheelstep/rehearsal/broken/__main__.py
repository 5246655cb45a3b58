"""Run the broken courier named by the first argument."""

from __future__ import annotations

import sys
from collections.abc import Callable

from wheelstep.courier import __main__ as courier
from wheelstep.rehearsal.broken import BROKEN_COURIERS, drains, lost, order, returns, twice, waits

_PATCHES: dict[str, Callable[[], None]] = {
    "answers-only": lost.answers_only, "drops-on-kill": lost.drops_on_kill, "drops-on-term": lost.drops_on_term,
    "two-ends": lost.two_ends,
    "pays-after-reset": twice.pays_after_reset, "pays-after-restart": twice.pays_after_restart,
    "forgets-key-life": twice.forgets_key_life, "hands-back-what-ran": twice.hands_back_what_ran,
    "ignores-drains": drains.ignores_drains, "late-lists": drains.late_lists,
    "keeps-the-gone": drains.keeps_the_gone,
    "rushes-back": returns.rushes_back, "warms-too-fast": returns.warms_too_fast,
    "never-backs-off": returns.never_backs_off,
    "no-rest": order.no_rest, "no-order-over-restart": order.no_order_over_restart,
    "ignores-keys": order.ignores_keys,
    "heeds-for-one": waits.heeds_for_one, "halves-waits": waits.halves_waits,
    "waits-at-one-endpoint": waits.waits_at_one_endpoint,
}


def main() -> int:
    """Patch the courier as named and run it; return its exit code, or 2 for an unknown name."""
    name = sys.argv[1] if len(sys.argv) == 2 else ""
    if name not in BROKEN_COURIERS:
        print(f"no broken courier {name!r}; expected one of {', '.join(BROKEN_COURIERS)}", file=sys.stderr)
        return 2
    _PATCHES[name]()
    return courier.main()


if __name__ == "__main__":
    sys.exit(main())
