"""A real process behind a run's delays and cuts: `python -m wheelstep.rehearsal.scale.runner PLAN.json NAME
COMMAND...`, where the command is `serve --operator FILE` for a courier or `control FILE` for a control machine.

It replaces `shards.net.Sockets` by a `DelayedNet` around it before the program's own modules are imported. Each process
delays the pipes it opens and the datagrams it sends, as all its peers do. The process is killed when its parent ends.
"""

from __future__ import annotations

import sys
from pathlib import Path

from wheelstep.rehearsal.scale.links import Links
from wheelstep.rehearsal.scale.net import DelayedNet
from wheelstep.rehearsal.scale.nursery import kill_with_parent
from wheelstep.rehearsal.scale.plan import Plan, decode_plan
from wheelstep.shards import net


def install_delayed_sockets(plan: Plan, name: str) -> None:
    """Replace `shards.net.Sockets` by one with the delays and cuts of the named courier or control machine."""
    zones = plan.zones_of_addresses()
    control = plan.control_machines()
    address = control.get(name) or next(site.address for site in plan.sites() if site.name == name)
    links = Links(Path(plan.links), plan.zone_names(), plan.zone_delay_s, plan.region_delay_s)
    plain = net.Sockets

    def sockets() -> DelayedNet:
        return DelayedNet(plain(), zones[address], zones, links, frozenset(control.values()))
    net.Sockets = sockets  # type: ignore[misc, assignment]


def main() -> int:
    """Install the delayed sockets and run the command; return its exit code."""
    kill_with_parent()
    plan = decode_plan(Path(sys.argv[1]).read_bytes())
    install_delayed_sockets(plan, sys.argv[2])
    command = sys.argv[3:]
    if command[0] == "control":
        from wheelstep.shards.control import main as control
        return control(command[1:])
    from wheelstep.cli.__main__ import main as serve
    return serve(command)


if __name__ == "__main__":
    sys.exit(main())
