"""Determines how a figure grows with one variable, all others held: constant, log n, linear, n log n or quadratic.

Each law is fitted as `intercept + coefficient * f(n)` with both not below 0, by least squares on relative errors (so
that a size of 1,000 counts as much as one of 140,000). The residual is the root of the mean of squared relative errors.
The rule: of all laws, from the flattest to the steepest, the first is selected whose residual is at most
`GOOD_RESIDUAL` (3%), or at most `NEAR_BEST_FACTOR` (1.5) times the least residual of any; if that one is above
`MAX_RESIDUAL` (25%), no law is selected and nothing is predicted for sizes that were not measured. Fewer than four
sizes are an error.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

MIN_SIZES = 4
GOOD_RESIDUAL, NEAR_BEST_FACTOR, MAX_RESIDUAL = 0.03, 1.5, 0.25

LAWS: Mapping[str, Callable[[float], float]] = {
    "constant": lambda n: 0.0,
    "log n": lambda n: math.log2(max(n, 1.0)),
    "linear": lambda n: n,
    "n log n": lambda n: n * math.log2(max(n, 1.0)),
    "quadratic": lambda n: n * n,
}


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted law with its residual and the largest size that was measured."""

    law: str  # a key of `LAWS`, or "none" if no law fits
    intercept: float
    coefficient: float
    residual: float
    largest: float

    def value(self, size: float) -> float | None:
        """Return what the law predicts for this size, or None without a law."""
        return None if self.law == "none" else self.intercept + self.coefficient * LAWS[self.law](size)


def _fit_law(law: str, points: Sequence[tuple[float, float]]) -> Fit:
    """Fit a law by least squares on relative errors (weights 1/y²). An intercept or coefficient below 0 is set to 0,
    and the other one fitted alone."""
    shape = LAWS[law]
    rows = [(1 / y, shape(n) / y) for n, y in points]  # intercept * row[0] + coefficient * row[1] should be 1
    aa, ab, bb = (sum(row[i] * row[j] for row in rows) for i, j in ((0, 0), (0, 1), (1, 1)))
    a1, b1 = (sum(row[i] for row in rows) for i in (0, 1))
    intercept, coefficient = a1 / aa, 0.0
    if bb > 0:
        determinant = aa * bb - ab * ab
        if determinant > 1e-12 * aa * bb:
            intercept, coefficient = (a1 * bb - b1 * ab) / determinant, (b1 * aa - a1 * ab) / determinant
        if intercept < 0:
            intercept, coefficient = 0.0, b1 / bb
        elif coefficient < 0:
            intercept, coefficient = a1 / aa, 0.0
    residual = math.sqrt(sum((intercept * row[0] + coefficient * row[1] - 1) ** 2 for row in rows) / len(rows))
    return Fit(law, intercept, coefficient, residual, max(n for n, _ in points))


def fit_all_laws(points: Sequence[tuple[float, float]]) -> dict[str, Fit]:
    """Fit all laws to the points (size, figure) and return them by name.

    Raises `ValueError` for fewer than `MIN_SIZES` sizes, or for a size or figure that is not above 0.
    """
    if len({n for n, _ in points}) < MIN_SIZES:
        raise ValueError(f"{len({n for n, _ in points})} sizes: expected {MIN_SIZES} or more")
    if any(y <= 0 or not math.isfinite(y) or n <= 0 for n, y in points):
        raise ValueError("a size or figure is not above 0: expected positive numbers")
    return {law: _fit_law(law, points) for law in LAWS}


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Return the law that the module's rule selects; its name is "none" if the residual is above `MAX_RESIDUAL`. Raises
    `ValueError` like `fit_all_laws`."""
    candidates = fit_all_laws(points)
    least = min(one.residual for one in candidates.values())
    selected = next(one for one in candidates.values() if one.residual <= max(GOOD_RESIDUAL, NEAR_BEST_FACTOR * least))
    return selected if selected.residual <= MAX_RESIDUAL else Fit(
        "none", 0.0, 0.0, selected.residual, selected.largest)
