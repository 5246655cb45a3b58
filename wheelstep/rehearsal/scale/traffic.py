"""The clients of a hollow courier: they submit messages to destinations drawn from the whole list, through the same
calls of `Admission` as the client server (`courier.client_server`), but without sockets."""

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
from wheelstep.rehearsal.scale.settings import DEADLINE_S, IS_ORDERED, KEYS_PER_DESTINATION, draw_class

CLIENT_TIMEOUT_S = 0.4
MAX_TRIES = 8
_RETRY_DELAY_RANGE_S = (0.33, 1.7)
_BODY = b"x" * 200


class Histogram:
    """Durations in logarithmic buckets, eight per octave (each 9% wide). Histograms are merged by adding their
    counts."""

    def __init__(self) -> None:
        self.counts: Counter[int] = Counter()

    def add(self, duration_s: float) -> None:
        """Count one duration."""
        self.counts[round(8 * math.log2(max(duration_s, 1e-6) * 1e6))] += 1


def percentile_us(counts: dict[int, int], share: float) -> float | None:
    """Return the duration in microseconds that a fraction `share` of the counts does not exceed; None without any
    counts."""
    left = share * sum(counts.values())
    for step in sorted(counts):
        left -= counts[step]
        if left <= 0:
            return float(2 ** (step / 8))
    return None


class DestinationSampler:
    """Draws destinations at random. With `active_share` below 1, only this fraction of the destinations is drawn, so
    that each of them gets its rate at full traffic."""

    def __init__(self, destinations: int, rng: random.Random) -> None:
        self._destinations, self._rng = destinations, rng
        self.active_share = 1.0

    def next(self) -> int:
        """Return a random destination."""
        if self.active_share >= 1:
            return self._rng.randrange(self._destinations)
        # A hash maps each choice to a destination: all couriers choose the same ones, spread evenly over shards.
        chosen = self._rng.randrange(max(1, round(self._destinations * self.active_share)))
        digest = hashlib.blake2b(f"dense/{chosen}".encode(), digest_size=8).digest()
        return int.from_bytes(digest, "big") % self._destinations


class ClientTraffic:
    """Submits messages at a given rate until `stop`. A client whose message is rejected or not answered submits it
    again, up to `MAX_TRIES` times in all."""

    def __init__(self, name: str, find_admission: Callable[[int], Admission], ready: Callable[[], bool],
                 sampler: DestinationSampler, rng: random.Random, answers: Counter[str], answer_times: Histogram,
                 durable_wait_times: Histogram) -> None:
        self._name, self._find_admission, self._ready, self.sampler, self._rng = (
            name, find_admission, ready, sampler, rng)
        self.answers, self._answer_times, self._durable_wait_times = answers, answer_times, durable_wait_times
        self._per_s = 0.0
        self._submitted = 0
        self._timer: asyncio.TimerHandle | None = None
        self.last_failure_s = 0.0  # loop time of the last submission that failed or was rejected
        self.unanswered = 0  # messages that were neither answered 202 nor given up
        self._stopped = False

    def set_rate(self, per_s: float) -> None:
        """Submit `per_s` messages a second from now on; 0 submits none."""
        self._per_s = per_s
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if per_s > 0 and not self._stopped:
            self._timer = asyncio.get_running_loop().call_later(self._rng.expovariate(per_s), self._submit_next)

    def stop(self) -> None:
        """Submit nothing more, retries included."""
        self._stopped = True
        self.set_rate(0.0)

    def _submit_next(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(self._rng.expovariate(self._per_s), self._submit_next)
        destination, message_class = self.sampler.next(), draw_class(self._rng)
        self._submitted += 1
        name = f"{self._name}-{time.monotonic_ns() // 1000:x}-{self._submitted}-{destination}"
        key = f"{destination}.{self._rng.randrange(KEYS_PER_DESTINATION)}" if IS_ORDERED[message_class] else None
        self.unanswered += 1
        self._submit(StoredMessage(name, message_class, destination, int((time.time() + DEADLINE_S) * 1000), key,
                                   f"k{name}", False, _BODY), 1)

    def _submit(self, message: StoredMessage, try_number: int) -> None:
        if self._stopped:
            return
        if not self._ready():
            self._record_answer(message, try_number, "not_ready")
            return
        self.answers["handed_in"] += 1
        admission, began_s = self._find_admission(message.destination), time.perf_counter()
        if admission.holds(message.id):
            self._record_answer(message, try_number, "none" if admission.is_unconfirmed(message.id) else "202")
        elif not admission.serves(message.destination):
            self._record_answer(message, try_number, "400")
        elif admission.full():
            self._record_answer(message, try_number, "503")
        else:
            try:
                admission.take(message)
            except NoRoomError:
                self._record_answer(message, try_number, "503")
                return
            if not admission.syncs:
                self._accept(admission, message, try_number, began_s, False)
                return
            durable, loop = admission.durable(), asyncio.get_running_loop()
            timeout = loop.call_later(CLIENT_TIMEOUT_S, durable.cancel)
            at_once = durable.done()

            def on_durable(durable: asyncio.Future[None]) -> None:
                timeout.cancel()
                self._on_durable(admission, message, try_number, began_s, durable, not at_once)
            durable.add_done_callback(on_durable)

    def _on_durable(self, admission: Admission, message: StoredMessage, try_number: int, began_s: float,
                    durable: asyncio.Future[None], waited: bool) -> None:
        error = None if durable.cancelled() else durable.exception()
        if not durable.cancelled() and error is None:
            self._accept(admission, message, try_number, began_s, waited)
            return
        admission.withdraw(message.id)
        if isinstance(error, NoRoomError):
            admission.record_answer(message, 503)
            self.answers[f"503: {error}"[:60]] += 1
            self._record_answer(message, try_number, "503")
        elif isinstance(error, BadRequestError):
            self._record_answer(message, try_number, "400")
        elif error is None or isinstance(error, UnansweredError):
            self._record_answer(message, try_number, "none")
        else:
            raise error

    def _accept(self, admission: Admission, message: StoredMessage, try_number: int, began_s: float,
                waited: bool) -> None:
        duration_s = time.perf_counter() - began_s
        self._answer_times.add(duration_s)
        if waited:
            self._durable_wait_times.add(duration_s)
        admission.begin(message.id)
        admission.record_answer(message, 202)
        self._record_answer(message, try_number, "202")

    def _record_answer(self, message: StoredMessage, try_number: int, answer: str) -> None:
        self.answers[answer] += 1
        if answer == "202":
            self.unanswered -= 1
            return
        loop = asyncio.get_running_loop()
        self.last_failure_s = loop.time()
        if try_number >= MAX_TRIES or answer == "400":
            self.unanswered -= 1
            self.answers["given_up"] += 1
            return
        message.resubmitted = True
        loop.call_later(self._rng.uniform(*_RETRY_DELAY_RANGE_S), self._submit, message, try_number + 1)
