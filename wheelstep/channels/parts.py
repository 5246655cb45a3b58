"""Channels that move between couriers with their part: handed over by the owner, or taken over from one that is gone.
No I/O."""

from __future__ import annotations

import msgspec

from wheelstep.channels.position import Position, PositionError
from wheelstep.channels.shelf import INHERITED, ChannelStore
from wheelstep.channels.stored import from_data
from wheelstep.channels.terms import Contract


class ChannelParts(ChannelStore):
    """The channels of this courier, by part."""

    def channels(self, part: int) -> list[str]:
        """Return the names of a part's channels."""
        return list(self._by_part.get(part, ()))

    def shut(self, part: int) -> None:
        """Release nothing of the part until `open`."""
        self._shut.add(part)

    def open(self, part: int) -> None:
        """Release the part's messages again."""
        self._shut.discard(part)
        self._release_due |= self._by_part.get(part, {})

    def in_flight(self, part: int) -> list[str]:
        """Return the part's messages that are in flight, in order within each channel."""
        queues = [self._queues[name] for name in self._by_part.get(part, ())]
        return [queue.position.entries[number].message for queue in queues for number in sorted(queue.in_flight)]

    def export(self, channel: str) -> bytes:
        """Return a channel's position, encoded for another courier. Raises `KeyError` for an unknown channel."""
        return msgspec.json.encode(self._queues[channel].position.to_data())

    def adopt(self, now_ms: int, channel: str, data: bytes, contract: Contract | None) -> None:
        """Add a channel that was handed over; the caller adopts its messages first. A channel that holds messages keeps
        the terms that came with it. Adopting the same position again does nothing. Raises `PositionError` for an
        invalid position, or one older than that known here."""
        position = _decode(data)
        known = self._queues.get(channel)
        if known is not None:
            current = known.position
            if position.revision == current.revision and position.next == current.next:
                return
            if position.revision <= current.revision or position.next < current.next \
                    or position.session < current.session:
                raise PositionError(f"channel {channel!r}: position is older: revision {position.revision} with next "
                                    f"{position.next}; expected one after {current.revision} with {current.next}")
        if not position.entries and contract is not None:
            position.terms = contract
        if known is not None:
            self._forget(known)
        queue = self._add(now_ms, channel, position)
        if known is not None:
            queue.carry_over_in_flight(known)
        self._changed_names[channel] = None
        self._note_change(now_ms, queue)

    def drop(self, part: int) -> None:
        """Forget a part that another courier owns now."""
        for name in self.channels(part):
            self._forget(self._queues[name])
        if part in self._inherited:
            self._inherited.discard(part)
            self._changed_names[INHERITED] = None

    def inherit(self, part: int) -> None:
        """Note that the part's owner is gone, together with positions that are only on its disk. A channel not known
        here then starts at the number that its client uses. Where the contract holds at gaps, the numbers right before
        it are lost: they block the channel until the former owner sends its messages (see `merge_former` and
        `accept_found`)."""
        self._inherited.add(part)
        self._changed_names[INHERITED] = None

    def inherited(self, part: int) -> bool:
        """Return whether a former owner has positions of the part that are missing here."""
        return part in self._inherited

    def merge_former(self, now_ms: int, channel: str, data: bytes) -> None:
        """Merge the position of a former owner that has returned; its messages follow, for `accept_found`. Raises
        `PositionError`."""
        former = _decode(data)
        queue = self._queues.get(channel)
        newer = queue is not None and queue.position.stale and not queue.position.entries \
            and former.next > queue.position.next
        if queue is not None and not newer:
            queue.position.merge_former(former)
        else:
            former.mark_held_lost()
            if queue is not None:  # none of several former owners need be the last: the higher `next` counts
                former.merge_former(queue.position)
                former.revision = max(former.revision, queue.position.revision) + 1
                self._forget(queue)
            queue = self._add(now_ms, channel, former)
            self._changed_names[channel] = None
        self._note_change(now_ms, queue)

    def accept_found(self, now_ms: int, channel: str, number: int, message: str) -> bool:
        """Handle a message that a former owner has found on its disk. Returns True if it is accepted: its number is
        still missing and the contract holds at gaps. False: it must never run here."""
        queue = self._queues.get(channel)
        terms = self._current_terms(channel) if queue is None else queue.position.terms
        if terms is None or terms.gap != "hold":
            return False
        known = self._by_message.get(message)
        if known is not None:
            return known == (queue, number)
        position = self._new_position(terms, channel, number) if queue is None else queue.position
        if queue is None:
            position.stale = True  # clients may have used later numbers since
        if position.state(number) not in ("free", "lost") or position.full(number) or \
                (queue is None and len(self._queues) >= self._max_channels):
            return False
        queue = queue or self._add(now_ms, channel, position)
        position.take(number, message, False, recovered=True)
        self._by_message[message] = (queue, number)
        queue.client_answered(number)
        self._note_change(now_ms, queue)
        return True


def _decode(data: bytes) -> Position:
    """Decode an exported position. Raises `PositionError`."""
    try:
        return from_data(msgspec.json.decode(data))
    except (msgspec.DecodeError, RecursionError) as error:
        raise PositionError(f"invalid position: {error}") from error
