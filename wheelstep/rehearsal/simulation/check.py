"""Checks the invariants of docs/design/channels.md during a run and at its end.

Messages that only one disk held when that disk was lost or replaced by an older copy of itself are excused: they may
miss their end, and the positions of their channels may start again. Imports only the neighbouring module `world`.
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

WINDOW_SIZE = 3  # messages that a channel with a window may have in flight


class ViolationError(Exception):
    """An invariant does not hold; `rule` names it, and the text says when and for what."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(text)
        self.rule = rule


@dataclass(slots=True)
class AcceptedMessage:
    """A message for which a client received 202."""

    channel: str
    number: int
    part: int
    courier: str


@dataclass
class InvariantChecker:
    """Hooks that content, partners, clients and faults call in the order of true time. Each raises `ViolationError` if
    an invariant does not hold."""

    world: World
    accepted_messages: dict[str, AcceptedMessage] = field(default_factory=dict)
    ends: dict[str, str] = field(default_factory=dict)  # message -> its end as reported
    excused_messages: set[str] = field(default_factory=set)  # messages that only a lost disk held
    excused_channels: set[str] = field(default_factory=set)  # channels whose position a disk lost
    counts: Counter[str] = field(default_factory=Counter)  # events, outcomes and faults by name
    _latest_epochs: dict[int, tuple[int, str]] = field(default_factory=dict)  # part -> latest first byte's epoch, owner
    _owners_by_epoch: dict[tuple[int, int], str] = field(default_factory=dict)  # part, epoch -> owner
    _numbers: dict[tuple[str, int], str] = field(default_factory=dict)  # channel, number -> message
    _highest_numbers: dict[str, int] = field(default_factory=dict)  # channel -> highest number that a partner saw
    _next_numbers: dict[str, int] = field(default_factory=dict)  # channel -> highest next number that a client received
    _last_call_may_have_run: dict[str, bool] = field(default_factory=dict)  # by message

    def fail(self, rule: str, *details: object) -> None:
        """Raise `ViolationError`, with the seed, the time and the details in its text."""
        text = " ".join(str(one) for one in details)
        raise ViolationError(rule, f"seed {self.world.seed} at {self.world.now_us / 1e6:.6f} s: {rule}: {text}")

    def _excused(self, message: str) -> bool:
        return message in self.excused_messages or message.split("#")[0] in self.excused_channels

    def on_part_opened(self, courier: str, part: int, epoch: int) -> None:
        """Check that a courier that serves a part, or sends for it, is the only one to do so under this epoch."""
        self.counts["opened"] += 1
        owner = self._owners_by_epoch.setdefault((part, epoch), courier)
        if owner != courier:
            self.fail(ONE_OWNER, f"part {part} epoch {epoch}: {owner} and {courier}")

    def on_first_byte(self, courier: str, part: int, epoch: int, channel: str, number: int, message: str) -> None:
        """Check the first byte of an attempt: epoch, order in the channel, and repetition."""
        self.counts["calls"] += 1
        self.on_part_opened(courier, part, epoch)
        latest, latest_owner = self._latest_epochs.get(part, (0, ""))
        if epoch < latest:
            self.fail(EPOCHS_RISE,
                      f"{courier} sent {message} of part {part} under {epoch}, {latest_owner} was at {latest}")
        self._latest_epochs[part] = epoch, courier
        highest = self._highest_numbers.get(channel, 0)
        repeated = message in self._last_call_may_have_run
        out_of_order = not repeated and number <= highest - WINDOW_SIZE if channel.startswith("wide") \
            else number < highest
        if out_of_order and channel not in self.excused_channels:
            self.fail(IN_ORDER, f"{courier} sent {message} after number {highest}")
        self._highest_numbers[channel] = max(number, highest)
        if channel.startswith("once") and self._last_call_may_have_run.get(message) \
                and channel not in self.excused_channels:
            self.fail(RUN_ONCE, f"{courier} sent {message} again")
        self._last_call_may_have_run[message] = True

    def on_refused(self, message: str) -> None:
        """Note that a courier has received the answer that a call did not run."""
        self._last_call_may_have_run[message] = False

    def on_accepted(self, courier: str, part: int, channel: str, number: int, message: str, next_number: int) -> None:
        """Check a 202 that a client has received, with the next number expected."""
        self.counts["accepted"] += 1
        other = self._numbers.setdefault((channel, number), message)
        if other != message and channel not in self.excused_channels:
            self.fail(GIVEN_ONCE, f"{courier} gave number {number} to {message}, {other} had it")
        self.accepted_messages.setdefault(message, AcceptedMessage(channel, number, part, courier))
        self.on_position(courier, channel, next_number)

    def on_position(self, courier: str, channel: str, next_number: int) -> None:
        """Check the next number expected that a client has received: it must not fall."""
        if next_number < self._next_numbers.get(channel, 0) and channel not in self.excused_channels:
            self.fail(NOT_BACK,
                      f"{courier} answered {next_number} for {channel}, {self._next_numbers[channel]} came before")
        self._next_numbers[channel] = max(next_number, self._next_numbers.get(channel, 0))

    def on_ended(self, courier: str, message: str, outcome: str) -> None:
        """Check an end (`outcome/epoch/courier`) that is on disk and reported; a crash may repeat the same report."""
        self.counts[outcome.split("/")[0]] += 1
        reported = self.ends.setdefault(message, outcome)
        if reported != outcome and not self._excused(message):
            self.fail(END_ONCE, f"{message}: {reported}, then {courier} reported {outcome}")

    def on_dropped(self, courier: str, messages: Iterable[str], held_elsewhere: Callable[[str], bool]) -> None:
        """Check messages that a courier removes before their end; `held_elsewhere` returns whether another disk holds
        one."""
        for message in messages:
            if message in self.accepted_messages and message not in self.ends and not self._excused(message) \
                    and not held_elsewhere(message):
                self.fail(ON_DISK, f"{courier} drops {message}, which no other disk holds")

    def on_disk_replaced(self, channels: Iterable[str], messages: Iterable[str],
                         held_on_disk: Callable[[str], bool]) -> None:
        """Excuse what a disk that lost data, or was replaced, affects: `channels` that were or are on it, `messages` on
        which the old and the new state differ, and unended ones for which `held_on_disk` is false on every disk."""
        self.excused_channels.update(channels)
        self.excused_messages.update(messages)
        for message, accepted in self.accepted_messages.items():
            if message not in self.ends and not held_on_disk(message):
                self.excused_messages.add(message)
                self.excused_channels.add(accepted.channel)

    def check_owners(self, owners: dict[int, list[str]]) -> None:
        """Check that at most one courier considers itself the owner of a part; `owners` lists those that do."""
        for part, names in owners.items():
            if len(names) > 1:
                self.fail(ONE_OWNER, f"part {part} is owned by {' and '.join(names)} at the same time")

    def check_final(self, owners: dict[int, list[str]], unfinished: list[str]) -> None:
        """Check the state after the quiet time: each part has one owner, each accepted message its end, and no channel
        is among the `unfinished`, whose clients still have messages to submit."""
        for part, names in owners.items():
            if len(names) != 1:
                self.fail(LIVE, f"part {part} has {' and '.join(names) or 'no owner'}")
        for message, accepted in self.accepted_messages.items():
            if message not in self.ends and not self._excused(message):
                self.fail(LIVE, f"{message}, accepted by {accepted.courier}, has no end")
        if stuck := [channel for channel in unfinished if channel not in self.excused_channels]:
            self.fail(LIVE, f"{', '.join(stuck)}: the client could not submit all messages")
