"""What happens to a sender's process and its list beside an outage, in a `returning_world.World`."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from helpers import MS
from returning_scene import CLASS, DESTINATION, Owner

from wheelstep import interface as api
from wheelstep.interface import EndpointState, ListKind

if TYPE_CHECKING:
    from returning_world import World


def _restart(world: World, owner: Owner, notes: dict[str, tuple[int, api.Health]], down_us: int) -> None:
    """Replace the process: calls that are out are lost, with no outcome for the new process."""
    for name, call in list(owner.calls.items()):
        call.closed = True
        owner.ran_us.setdefault(name, call.sent_us)
    owner.calls.clear()
    owner.stopped = True
    world.schedule(world.now_us + down_us, lambda: _start(world, owner, notes))


def _start(world: World, owner: Owner, notes: dict[str, tuple[int, api.Health]]) -> None:
    owner.sender, owner.stopped = world.new_sender(), False
    events: list[api.Event] = [api.MembershipReceived(ListKind.RESTORED, tuple(world.listed))]
    events += [api.HealthRestored(name, health, world.now_us - at_us) for name, (at_us, health) in notes.items()]
    for name, due_us in owner.due_us.items():
        if due_us > world.now_us:
            ran_us = owner.ran_us.get(name)
            accepted = api.MessageAccepted(name, 0, DESTINATION, due_us - world.now_us)
            events.append(api.MessageRestored(accepted, owner.attempts.get(name, -1) + 1,
                                              None if ran_us is None else world.now_us - ran_us))
    world.post(owner, *events)


def kill(world: World, owner: Owner) -> None:
    """Kill and restart the process: what it has noted of its endpoints goes on."""
    _restart(world, owner, dict(owner.notes), 300 * MS)


def stop(world: World, owner: Owner) -> None:
    """Restart the process in order: it notes all it knows of its endpoints."""
    notes = {note.endpoint: (world.now_us, note.health) for note in owner.sender.notes(world.now_us)}
    _restart(world, owner, {**owner.notes, **notes}, 300 * MS)


def upgrade(world: World, owner: Owner) -> None:
    """Replace the process by one that takes over its calls."""
    notes = {note.endpoint: (world.now_us, note.health) for note in owner.sender.notes(world.now_us)}
    calls = dict(owner.calls)
    owner.sender = world.new_sender()
    events: list[api.Event] = [api.MembershipReceived(ListKind.RESTORED, tuple(world.listed))]
    events += [api.HealthRestored(name, health, world.now_us - at_us)
               for name, (at_us, health) in {**owner.notes, **notes}.items()]
    for number, (name, due_us) in enumerate(owner.due_us.items()):
        accepted = api.MessageAccepted(name, 0, DESTINATION, max(1, due_us - world.now_us))
        ran_us, call = owner.ran_us.get(name), calls.get(name)
        out = api.CallInProgress(number, call.endpoint, world.now_us - call.sent_us) if call else None
        events.append(api.MessageRestored(accepted, owner.attempts.get(name, -1) + 1,
                                          None if ran_us is None else world.now_us - ran_us, out=out))
    world.post(owner, *events)


def reload(world: World, owner: Owner) -> None:
    """Read the settings and the list anew."""
    world.post(owner, api.ClassesChanged((CLASS,)),
               api.MembershipReceived(ListKind.WHOLE, tuple(world.listed)))


def relist(world: World, owner: Owner) -> None:
    """The list loses the endpoints for a moment."""
    world.post(owner, *(_forget(owner, info) for info in world.listed))
    world.schedule(world.now_us + 100 * MS, lambda: world.post(
        owner, api.MembershipReceived(ListKind.CHANGES, tuple(world.listed))))


def _forget(owner: Owner, info: api.EndpointInfo) -> api.Event:
    owner.notes.pop(info.endpoint, None)
    removed = api.EndpointInfo(info.endpoint, DESTINATION, state=EndpointState.REMOVED)
    return api.MembershipReceived(ListKind.CHANGES, (removed,))


def rename(world: World, owner: Owner) -> None:
    """Each endpoint gets another name."""
    renamed = [api.EndpointInfo(f"{info.endpoint}-new", DESTINATION) for info in world.listed]
    for info in world.listed:
        world.endpoints[f"{info.endpoint}-new"] = world.endpoints[info.endpoint]
    world.post(owner, api.MembershipReceived(ListKind.WHOLE, tuple(renamed)))


def drain(world: World, owner: Owner) -> None:
    """The list has the endpoints draining for a moment."""
    draining = [api.EndpointInfo(info.endpoint, DESTINATION, state=EndpointState.DRAINING)
                for info in world.listed]
    world.post(owner, api.MembershipReceived(ListKind.CHANGES, tuple(draining)))
    world.schedule(world.now_us + 100 * MS, lambda: world.post(
        owner, api.MembershipReceived(ListKind.CHANGES, tuple(world.listed))))


EVENTS: dict[str, Callable[[World, Owner], None]] = {
    "kill": kill, "stop": stop, "upgrade": upgrade, "reload": reload, "relist": relist, "rename": rename,
    "drain": drain}
