"""Statistics of one scene's calls: how evenly they spread in any second, delivery times, new connections; and the text
of the table."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from .desk import Call
from .plan import Arrival, Scene, Shape

STEP_S = 0.1  # the one-second windows begin this far apart
TABLE_HEADER = (
    f"{'scene':<9} {'endpoints':<10} {'policy':<12}| {'busiest over mean':>18} | {'idlest over mean':>17} | "
    f"{'submit to delivered':>20} | {'at the endpoint':>15} | {'calls':>5} {'dials':>6} {'not':>4}\n"
    f"{'':<9} {'':<10} {'':<12}| {'worst   p99   p50':>18} | {'worst   p1   p50':>17} | "
    f"{'p50 ms   p99 ms':>20} | {'p50      p99 ms':>15} | {'each':>5} {'each':>6} {'deliv':>4}")


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which `share` (0 to 1) of `values` lies, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


@dataclass(frozen=True, slots=True)
class Shares:
    """The calls of the busiest and the idlest endpoint in each second, over the mean of all endpoints."""

    busiest: tuple[float, ...]
    idlest: tuple[float, ...]


def shares(calls: Sequence[Call], scene: Scene, shape: Shape) -> Shares:
    """Return the shares of every whole second that begins at a multiple of `STEP_S` between the fault and the scene's
    end, over the endpoints that should get their part of the calls during that whole second."""
    arrivals: dict[int, list[float]] = defaultdict(list)
    for call in sorted(calls, key=lambda call: call.arrived_s):
        if call.destination == shape.destination:
            arrivals[call.position].append(call.arrived_s)
    spans, busiest, idlest = scene.counted_spans(shape), [], []
    for tenth in range(round(scene.at_s / STEP_S), round((scene.length_s - 1) / STEP_S) + 1):
        begin_s, end_s = tenth * STEP_S, tenth * STEP_S + 1
        counts = [bisect_left(arrivals[position], end_s) - bisect_left(arrivals[position], begin_s)
                  for position, (from_s, to_s) in spans.items() if from_s <= begin_s and end_s <= to_s + STEP_S / 2]
        if (mean := sum(counts) / len(counts)) > 0:
            busiest.append(max(counts) / mean)
            idlest.append(min(counts) / mean)
    return Shares(tuple(busiest), tuple(idlest))


@dataclass(frozen=True, slots=True)
class TableRow:
    """One line of the table: one destination in one scene, under the couriers or a baseline policy. Times in
    seconds."""

    scene: str
    shape: str
    policy: str
    shares: Shares
    delivery_times: tuple[float, ...]  # from the time of submission to the delivery
    endpoint_times: tuple[float, ...]  # at the endpoint, from arrival to answer
    calls_per_message: float
    dials_per_message: float | None  # new connections; None for a baseline
    undelivered: int  # messages of the whole scene
    calls_by_position: Counter[int]  # position of the endpoint -> its calls in the whole scene
    held: tuple[float, ...] = ()  # delivery times of what a killed courier had accepted and not delivered

    def text(self) -> str:
        """Format the line under `TABLE_HEADER`."""
        busy, idle = self.shares.busiest, self.shares.idlest
        dials = "-" if self.dials_per_message is None else f"{self.dials_per_message:.3f}"
        return (f"{self.scene:<9} {self.shape:<10} {self.policy:<12}| "
                f"{max(busy, default=0):6.2f}{quantile(busy, 0.99):6.2f}{quantile(busy, 0.5):6.2f} | "
                f"{min(idle, default=0):5.2f}{quantile(idle, 0.01):6.2f}{quantile(idle, 0.5):6.2f} | "
                f"{quantile(self.delivery_times, 0.5) * 1e3:10.0f}{quantile(self.delivery_times, 0.99) * 1e3:10.0f} | "
                f"{quantile(self.endpoint_times, 0.5) * 1e3:7.0f}{quantile(self.endpoint_times, 0.99) * 1e3:8.0f} | "
                f"{self.calls_per_message:5.2f} {dials:>6} {self.undelivered:4d}")


def summarize(policy: str, scene: Scene, shape: Shape, messages: Sequence[Arrival], calls: Sequence[Call],
              delivered: dict[int, float], dials: Sequence[tuple[float, int]] | None = None,
              held: Collection[int] = ()) -> TableRow:
    """Return the line of one destination.

    Counts messages that were submitted and calls that arrived from the fault on. The messages in `held` are left out
    of the delivery times and get a field of their own.
    """
    counted = [message for message in messages
            if message.destination == shape.destination and message.at_s >= scene.at_s]
    arrived = [call for call in calls if call.destination == shape.destination and call.arrived_s >= scene.at_s]
    delivery_times = {message.number: delivered[message.number] - message.at_s
                      for message in counted if message.number in delivered}
    dialled = None if dials is None else sum(
        at_s >= scene.at_s and destination == shape.destination for at_s, destination in dials)
    return TableRow(
        scene=scene.fault, shape=str(shape), policy=policy, shares=shares(calls, scene, shape),
        delivery_times=tuple(time_s for number, time_s in delivery_times.items() if number not in held),
        endpoint_times=tuple(call.end_s - call.arrived_s for call in arrived if call.end_s is not None),
        calls_per_message=len(arrived) / max(1, len(counted)),
        dials_per_message=None if dialled is None else dialled / max(1, len(counted)),
        undelivered=sum(message.number not in delivered for message in messages
                        if message.destination == shape.destination),
        calls_by_position=Counter(call.position for call in calls if call.destination == shape.destination),
        held=tuple(delivered[message.number] - message.at_s for message in messages
                   if message.destination == shape.destination and message.number in held
                   and message.number in delivered))
