"""What the calls of one scene tell: shares in any second, round trips, new connections; and the table's text."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from .desk import Call
from .plan import Arrival, Scene, Shape

STEP_S = 0.1  # a second begins at each of these
HEAD = (f"{'scene':<9} {'endpoints':<10} {'who':<12}| {'busiest over mean':>18} | {'idlest over mean':>17} | "
        f"{'hand-in to delivered':>20} | {'at the endpoint':>15} | {'calls':>5} {'dials':>6} {'not':>4}\n"
        f"{'':<9} {'':<10} {'':<12}| {'worst   p99   p50':>18} | {'worst   p1   p50':>17} | "
        f"{'p50 ms   p99 ms':>20} | {'p50      p99 ms':>15} | {'each':>5} {'each':>6} {'deliv':>4}")


def at_share(values: Sequence[float], share: float) -> float:
    """The value below which this share of them lies; 0 for none."""
    rows = sorted(values)
    return rows[min(len(rows) - 1, int(len(rows) * share))] if rows else 0.0


@dataclass(frozen=True, slots=True)
class Shares:
    """The busiest and the idlest endpoint of each second, over the mean of that second."""

    busiest: tuple[float, ...]
    idlest: tuple[float, ...]


def shares(calls: Sequence[Call], scene: Scene, shape: Shape) -> Shares:
    """Of all whole seconds that begin at a tenth between the fault and the scene's end, over those endpoints that
    should get their part in the whole second."""
    came: dict[int, list[float]] = defaultdict(list)
    for call in sorted(calls, key=lambda call: call.came_s):
        if call.destination == shape.destination:
            came[call.place].append(call.came_s)
    spans, busiest, idlest = scene.counts(shape), [], []
    for tenth in range(round(scene.at_s / STEP_S), round((scene.length_s - 1) / STEP_S) + 1):
        begin_s, end_s = tenth * STEP_S, tenth * STEP_S + 1
        counts = [bisect_left(came[place], end_s) - bisect_left(came[place], begin_s)
                  for place, (from_s, to_s) in spans.items() if from_s <= begin_s and end_s <= to_s + STEP_S / 2]
        if (mean := sum(counts) / len(counts)) > 0:
            busiest.append(max(counts) / mean)
            idlest.append(min(counts) / mean)
    return Shares(tuple(busiest), tuple(idlest))


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the table. Times in seconds."""

    scene: str
    shape: str
    who: str
    seconds: Shares
    trips: tuple[float, ...]  # from hand-in to delivered
    stays: tuple[float, ...]  # at the endpoint, from arrival to answer
    calls_each: float
    dials_each: float | None
    undelivered: int
    used: Counter[int]  # calls by place
    held: tuple[float, ...] = ()  # trips of what a killed courier had taken on

    def text(self) -> str:
        """The line."""
        busy, idle = self.seconds.busiest, self.seconds.idlest
        dials = "-" if self.dials_each is None else f"{self.dials_each:.3f}"
        return (f"{self.scene:<9} {self.shape:<10} {self.who:<12}| "
                f"{max(busy, default=0):6.2f}{at_share(busy, 0.99):6.2f}{at_share(busy, 0.5):6.2f} | "
                f"{min(idle, default=0):5.2f}{at_share(idle, 0.01):6.2f}{at_share(idle, 0.5):6.2f} | "
                f"{at_share(self.trips, 0.5) * 1e3:10.0f}{at_share(self.trips, 0.99) * 1e3:10.0f} | "
                f"{at_share(self.stays, 0.5) * 1e3:7.0f}{at_share(self.stays, 0.99) * 1e3:8.0f} | "
                f"{self.calls_each:5.2f} {dials:>6} {self.undelivered:4d}")


def row(who: str, scene: Scene, shape: Shape, messages: Sequence[Arrival], calls: Sequence[Call],
        delivered: dict[int, float], dials: Sequence[tuple[float, int]] | None = None,
        held: Collection[int] = ()) -> Row:
    """The line of one destination. What counts was handed in, or came, from the fault on; `held` apart."""
    mine = [message for message in messages
            if message.destination == shape.destination and message.at_s >= scene.at_s]
    came = [call for call in calls if call.destination == shape.destination and call.came_s >= scene.at_s]
    trips = {message.number: delivered[message.number] - message.at_s
             for message in mine if message.number in delivered}
    made = None if dials is None else sum(
        at_s >= scene.at_s and destination == shape.destination for at_s, destination in dials)
    return Row(
        scene=scene.fault, shape=str(shape), who=who, seconds=shares(calls, scene, shape),
        trips=tuple(trip for number, trip in trips.items() if number not in held),
        stays=tuple(call.end_s - call.came_s for call in came if call.end_s is not None),
        calls_each=len(came) / max(1, len(mine)), dials_each=None if made is None else made / max(1, len(mine)),
        undelivered=sum(message.number not in delivered for message in messages
                        if message.destination == shape.destination),
        used=Counter(call.place for call in calls if call.destination == shape.destination),
        held=tuple(delivered[message.number] - message.at_s for message in messages
                   if message.destination == shape.destination and message.number in held
                   and message.number in delivered))
