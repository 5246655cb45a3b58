"""For each destination: the ratio control of retries, and the window of concurrent calls."""

import math
import random
from collections import deque

from wheelstep.interface import Outcome

TARGET_RETRY_SHARE = 0.1  # the paper's gamma_0: target for the share of answers that are to retries
PHASE_MARGIN = math.pi / 4
ZETA_BAND = (0.5, 1.5)  # gains are kept while zeta is within these multiples of the one they are for


def control_gains(nu1: float, tau_s: float) -> tuple[float, float]:
    """Return the controller gains KP and KI by the paper's equations (12) and (13)."""
    return nu1 / math.sqrt(2), nu1 * (3 * math.pi / 4 - PHASE_MARGIN) / (math.sqrt(2) * tau_s)


class RetryController:
    """Admits or denies the retries to one destination by Hong, Huang and Yan's ratio control."""

    def __init__(self, slots: int, t1_us: int, rng: random.Random) -> None:
        self.tau_us = 0.0
        self._smoothing, self._t1_us, self._rng, self._last_step_us = 1 / slots, t1_us, rng, 0
        self._answers: deque[tuple[int, bool]] = deque()
        self._due_us: deque[int] = deque()
        self._kp = self._ki = self._zeta0 = self._integral = 0.0

    def add_duration(self, spent_us: float) -> None:
        """Add a round trip, or the length of a time-out, to the smoothed mean `tau_us`."""
        self.tau_us += self._smoothing * (spent_us - self.tau_us) if self.tau_us else spent_us

    def record_answer(self, now_us: int, to_retry: bool) -> None:
        """Count an answer, over T1 and at least 1 / TARGET_RETRY_SHARE answers: fewer show no share."""
        self._answers.append((now_us, to_retry))
        while len(self._answers) > 1 / TARGET_RETRY_SHARE and self._answers[0][0] < now_us - self._t1_us:
            self._answers.popleft()
        self._update_integral(now_us)

    def _update_integral(self, now_us: int) -> None:
        """Update the integral of equation (5): 0 while all retries are admitted, bounded against wind-up."""
        elapsed_s = min(now_us - self._last_step_us, self._t1_us) / 1e6
        self._last_step_us = now_us
        if self.tau_us < self._t1_us or not self._answers:
            self._integral = 0.0
            return
        span_s = max(now_us - self._answers[0][0], self._t1_us) / 1e6
        nu1, tau_s = len(self._answers) / span_s, self.tau_us / 1e6
        zeta = tau_s / nu1
        if not ZETA_BAND[0] * self._zeta0 <= zeta <= ZETA_BAND[1] * self._zeta0:
            self._zeta0, (self._kp, self._ki) = zeta, control_gains(nu1, tau_s)
        max_integral = max(self._due_rate(now_us), nu1) / self._ki
        self._integral = min(max(self._integral + self._error() * elapsed_s, 0.0), max_integral)

    def _error(self) -> float:
        return TARGET_RETRY_SHARE - sum(retry for _, retry in self._answers) / max(len(self._answers), 1)

    def _due_rate(self, now_us: int) -> float:
        while self._due_us and self._due_us[0] < now_us - self._t1_us:
            self._due_us.popleft()
        return len(self._due_us) * 1e6 / self._t1_us

    def may_retry(self, now_us: int) -> bool:
        """Count a retry as due now, and return whether it is admitted."""
        due_rate = self._due_rate(now_us)
        self._due_us.append(now_us)
        if self.tau_us < self._t1_us or not due_rate:
            return True
        self._update_integral(now_us)
        rate = self._kp * self._error() + self._ki * self._integral
        return self._rng.random() < min(max(rate / due_rate, 0.0), 1.0)


class CallWindow:
    """The limit on concurrent calls to one destination: one call to under three quarters of the slots."""

    def __init__(self, slots: int) -> None:
        self._max_size, self._max_in_doubt = max(1, math.ceil(slots * 3 / 4) - 1), max(1, slots // 2)
        self.size = max(1.0, slots // 4)

    def record_outcome(self, outcome: Outcome) -> None:
        """Adjust the size to the outcome of a call."""
        if outcome is Outcome.OK:
            self.size = min(self.size + 1, self._max_size)
        elif outcome in (Outcome.FULL, Outcome.TIMEOUT):
            self.size = max(1.0, self.size / 2)

    def has_room(self, calls_out: int, in_doubt: bool) -> bool:
        """Return whether one more call may start; in doubt within half of the slots."""
        return calls_out < min(self.size, self._max_in_doubt if in_doubt else self._max_size)
