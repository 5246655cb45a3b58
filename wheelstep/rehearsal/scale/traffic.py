"""What a hollow courier's clients hand in: thin, to destinations drawn over the whole list, each as a client server
would take it (`courier.client_server`).
"""

from __future__ import annotations

import asyncio
import hashlib
import math
import random
import time
from collections import Counter
from collections.abc import Callable

from wheelstep.courier.admission import Admission, BadRequestError, UnansweredError
from wheelstep.journal import NoRoomError, StoredMessage
from wheelstep.rehearsal.scale.settings import DEADLINE_S, KEYS, ORDERED, draw_class

PATIENCE_S = 0.4
TRIES = 8
_AGAIN_S = (0.33, 1.7)
_BODY = b"x" * 200


class Histogram:
    """Times by octaves of eight steps: merged by adding, 9% wide."""

    def __init__(self) -> None:
        self.counts: Counter[int] = Counter()

    def add(self, spent_s: float) -> None:
        """One."""
        self.counts[round(8 * math.log2(max(spent_s, 1e-6) * 1e6))] += 1


def percentile_us(counts: dict[int, int], share: float) -> float | None:
    """The time that this share took at most, in microseconds; None without any."""
    left = share * sum(counts.values())
    for step in sorted(counts):
        left -= counts[step]
        if left <= 0:
            return float(2 ** (step / 8))
    return None


class Draw:
    """Destinations. `dense`: only this share of them gets any, so that each has the rate that it would have at full
    traffic."""

    def __init__(self, destinations: int, rng: random.Random) -> None:
        self._destinations, self._rng = destinations, rng
        self.dense = 1.0

    def next(self) -> int:
        """One of them."""
        if self.dense >= 1:
            return self._rng.randrange(self._destinations)
        # Every so-manieth by a permutation that all couriers share, so that shards are hit evenly.
        chosen = self._rng.randrange(max(1, round(self._destinations * self.dense)))
        digest = hashlib.blake2b(f"dense/{chosen}".encode(), digest_size=8).digest()
        return int.from_bytes(digest, "big") % self._destinations


class Traffic:
    """Hands messages in at `per_s`, until `stop`. A client that was turned away or not answered comes again."""

    def __init__(self, name: str, find: Callable[[int], Admission], ready: Callable[[], bool], draw: Draw,
                 rng: random.Random, answers: Counter[str], took: Histogram, waited: Histogram) -> None:
        self._name, self._find, self._ready, self.draw, self._rng = name, find, ready, draw, rng
        self.answers, self._took, self._waited = answers, took, waited
        self._per_s = 0.0
        self._number = 0
        self._timer: asyncio.TimerHandle | None = None
        self.failed_s = 0.0  # the loop's time of the last answer that was none, or 503
        self.open = 0  # messages that have neither 202 nor been given up
        self._stopped = False

    def set(self, per_s: float) -> None:
        """From now on; 0: nothing new."""
        self._per_s = per_s
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if per_s > 0 and not self._stopped:
            self._timer = asyncio.get_running_loop().call_later(self._rng.expovariate(per_s), self._go)

    def stop(self) -> None:
        """For good; its clients are gone with it."""
        self._stopped = True
        self.set(0.0)

    def _go(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(self._rng.expovariate(self._per_s), self._go)
        destination, message_class = self.draw.next(), draw_class(self._rng)
        self._number += 1
        name = f"{self._name}-{time.monotonic_ns() // 1000:x}-{self._number}-{destination}"
        key = f"{destination}.{self._rng.randrange(KEYS)}" if ORDERED[message_class] else None
        self.open += 1
        self._hand_in(StoredMessage(name, message_class, destination, int((time.time() + DEADLINE_S) * 1000), key,
                             f"k{name}", False, _BODY), 1)

    def _hand_in(self, message: StoredMessage, tries: int) -> None:
        if self._stopped:
            return
        if not self._ready():
            self._answered(message, tries, "not_ready")
            return
        self.answers["handed_in"] += 1
        desk, began_s = self._find(message.destination), time.perf_counter()
        if desk.holds(message.id):
            self._answered(message, tries, "none" if desk.is_unconfirmed(message.id) else "202")
        elif not desk.serves(message.destination):
            self._answered(message, tries, "400")
        elif desk.full():
            self._answered(message, tries, "503")
        else:
            try:
                desk.take(message)
            except NoRoomError:
                self._answered(message, tries, "503")
                return
            if not desk.syncs:
                self._began(desk, message, tries, began_s, False)
                return
            work, loop = desk.durable(), asyncio.get_running_loop()
            patience = loop.call_later(PATIENCE_S, work.cancel)
            at_once = work.done()

            def settled(work: asyncio.Future[None]) -> None:
                patience.cancel()
                self._settled(desk, message, tries, began_s, work, not at_once)
            work.add_done_callback(settled)

    def _settled(self, desk: Admission, message: StoredMessage, tries: int, began_s: float, work: asyncio.Future[None],
                 waited: bool) -> None:
        error = None if work.cancelled() else work.exception()
        if not work.cancelled() and error is None:
            self._began(desk, message, tries, began_s, waited)
            return
        desk.withdraw(message.id)
        if isinstance(error, NoRoomError):
            desk.record_answer(message, 503)
            self.answers[f"503: {error}"[:60]] += 1
            self._answered(message, tries, "503")
        elif isinstance(error, BadRequestError):
            self._answered(message, tries, "400")
        elif error is None or isinstance(error, UnansweredError):
            self._answered(message, tries, "none")
        else:
            raise error

    def _began(self, desk: Admission, message: StoredMessage, tries: int, began_s: float, waited: bool) -> None:
        spent_s = time.perf_counter() - began_s
        self._took.add(spent_s)
        if waited:
            self._waited.add(spent_s)
        desk.begin(message.id)
        desk.record_answer(message, 202)
        self._answered(message, tries, "202")

    def _answered(self, message: StoredMessage, tries: int, answer: str) -> None:
        self.answers[answer] += 1
        if answer == "202":
            self.open -= 1
            return
        loop = asyncio.get_running_loop()
        self.failed_s = loop.time()
        if tries >= TRIES or answer == "400":
            self.open -= 1
            self.answers["given_up"] += 1
            return
        message.resubmitted = True
        loop.call_later(self._rng.uniform(*_AGAIN_S), self._hand_in, message, tries + 1)
