"""The design: a ratio control of retries and a window of calls for each destination."""

from __future__ import annotations

import math
import random
from collections import deque

from wheelstep.interface import Outcome

GAMMA0 = 0.1  # the loop's target: share of answers that were to retries
PHASE_MARGIN = math.pi / 4
ZETA_BAND = (0.5, 1.5)  # gains are kept while zeta stays this near to the one they were made for


def gains(nu1: float, tau_s: float) -> tuple[float, float]:
    """The paper's equations (12) and (13)."""
    return nu1 / math.sqrt(2), nu1 * (3 * math.pi / 4 - PHASE_MARGIN) / (math.sqrt(2) * tau_s)


class RetryLoop:
    """The retry gate of one destination: Hong, Huang and Yan's ratio control."""

    def __init__(self, slots: int, t1_us: int, rng: random.Random) -> None:
        self.tau_us = 0.0
        self._weight, self._t1_us, self._rng, self._at_us = 1 / slots, t1_us, rng, 0
        self._answers: deque[tuple[int, bool]] = deque()
        self._due: deque[int] = deque()
        self._kp = self._ki = self._zeta0 = self._integral = 0.0

    def sample(self, spent_us: float) -> None:
        """A round trip, or the length of a time-out."""
        self.tau_us += self._weight * (spent_us - self.tau_us) if self.tau_us else spent_us

    def answered(self, now_us: int, to_retry: bool) -> None:
        """Count an answer. Few answers can't show a share near the target, so the interval always
        reaches back over 1/GAMMA0 of them (a departure: the design's is T1, too short for a quiet sender)."""
        self._answers.append((now_us, to_retry))
        while len(self._answers) > 1 / GAMMA0 and self._answers[0][0] < now_us - self._t1_us:
            self._answers.popleft()
        self._step(now_us)

    def _step(self, now_us: int) -> None:
        """Equation (5)'s integral; held while the gate is open, bounded against wind-up."""
        elapsed_s = min(now_us - self._at_us, self._t1_us) / 1e6
        self._at_us = now_us
        if self.tau_us < self._t1_us or not self._answers:
            self._integral = 0.0
            return
        span_s = max(now_us - self._answers[0][0], self._t1_us) / 1e6
        nu1, tau_s = len(self._answers) / span_s, self.tau_us / 1e6
        zeta = tau_s / nu1
        if not ZETA_BAND[0] * self._zeta0 <= zeta <= ZETA_BAND[1] * self._zeta0:
            self._zeta0, (self._kp, self._ki) = zeta, gains(nu1, tau_s)
        top = max(self._due_rate(now_us), nu1) / self._ki
        self._integral = min(max(self._integral + self._error() * elapsed_s, 0.0), top)

    def _error(self) -> float:
        return GAMMA0 - sum(retry for _, retry in self._answers) / max(len(self._answers), 1)

    def _due_rate(self, now_us: int) -> float:
        while self._due and self._due[0] < now_us - self._t1_us:
            self._due.popleft()
        return len(self._due) * 1e6 / self._t1_us

    def may_retry(self, now_us: int) -> bool:
        """Does a retry that is due now go?"""
        due_rate = self._due_rate(now_us)
        self._due.append(now_us)
        if self.tau_us < self._t1_us or not due_rate:
            return True
        self._step(now_us)
        rate = self._kp * self._error() + self._ki * self._integral
        return self._rng.random() < min(max(rate / due_rate, 0.0), 1.0)


class Window:
    """Calls out at once to one destination: from a quarter to three quarters of the slots."""

    def __init__(self, slots: int) -> None:
        self._top, self._half = max(1, math.ceil(slots * 3 / 4) - 1), max(1, slots // 2)
        self.size = max(1.0, slots // 4)

    def judge(self, outcome: Outcome) -> None:
        if outcome is Outcome.OK:
            self.size = min(self.size + 1, self._top)
        elif outcome in (Outcome.FULL, Outcome.TIMEOUT):
            self.size = max(1.0, self.size / 2)

    def room(self, calls_out: int, doubtful: bool) -> bool:
        """A destination in doubt is held to half of the slots before its outcomes have shrunk the window."""
        return calls_out < min(self.size, self._half if doubtful else self._top)
