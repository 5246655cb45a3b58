"""Learned state handed from a home to the next: given when another becomes home, pushed while it is home, kept and
taken over on the other side. No I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from wheelstep.shards.given import Given, Told
from wheelstep.shards.kept import Kept
from wheelstep.shards.learned import KeyName, wrong_learned, wrong_over
from wheelstep.shards.rests import Rests
from wheelstep.shards.timed import Timed
from wheelstep.shards.types import EndpointHealth, Frame, KeysOver, Learned, LearnedHeard, OwedKey

_MOST_NUMBERS = 65_536


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send it; nothing happens if it can't be."""

    courier: str
    frame: Frame


@dataclass(frozen=True, slots=True)
class Adopt:
    """Take over what another has learned: `Shelf.adopt`."""

    shard: int
    healths: tuple[EndpointHealth, ...]
    waits: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class Taught:
    """The former home has handed the shard over: no need to wait for more."""

    shard: int


HandAct = SendTo | Adopt | Taught


class Handoff:
    """For one courier, of all its shards. Bounds: what others sent is kept for `most_kept` shards and `most_bytes`, the
    oldest out; `most_keys` resting keys (beyond: see `Rests`). `boot` rises with each start of this courier, so that
    its numbers do. `counts` and `refused` tell what was sent, given up and turned down, and why."""

    def __init__(self, me: str, most_kept: int = 1_024, again_us: int = 1_000_000, tries: int = 5, *,
                 shards: int = 16_384, boot: int = 0, most_bytes: int = 8_000_000, most_keys: int = 100_000) -> None:
        self._me = me
        self._shards = shards
        self._again_us = again_us
        self._tries = tries
        self._number = boot << 32
        self._given: dict[int, Given] = {}
        self._due: Timed[int, None] = Timed()  # shards handed over and not heard of
        self._told: dict[int, Told] = {}
        self._kept = Kept(most_kept, most_bytes)
        self._rests = Rests(shards, most_keys)
        self._numbers: dict[tuple[str, int], int] = {}  # the highest heard by sender and shard
        self.counts: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()

    # --- as home ---

    def gave(self, now_us: int, shard: int, to: str, healths: Sequence[EndpointHealth],
             waits: Sequence[tuple[str, int]], keys: Sequence[OwedKey]) -> list[HandAct]:
        """Another is home: what it is to know, with what homes before may still owe. Sent until it is heard."""
        self._given[shard] = Given(now_us, shard, to, healths, waits, keys, self._rests.of(now_us, shard))
        self._told.pop(shard, None)
        self.counts["given"] += 1
        return self._give(now_us, shard, self._given[shard])

    def owes_more(self, now_us: int, shard: int, keys: Sequence[OwedKey]) -> list[HandAct]:
        """A shard that was handed over: messages of these keys were taken here after that."""
        given = self._given.get(shard)
        if given is None or not given.owes_more(now_us, keys):
            return []
        self.counts["given_more"] += 1
        return self._give(now_us, shard, given)

    def push(self, now_us: int, shard: int, to: str, healths: Sequence[EndpointHealth],
             waits: Sequence[tuple[str, int]], keys: Sequence[OwedKey]) -> list[HandAct]:
        """Still home: what has changed (`differs`) since the last push to that courier, or all if it is another one or
        has not said that it has the last."""
        told = self._told.get(shard)
        if told is None or told.to != to or not told.heard:
            told = self._told[shard] = Told(to)
        frame, over = told.news(now_us, shard, self._next(), healths, waits, keys)
        acts: list[HandAct] = [SendTo(to, each) for each in (frame, over) if each is not None]
        self.counts["pushed" if acts else "nothing_new"] += 1
        return acts

    def keys_over(self, now_us: int, shard: int, keys: Iterable[KeyName]) -> list[HandAct]:
        """Nothing of these is owed here any more: the courier that the shard was handed to is told."""
        given = self._given.get(shard)
        if given is None:
            return []
        return _told_over(given, given.over(keys))

    def dropped(self, now_us: int, shard: int) -> list[HandAct]:
        """The shard is served here no more and nothing of it is owed."""
        self._told.pop(shard, None)
        given = self._given.get(shard)
        if given is None:
            return []
        acts = _told_over(given, given.over(list(given.own)))
        given.dropped = True
        self._forget_given(shard, given)
        return acts

    def lost(self, courier: str) -> None:
        """The link to it ended; it may have been started anew: the next push tells it all."""
        for shard in [shard for shard, told in self._told.items() if told.to == courier]:
            del self._told[shard]

    # --- what others say ---

    def heard(self, now_us: int, sender: str, frame: Frame, home_here: bool) -> list[HandAct]:
        """`Learned`, `LearnedHeard` or `KeysOver`. `home_here`: this courier is home of the shard, open or opening."""
        match frame:
            case Learned():
                return self._learned(now_us, sender, frame, home_here)
            case LearnedHeard(shard, number):
                self._was_heard(sender, shard, number)
            case KeysOver():
                return self._keys_over(sender, frame)
            case _:
                self.refused["no frame of a handover"] += 1
        return []

    def opening(self, now_us: int, shard: int) -> list[HandAct]:
        """This courier becomes home, or its rows are there: what was kept is adopted, as old as it is now. What was to
        be handed to another is not any more."""
        self._due.pop(shard)
        self._given.pop(shard, None)
        kept = self._kept.take(now_us, shard)
        if kept is None:
            return []
        healths, waits, handover = kept
        return [Adopt(shard, healths, waits), *([Taught(shard)] if handover else [])]

    def tick(self, now_us: int) -> list[HandAct]:
        """Time has passed; to be called at `next_us` or later."""
        acts: list[HandAct] = []
        for shard, _ in self._due.ended(now_us):
            given = self._given[shard]
            if given.tries >= self._tries:
                self.counts["given_up"] += 1
                given.heard = True
                self._forget_given(shard, given)
                continue
            given.tries += 1
            self._due.put(shard, None, now_us + self._again_us)
            self.counts["given_again"] += 1
            acts.append(SendTo(given.to, given.frame(now_us)))
        return acts

    def rests_us(self, now_us: int, destination: int, message_class: str, key: str) -> int:
        """How long a former home may still owe this ordered key; 0: none does."""
        return max(0, self._rests.until_us(destination, message_class, key) - now_us)

    def next_us(self) -> int:
        """When `tick` has something to do; `NEVER_US` if nothing is awaited."""
        return self._due.next_us()

    def sizes(self) -> dict[str, int]:
        """Entries in each table, and the bytes kept."""
        return {"given": len(self._given), "told": len(self._told), "kept": len(self._kept), "rests": len(self._rests),
                "kept_bytes": self._kept.size, "numbers": len(self._numbers)}

    # --- within ---

    def _give(self, now_us: int, shard: int, given: Given) -> list[HandAct]:
        given.number, given.tries, given.heard = self._next(), 1, False
        self._due.put(shard, None, now_us + self._again_us)
        return [SendTo(given.to, given.frame(now_us))]

    def _next(self) -> int:
        self._number += 1
        return self._number

    def _learned(self, now_us: int, sender: str, frame: Learned, home_here: bool) -> list[HandAct]:
        last = self._numbers.get((sender, frame.shard), 0)
        wrong = "from itself" if sender == self._me else wrong_learned(frame, self._shards)
        wrong = wrong or ("old number" if frame.number < last else "")
        if wrong:
            self.refused[wrong] += 1
            return []
        reply = SendTo(sender, LearnedHeard(frame.shard, frame.number))
        if frame.number == last:  # its answer was lost
            return [reply]
        self._numbers.pop((sender, frame.shard), None)
        if len(self._numbers) >= _MOST_NUMBERS:
            del self._numbers[next(iter(self._numbers))]
        self._numbers[sender, frame.shard] = frame.number
        self._rests.owes(now_us, frame.shard, sender, frame.keys, anew=frame.handover)
        self._kept.keep(now_us, frame)
        if not home_here:
            return [reply]
        adopt = Adopt(frame.shard, frame.healths, frame.waits)
        return [reply, adopt, *([Taught(frame.shard)] if frame.handover else [])]

    def _was_heard(self, sender: str, shard: int, number: int) -> None:
        given, told = self._given.get(shard), self._told.get(shard)
        if given is not None and given.to == sender and given.number == number:
            given.heard = True
            self._due.pop(shard)
            self._forget_given(shard, given)
        elif told is not None and told.to == sender and told.number == number:
            told.heard = True

    def _keys_over(self, sender: str, frame: KeysOver) -> list[HandAct]:
        if wrong := wrong_over(frame, self._shards):
            self.refused[wrong] += 1
            return []
        self._rests.over(frame.shard, sender, frame.keys)
        given = self._given.get(frame.shard)
        if given is None:
            return []
        return _told_over(given, given.rested_over([name for name in frame.keys if not self._rests.until_us(*name)]))

    def _forget_given(self, shard: int, given: Given) -> None:
        if given.dropped and given.heard:
            self._given.pop(shard, None)
            self._due.pop(shard)


def _told_over(given: Given, over: KeysOver | None) -> list[HandAct]:
    return [] if over is None else [SendTo(given.to, over)]
