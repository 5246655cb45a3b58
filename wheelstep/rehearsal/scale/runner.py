"""A real process behind a run's distances and cuts: `python -m wheelstep.rehearsal.scale.runner PLAN.json NAME
COMMAND...`, with `serve --operator FILE` for a courier or `control FILE` for a control machine.

What others dial and send here, they hold up at their end; so does this process with what it dials and sends, by the
same `DelayedNet`, put in the place of `shards.net.Sockets` before the program's own modules are imported. It ends with
its parent.
"""

from __future__ import annotations

import sys
from pathlib import Path

from wheelstep.rehearsal.scale.links import Links
from wheelstep.rehearsal.scale.net import DelayedNet
from wheelstep.rehearsal.scale.nursery import die_with_parent
from wheelstep.rehearsal.scale.plan import Plan, read
from wheelstep.shards import net


def put_between(plan: Plan, name: str) -> None:
    """From now on `shards.net.Sockets` is behind the distances."""
    zones = plan.zones_of_addresses()
    control = plan.control_machines()
    address = control.get(name) or next(site.address for site in plan.sites() if site.name == name)
    links = Links(Path(plan.links), plan.zones_named(), plan.zone_delay_s, plan.region_delay_s)
    plain = net.Sockets

    def sockets() -> DelayedNet:
        return DelayedNet(plain(), zones[address], zones, links, frozenset(control.values()))
    net.Sockets = sockets  # type: ignore[misc, assignment]


def main() -> int:
    """Put the distances between, and run the command."""
    die_with_parent()
    plan = read(Path(sys.argv[1]).read_bytes())
    put_between(plan, sys.argv[2])
    command = sys.argv[3:]
    if command[0] == "control":
        from wheelstep.shards.control import main as control
        return control(command[1:])
    from wheelstep.cli.__main__ import main as serve
    return serve(command)


if __name__ == "__main__":
    sys.exit(main())
