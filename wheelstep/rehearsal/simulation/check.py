"""The invariants of docs/design/channels.md, held against a run as it goes and at its end.

What only one disk knew when that disk was lost, or was replaced by an older copy of itself, is set apart: such
messages may miss their end, and their channels' positions may begin anew. Imports its neighbour `world` alone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wheelstep.rehearsal.simulation.world import World

EPOCHS_RISE = "1 no first byte under an epoch after one under a later"
ONE_OWNER = "2 each epoch of a part has one owner"
ON_DISK = "3 a message answered 202 is on its owner's disk until its end is told"
END_ONCE = "4 a message ends once"
IN_ORDER = "4 partners see a channel in order"
RUN_ONCE = "4 what may have run is not sent again where the contract says once"
GIVEN_ONCE = "4 a number is given once"
NOT_BACK = "5 a position never goes back"
LIVE = "6 after the faults every part has an owner and what waits is delivered"

WIDE = 3  # messages that a channel with a window has out


class ViolationError(Exception):
    """An invariant does not hold; the text says which, when and for what."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(text)
        self.rule = rule


@dataclass(slots=True)
class Told:
    """A message that a client heard 202 for."""

    channel: str
    number: int
    part: int
    courier: str


@dataclass
class Check:
    """Hooks that content, partners and clients call at the moment in true time."""

    world: World
    told: dict[str, Told] = field(default_factory=dict)
    ends: dict[str, str] = field(default_factory=dict)  # message -> its end as told
    apart: set[str] = field(default_factory=set)  # messages that only a lost disk knew
    shaky: set[str] = field(default_factory=set)  # channels whose position a disk lost
    count: Counter[str] = field(default_factory=Counter)
    _epochs: dict[int, tuple[int, str]] = field(default_factory=dict)  # part -> latest first byte's epoch, owner
    _owners: dict[tuple[int, int], str] = field(default_factory=dict)
    _numbers: dict[tuple[str, int], str] = field(default_factory=dict)
    _seen: dict[str, int] = field(default_factory=dict)  # channel -> highest number that a partner saw
    _next: dict[str, int] = field(default_factory=dict)
    _called: dict[str, bool] = field(default_factory=dict)  # may the last call have run?

    def fail(self, rule: str, *about: object) -> None:
        """This run is over."""
        text = " ".join(str(one) for one in about)
        raise ViolationError(rule, f"seed {self.world.seed} at {self.world.now_us / 1e6:.6f} s: {rule}: {text}")

    def _excused(self, message: str) -> bool:
        return message in self.apart or message.split("#")[0] in self.shaky

    def opened(self, courier: str, part: int, epoch: int) -> None:
        """A courier serves a part from now on."""
        self.count["opened"] += 1
        owner = self._owners.setdefault((part, epoch), courier)
        if owner != courier:
            self.fail(ONE_OWNER, f"part {part} epoch {epoch}: {owner} and {courier}")

    def first_byte(self, courier: str, part: int, epoch: int, channel: str, number: int, message: str) -> None:
        """Of an attempt."""
        self.count["calls"] += 1
        self.opened(courier, part, epoch)
        latest, whose = self._epochs.get(part, (0, ""))
        if epoch < latest:
            self.fail(EPOCHS_RISE, f"{courier} sent {message} of part {part} under {epoch}, {whose} was at {latest}")
        self._epochs[part] = epoch, courier
        seen = self._seen.get(channel, 0)
        again = message in self._called
        late = not again and number <= seen - WIDE if channel.startswith("wide") else number < seen
        if late and channel not in self.shaky:
            self.fail(IN_ORDER, f"{courier} sent {message} after number {seen}")
        self._seen[channel] = max(number, seen)
        if channel.startswith("once") and self._called.get(message) and channel not in self.shaky:
            self.fail(RUN_ONCE, f"{courier} sent {message} again")
        self._called[message] = True

    def refused(self, message: str) -> None:
        """A courier has heard that a call did not run."""
        self._called[message] = False

    def accepted(self, courier: str, part: int, channel: str, number: int, message: str, then: int) -> None:
        """A client heard 202; the next number expected is `then`."""
        self.count["accepted"] += 1
        other = self._numbers.setdefault((channel, number), message)
        if other != message and channel not in self.shaky:
            self.fail(GIVEN_ONCE, f"{courier} gave number {number} to {message}, {other} had it")
        self.told.setdefault(message, Told(channel, number, part, courier))
        self.position(courier, channel, then)

    def position(self, courier: str, channel: str, then: int) -> None:
        """A client heard of the next number expected."""
        if then < self._next.get(channel, 0) and channel not in self.shaky:
            self.fail(NOT_BACK, f"{courier} told {then} for {channel}, {self._next[channel]} was told before")
        self._next[channel] = max(then, self._next.get(channel, 0))

    def ended(self, courier: str, message: str, outcome: str) -> None:
        """An end (`outcome/epoch/courier`) is on disk and told; after a crash the same may be told again."""
        self.count[outcome.split("/")[0]] += 1
        before = self.ends.setdefault(message, outcome)
        if before != outcome and not self._excused(message):
            self.fail(END_ONCE, f"{message}: {before}, then {courier} told {outcome}")

    def dropped(self, courier: str, messages: Iterable[str], kept: Callable[[str], bool]) -> None:
        """A courier forgets these; `kept`: does another disk hold it?"""
        for message in messages:
            if message in self.told and message not in self.ends and not self._excused(message) and not kept(message):
                self.fail(ON_DISK, f"{courier} drops {message}, which no other disk holds")

    def forgotten(self, channels: Iterable[str], messages: Iterable[str], held: Callable[[str], bool]) -> None:
        """A disk is not what it was: these channels were on it, and these messages are told otherwise by it now."""
        self.shaky.update(channels)
        self.apart.update(messages)
        for message, told in self.told.items():
            if message not in self.ends and not held(message):
                self.apart.add(message)
                self.shaky.add(told.channel)

    def owners(self, owners: dict[int, list[str]]) -> None:
        """Who may send for each part at this moment, by themselves: nobody or one."""
        for part, names in owners.items():
            if len(names) > 1:
                self.fail(ONE_OWNER, f"part {part} is sent for by {' and '.join(names)} at one time")

    def final(self, owners: dict[int, list[str]], waiting: list[str]) -> None:
        """After the quiet time: `owners` of each part, by themselves; channels whose clients are not done."""
        for part, names in owners.items():
            if len(names) != 1:
                self.fail(LIVE, f"part {part} has {' and '.join(names) or 'no owner'}")
        for message, told in self.told.items():
            if message not in self.ends and not self._excused(message):
                self.fail(LIVE, f"{message}, taken by {told.courier}, has no end")
        if stuck := [channel for channel in waiting if channel not in self.shaky]:
            self.fail(LIVE, f"{', '.join(stuck)}: the client could not hand in all")
