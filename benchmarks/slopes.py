"""How a figure grows with one variable, all others held: constant, log n, linear, n log n or quadratic.

Each law is fitted as `at + by * f(n)` with `at` and `by` not below 0, by least squares on relative errors (so that a
size of 1,000 counts as much as one of 140,000). The residual is the root of the mean of squared relative errors. The
rule: of all laws, from the flattest to the steepest, the first is taken whose residual is at most `ENOUGH` (3%), or at
most `NEAR` (1.5) times the least residual of any; where that one is above `MOST` (25%), no law is taken and nothing is
told of sizes that were not run. Fewer than four sizes: refused.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

LEAST_SIZES = 4
ENOUGH, NEAR, MOST = 0.03, 1.5, 0.25

LAWS: Mapping[str, Callable[[float], float]] = {
    "constant": lambda n: 0.0,
    "log n": lambda n: math.log2(max(n, 1.0)),
    "linear": lambda n: n,
    "n log n": lambda n: n * math.log2(max(n, 1.0)),
    "quadratic": lambda n: n * n,
}


@dataclass(frozen=True, slots=True)
class Fit:
    """A law with its two figures, its residual, and the largest size that was run."""

    law: str  # "none" where no law fits
    at: float
    by: float
    residual: float
    largest: float

    def value(self, size: float) -> float | None:
        """What the law gives at this size; None where there is no law."""
        return None if self.law == "none" else self.at + self.by * LAWS[self.law](size)


def _fitted(law: str, points: Sequence[tuple[float, float]]) -> Fit:
    """Least squares on relative errors: weights 1/y². A figure below 0 is set to 0 and the other one fitted alone."""
    shape = LAWS[law]
    rows = [(1 / y, shape(n) / y) for n, y in points]  # at * row[0] + by * row[1] should be 1
    aa, ab, bb = (sum(row[i] * row[j] for row in rows) for i, j in ((0, 0), (0, 1), (1, 1)))
    a1, b1 = (sum(row[i] for row in rows) for i in (0, 1))
    at, by = a1 / aa, 0.0
    if bb > 0:
        ground = aa * bb - ab * ab
        if ground > 1e-12 * aa * bb:
            at, by = (a1 * bb - b1 * ab) / ground, (b1 * aa - a1 * ab) / ground
        if at < 0:
            at, by = 0.0, b1 / bb
        elif by < 0:
            at, by = a1 / aa, 0.0
    residual = math.sqrt(sum((at * row[0] + by * row[1] - 1) ** 2 for row in rows) / len(rows))
    return Fit(law, at, by, residual, max(n for n, _ in points))


def fits(points: Sequence[tuple[float, float]]) -> dict[str, Fit]:
    """All laws, fitted. `ValueError` for fewer than four sizes, or figures not above 0."""
    if len({n for n, _ in points}) < LEAST_SIZES:
        raise ValueError(f"{len({n for n, _ in points})} sizes: expected {LEAST_SIZES} or more")
    if any(y <= 0 or not math.isfinite(y) or n <= 0 for n, y in points):
        raise ValueError("a size or figure not above 0: expected such only")
    return {law: _fitted(law, points) for law in LAWS}


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """The law by the rule above; `law` is "none" where even the best has a residual above `MOST`."""
    found = fits(points)
    least = min(one.residual for one in found.values())
    taken = next(one for one in found.values() if one.residual <= max(ENOUGH, NEAR * least))
    return taken if taken.residual <= MOST else Fit("none", 0.0, 0.0, taken.residual, taken.largest)
