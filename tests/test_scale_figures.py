"""The scale run's delivery check, figures, destination sampler and clients; no processes."""

from __future__ import annotations

import asyncio
import random

from wheelstep.rehearsal.scale import figures
from wheelstep.rehearsal.scale.clients import Clients, TrackedMessage
from wheelstep.rehearsal.scale.judge import check_deliveries
from wheelstep.rehearsal.scale.traffic import DestinationSampler, Histogram, percentile_us


def tracked(name: str, accepted: bool = True, cls: str = "note", uncertain: bool = False) -> TrackedMessage:
    return TrackedMessage(name, 1, cls, 1.0 if accepted else None, 1, uncertain)


def test_delivery_check_separates_lost_from_ended_and_duplicates_from_repeats_at_a_kill() -> None:
    messages = [tracked("fine"), tracked("lost"), tracked("ended"), tracked("gone"), tracked("turned away", False),
                tracked("twice"), tracked("killed"), tracked("killed once", cls="once"),
                tracked("doubt", uncertain=True)]
    delivered = {"fine": [5.0], "twice": [5.0, 6.0], "killed": [9.9, 11.0], "killed once": [9.9, 11.0],
                 "doubt": [5.0, 6.0]}
    report = check_deliveries(messages, delivered, {"ended"}, [10.0], {"gone"})
    assert (report.lost, report.doubled, report.repeated_at_kill, report.doubled_in_doubt) == (1, 2, 1, 1)
    assert (report.ended_by_notice, report.lost_with_machine, report.taken, report.delivered) == (1, 1, 8, 5)
    assert report.wrong == ("lost lost", "twice doubled", "killed once doubled")


def test_percentiles_and_peak_rate_over_baseline_of_known_samples() -> None:
    histogram = Histogram()
    for spent_ms in range(1, 101):
        histogram.add(spent_ms / 1000)
    p50, p99 = percentile_us(histogram.counts, 0.5), percentile_us(histogram.counts, 0.99)
    assert p50 is not None and p99 is not None
    assert 45_000 < p50 < 56_000 and 90_000 < p99 < 110_000 and percentile_us({}, 0.5) is None
    host = [[float(second), 100.0 * second + (900.0 if second > 5 else 0.0), 0.0, 0.0, 0.0, 0.0]
            for second in range(10)]
    baseline = figures.mean_rates([host, host], 0.0, 4.0)
    assert baseline["packets_per_s"] == 200.0
    peaks = figures.peak_rates([host, host], 4.0, 9.0, baseline)
    assert peaks["most_packets_per_s"] == 2_000.0 and peaks["most_packets_per_s_over_usual"] == 10.0
    assert peaks["most_bytes_per_s_over_usual"] is None


def test_active_share_selects_the_same_few_destinations_at_every_courier() -> None:
    drawn = []
    for seed in range(2):
        sampler = DestinationSampler(10_000, random.Random(seed))
        sampler.active_share = 0.01
        drawn.append({sampler.next() for _ in range(3_000)})
    assert len(drawn[0] | drawn[1]) <= 100 and len(drawn[0]) > 90


def test_wait_answered_ignores_messages_submitted_meanwhile() -> None:
    async def scenario() -> None:
        clients = Clients([], DestinationSampler(10, random.Random(1)), random.Random(1))
        answer_allowed = asyncio.Event()

        async def wait_for_answer(message: TrackedMessage, courier: object) -> None:
            await answer_allowed.wait()
        clients._submit_until_answered = wait_for_answer  # type: ignore[method-assign, assignment]
        clients.submit(1)
        waiting = asyncio.create_task(clients.wait_answered(30.0))
        await asyncio.sleep(0)
        answer_allowed.set()
        answer_allowed = asyncio.Event()
        clients.submit(2)  # never answered
        assert await waiting
        assert not await clients.wait_answered(0.01)
        clients.close()
    asyncio.run(scenario())
