"""Transfers learned state between homes: sent when another courier becomes home, pushed to the next courier meanwhile,
and on the other side stored and adopted. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from wheelstep.shards.expiring_table import ExpiringTable
from wheelstep.shards.former_keys import FormerHomeKeys
from wheelstep.shards.handovers import Handover, PushState
from wheelstep.shards.learned_state import KeyName, keys_released_error, learned_state_error
from wheelstep.shards.learned_store import LearnedStore
from wheelstep.shards.types import EndpointHealth, Frame, KeysReleased, LearnedState, LearnedStateAck, OwedKey

_MAX_NUMBERS = 65_536


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send the frame; if that is impossible it is dropped."""

    courier: str
    frame: Frame


@dataclass(frozen=True, slots=True)
class Adopt:
    """Adopt what another courier has learned: see `CourierPort.adopt`."""

    shard: int
    healths: tuple[EndpointHealth, ...]
    waits: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class HandedOver:
    """The former home has handed the shard over: there is nothing more to wait for."""

    shard: int


HandoffAction = SendTo | Adopt | HandedOver


class Handoff:
    """Handoff of all shards of one courier. Bounds: state from others is kept for `max_kept` shards and `max_bytes`,
    the oldest dropped first; `max_keys` keys owed by former homes (see `FormerHomeKeys` for what happens beyond).
    `boot` increases with each start of this courier, so that frame numbers do too. `counts` and `refused` count frames
    sent, given up, and refused by reason."""

    def __init__(self, me: str, max_kept: int = 1_024, retry_us: int = 1_000_000, tries: int = 5, *,
                 shards: int = 16_384, boot: int = 0, max_bytes: int = 8_000_000, max_keys: int = 100_000) -> None:
        self._me = me
        self._shards = shards
        self._retry_us = retry_us
        self._max_tries = tries
        self._number = boot << 32
        self._handovers: dict[int, Handover] = {}
        self._retries: ExpiringTable[int, None] = ExpiringTable()  # handed over shards whose acknowledgement is awaited
        self._pushed: dict[int, PushState] = {}
        self._kept = LearnedStore(max_kept, max_bytes)
        self._former_keys = FormerHomeKeys(shards, max_keys)
        self._last_numbers: dict[tuple[str, int], int] = {}  # the highest received, by sender and shard
        self.counts: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()

    # --- as home ---

    def hand_over(self, now_us: int, shard: int, to: str, healths: Sequence[EndpointHealth],
                  waits: Sequence[tuple[str, int]], keys: Sequence[OwedKey]) -> list[HandoffAction]:
        """Another courier is home now: sends it what was learned, and the keys that former homes may still owe, until
        it acknowledges."""
        self._handovers[shard] = Handover(now_us, shard, to, healths, waits, keys, self._former_keys.of(now_us, shard))
        self._pushed.pop(shard, None)
        self.counts["given"] += 1
        return self._send_handover(now_us, shard, self._handovers[shard])

    def add_owed_keys(self, now_us: int, shard: int, keys: Sequence[OwedKey]) -> list[HandoffAction]:
        """Messages of these keys were taken here after the shard was handed over."""
        handover = self._handovers.get(shard)
        if handover is None or not handover.add_owed_keys(now_us, keys):
            return []
        self.counts["given_more"] += 1
        return self._send_handover(now_us, shard, handover)

    def push(self, now_us: int, shard: int, to: str, healths: Sequence[EndpointHealth],
             waits: Sequence[tuple[str, int]], keys: Sequence[OwedKey]) -> list[HandoffAction]:
        """Sends the next courier what changed notably (`differs`) since the last push, while this courier is home;
        everything if it is another courier than before or the last push was not acknowledged."""
        pushed = self._pushed.get(shard)
        if pushed is None or pushed.to != to or not pushed.acknowledged:
            pushed = self._pushed[shard] = PushState(to)
        frame, released = pushed.changes(now_us, shard, self._next_number(), healths, waits, keys)
        actions: list[HandoffAction] = [SendTo(to, each) for each in (frame, released) if each is not None]
        self.counts["pushed" if actions else "nothing_new"] += 1
        return actions

    def release_keys(self, now_us: int, shard: int, keys: Iterable[KeyName]) -> list[HandoffAction]:
        """This courier owes nothing of these keys any more: tells the courier that the shard was handed to."""
        handover = self._handovers.get(shard)
        if handover is None:
            return []
        return _release_actions(handover, handover.release(keys))

    def dropped(self, now_us: int, shard: int) -> list[HandoffAction]:
        """The shard is no longer served here and nothing of it is owed."""
        self._pushed.pop(shard, None)
        handover = self._handovers.get(shard)
        if handover is None:
            return []
        actions = _release_actions(handover, handover.release(list(handover.own_keys)))
        handover.dropped = True
        self._forget_handover(shard, handover)
        return actions

    def lost(self, courier: str) -> None:
        """The link to the courier has ended; as it may have restarted, the next push is complete."""
        for shard in [shard for shard, pushed in self._pushed.items() if pushed.to == courier]:
            del self._pushed[shard]

    # --- frames received ---

    def heard(self, now_us: int, sender: str, frame: Frame, home_here: bool) -> list[HandoffAction]:
        """Handles a `LearnedState`, `LearnedStateAck` or `KeysReleased` frame. `home_here`: this courier is home of the
        shard, be it open or opening."""
        match frame:
            case LearnedState():
                return self._state_received(now_us, sender, frame, home_here)
            case LearnedStateAck(shard, number):
                self._acknowledged(sender, shard, number)
            case KeysReleased():
                return self._keys_released(sender, frame)
            case _:
                self.refused["unexpected frame"] += 1
        return []

    def opening(self, now_us: int, shard: int) -> list[HandoffAction]:
        """This courier becomes home, or the shard's rows have arrived: state stored for it is adopted with its present
        age. A handover of the shard to another courier is cancelled."""
        self._retries.pop(shard)
        self._handovers.pop(shard, None)
        kept = self._kept.take(now_us, shard)
        if kept is None:
            return []
        healths, waits, handover = kept
        return [Adopt(shard, healths, waits), *([HandedOver(shard)] if handover else [])]

    def tick(self, now_us: int) -> list[HandoffAction]:
        """Repeats handovers that were not acknowledged; to be called at `next_us` or later."""
        actions: list[HandoffAction] = []
        for shard, _ in self._retries.pop_expired(now_us):
            handover = self._handovers[shard]
            if handover.tries >= self._max_tries:
                self.counts["given_up"] += 1
                handover.acknowledged = True
                self._forget_handover(shard, handover)
                continue
            handover.tries += 1
            self._retries.put(shard, None, now_us + self._retry_us)
            self.counts["given_again"] += 1
            actions.append(SendTo(handover.to, handover.frame(now_us)))
        return actions

    def owed_elsewhere_us(self, now_us: int, destination: int, message_class: str, key: str) -> int:
        """How long a former home may still owe this ordered key; 0 if none does."""
        return max(0, self._former_keys.until_us(destination, message_class, key) - now_us)

    def next_us(self) -> int:
        """When `tick` is due; `NEVER_US` if no acknowledgement is awaited."""
        return self._retries.next_us()

    def sizes(self) -> dict[str, int]:
        """The number of entries in each table, and the bytes kept."""
        return {"given": len(self._handovers), "told": len(self._pushed), "kept": len(self._kept),
                "rests": len(self._former_keys), "kept_bytes": self._kept.estimated_bytes,
                "numbers": len(self._last_numbers)}

    # --- internal ---

    def _send_handover(self, now_us: int, shard: int, handover: Handover) -> list[HandoffAction]:
        handover.number, handover.tries, handover.acknowledged = self._next_number(), 1, False
        self._retries.put(shard, None, now_us + self._retry_us)
        return [SendTo(handover.to, handover.frame(now_us))]

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _state_received(self, now_us: int, sender: str, frame: LearnedState, home_here: bool) -> list[HandoffAction]:
        last = self._last_numbers.get((sender, frame.shard), 0)
        error = "sent by this courier" if sender == self._me else learned_state_error(frame, self._shards)
        error = error or ("old number" if frame.number < last else "")
        if error:
            self.refused[error] += 1
            return []
        reply = SendTo(sender, LearnedStateAck(frame.shard, frame.number))
        if frame.number == last:  # the acknowledgement was lost
            return [reply]
        self._last_numbers.pop((sender, frame.shard), None)
        if len(self._last_numbers) >= _MAX_NUMBERS:
            del self._last_numbers[next(iter(self._last_numbers))]
        self._last_numbers[sender, frame.shard] = frame.number
        self._former_keys.add_keys(now_us, frame.shard, sender, frame.keys, replace=frame.handover)
        self._kept.store(now_us, frame)
        if not home_here:
            return [reply]
        adopt = Adopt(frame.shard, frame.healths, frame.waits)
        return [reply, adopt, *([HandedOver(frame.shard)] if frame.handover else [])]

    def _acknowledged(self, sender: str, shard: int, number: int) -> None:
        handover, pushed = self._handovers.get(shard), self._pushed.get(shard)
        if handover is not None and handover.to == sender and handover.number == number:
            handover.acknowledged = True
            self._retries.pop(shard)
            self._forget_handover(shard, handover)
        elif pushed is not None and pushed.to == sender and pushed.number == number:
            pushed.acknowledged = True

    def _keys_released(self, sender: str, frame: KeysReleased) -> list[HandoffAction]:
        if error := keys_released_error(frame, self._shards):
            self.refused[error] += 1
            return []
        self._former_keys.release(frame.shard, sender, frame.keys)
        handover = self._handovers.get(frame.shard)
        if handover is None:
            return []
        return _release_actions(handover, handover.release_inherited(
            [name for name in frame.keys if not self._former_keys.until_us(*name)]))

    def _forget_handover(self, shard: int, handover: Handover) -> None:
        if handover.dropped and handover.acknowledged:
            self._handovers.pop(shard, None)
            self._retries.pop(shard)


def _release_actions(handover: Handover, released: KeysReleased | None) -> list[HandoffAction]:
    return [] if released is None else [SendTo(handover.to, released)]
