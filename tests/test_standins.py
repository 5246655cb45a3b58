"""The partners' model without sockets, and the stand-ins' sockets."""

from __future__ import annotations

import asyncio
import heapq
import socket
import sys
from collections.abc import Callable
from itertools import count
from pathlib import Path

import pytest
from loopback import LIMIT_S, run

from wheelstep.rehearsal import warmth
from wheelstep.rehearsal.history import Figures, History, Life, Turn
from wheelstep.rehearsal.plan import Limit, Partner
from wheelstep.rehearsal.rig import module_command
from wheelstep.rehearsal.standins import process, wire
from wheelstep.rehearsal.standins.machine import CourierPort
from wheelstep.rehearsal.standins.model import Desk, Gauge
from wheelstep.rehearsal.standins.process import Courier, NoStartError

MS, S = 1_000, 1_000_000
FIGURES = Figures({}, fall_multiple=1.5, overload_for_us=1 * S, cold_from=0.25, cold_us=8 * S)


class Clock:
    """A clock that runs only when told to."""

    def __init__(self) -> None:
        self.now_us = 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._count = count()

    def later(self, at_us: int, what: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at_us, next(self._count), what))

    def run(self, until_us: int) -> None:
        while self._due and self._due[0][0] <= until_us:
            at_us, _, what = heapq.heappop(self._due)
            self.now_us = max(self.now_us, at_us)
            what()
        self.now_us = until_us


def desk(clock: Clock, gauge: Gauge | None = None, **fields: object) -> Desk:
    given = {"name": "p", "destination": 1, "kind": 0, "endpoints": ("p-0",), "lanes": 2, "queue": 1,
             "pace_us": 100 * MS, **fields}
    return Desk(Partner(**given), FIGURES, gauge, (0.1, 0.9), clock.later, lambda: clock.now_us)  # type: ignore


def serve(at: Desk, done: list[int], clock: Clock) -> None:
    at.serve(1.0, 1, lambda: done.append(clock.now_us))


def test_lanes_and_queue_bound_what_is_taken_on() -> None:
    clock, done = Clock(), []
    at = desk(clock)
    for _ in range(3):
        assert at.refusal(1) is None
        serve(at, done, clock)
    assert at.refusal(1) == (503, 0)
    clock.run(S)
    assert done == [100 * MS, 100 * MS, 200 * MS]


def test_a_stall_holds_what_is_under_way_and_what_begins() -> None:
    clock, done = Clock(), []
    at = desk(clock)
    serve(at, done, clock)
    at.stall(400 * MS)
    serve(at, done, clock)
    clock.run(S)
    assert done == [400 * MS, 500 * MS]


def test_a_cancelled_call_runs_on_only_where_the_partner_does_that() -> None:
    for run_on in (False, True):
        clock, done = Clock(), []
        at = desk(clock, run_on=run_on)
        job = at.serve(1.0, 1, lambda done=done: done.append(1))
        at.give_up(job)
        clock.run(S)
        assert done == ([1] if run_on else [])


def test_a_cold_endpoint_is_slow_and_falls_over_when_pushed() -> None:
    clock, done = Clock(), []
    at = desk(clock, queue=1000)
    at.came_back(0)
    serve(at, done, clock)
    clock.run(S)
    assert done == [400 * MS]  # a quarter of its pace
    for _ in range(40):
        at.refusal(1)
    assert at.fallen
    clock.run(60 * S)
    assert at.refusal(1) == (503, 0)  # it stays down


def test_a_warm_endpoint_bears_a_rush() -> None:
    clock = Clock()
    at = desk(clock, queue=1000)
    at.came_back(0)
    clock.run(9 * S)
    for _ in range(40):
        at.refusal(1)
    assert not at.fallen


def test_a_rate_limit_tells_a_wait_at_whose_end_there_is_room() -> None:
    gauge = Gauge(Limit(per_s=10, wait_us=50 * MS))
    taken = sum(gauge.take(0, 1) for _ in range(20))
    assert taken == 5  # half a second's worth
    wait_us = gauge.wait_us(0)
    assert wait_us >= 50 * MS and not gauge.take(wait_us // 3, 1) and gauge.take(wait_us, 1)
    assert gauge.report(10 * S).startswith("x0=1.000,x1=10")


def test_a_window_limit_counts_anew_in_each_span() -> None:
    gauge = Gauge(Limit(per_s=4, window_us=S, wait_us=10 * MS))
    assert [gauge.take(900 * MS, 1) for _ in range(5)] == [True] * 4 + [False]
    assert gauge.wait_us(900 * MS) == 100 * MS
    assert gauge.take(S, 1)


def test_the_budget_of_a_return_grows_with_warmth() -> None:
    assert warmth.share(-1, 0.25, 8 * S) == 0.25 and warmth.share(8 * S, 0.25, 8 * S) == 1.0
    budgets = [warmth.budget(age, S, 20.0, 1.5, 0.25, 8 * S) for age in (0, 4 * S, 8 * S)]
    assert budgets == sorted(budgets)
    even = [(10 * S + n * 100 * MS, 1.0) for n in range(80)]
    assert warmth.overload(even, 10 * S, 20.0, 1.5, S, 0.25, 8 * S) is None
    assert warmth.overload([(10 * S, 1.0)] * 30, 10 * S, 20.0, 1.5, S, 0.25, 8 * S) is not None


# --- sockets ---

def test_a_port_that_refuses_keeps_its_number_and_opens_again() -> None:
    class Echo(wire.Server):
        def requested(self, request: wire.Request) -> None:
            self.answer(200, {}, request.body)

    async def scene() -> None:
        port = wire.Port(Echo)
        ask = b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
        for _ in range(2):
            await port.listen()
            link = await wire.Client.dial("127.0.0.1", port.port)
            assert await link.ask(ask) == (200, {"content-length": "2"}, b"hi")
            port.refuse()
            with pytest.raises(OSError):
                await wire.Client.dial("127.0.0.1", port.port)
            assert await link.ask(ask) is not None  # what stands goes on
            link.close()
        port.close()
    run(scene())


def test_two_rehearsals_never_draw_the_same_port() -> None:
    ports = [CourierPort() for _ in range(40)]
    assert len({port.port for port in ports}) == 40
    for port in ports:
        port.close()


# --- a courier's process ---

def courier(folder: Path, command: str, ready_s: float = 20.0) -> Courier:
    def configure(listen: str) -> dict[str, object]:
        return {"discovery": "127.0.0.1:1", "listen": listen, "known": {"hosts": []}}
    return Courier("c0", command, folder, History(FIGURES), lambda: 0, configure, ready_s)


def turns(one: Courier) -> list[tuple[Turn, int]]:
    return [(fact.turn, fact.code) for fact in one._history.facts if isinstance(fact, Life)]


def test_a_command_that_is_not_there_can_not_be_started(tmp_path: Path) -> None:
    async def scene() -> None:
        one = courier(tmp_path, "/no/such/program")
        with pytest.raises(NoStartError, match="can't be started"):
            await one.start()
        await one.stop()
    run(scene())


def test_a_port_that_somebody_took_is_changed_for_another(tmp_path: Path) -> None:
    async def scene() -> None:
        one = courier(tmp_path, f"{sys.executable} {Path(__file__).parent / 'stub_courier.py'} plain")
        with socket.create_server(("127.0.0.1", one.port.port)) as taken:
            assert await one.start()
            assert one.address != taken.getsockname()
        assert turns(one) == [(Turn.READY, 0)]
        await one.stop()
    run(scene())


def test_a_courier_that_dies_at_once_is_named_with_its_code(tmp_path: Path) -> None:
    async def scene() -> None:
        one = courier(tmp_path, "sh -c 'echo no; exit 7'")
        assert not await one.start()
        assert turns(one) == [(Turn.CRASHED, 7)]
        await one.stop()
        assert "no" in one.log_text()
    run(scene())


def test_a_courier_that_never_gets_ready_is_given_up_and_its_log_stays_bounded(tmp_path: Path) -> None:
    async def scene() -> None:
        one = courier(tmp_path, "sh -c 'yes talk | head -c 8000000; sleep 60'", ready_s=1.5)
        assert not await one.start()
        assert turns(one) == [(Turn.NEVER_READY, 0)]
        async with asyncio.timeout(LIMIT_S):  # guards against a full pipe that would stop the courier
            while one.log_total < 8_000_000:
                await asyncio.sleep(0.01)
        assert len(one.log_text()) <= 2 * process._LOG_BYTES
        await one.stop()
    run(scene())


def test_a_stopped_courier_leaves_no_process_behind_even_if_it_has_children(tmp_path: Path) -> None:
    async def scene() -> None:
        mark = tmp_path / "pid"
        one = courier(tmp_path, f"sh -c 'sleep 60 & echo $! > {mark}; wait'", ready_s=1.0)
        assert not await one.start()
        child = int(mark.read_text())
        await one.stop()
        async with asyncio.timeout(LIMIT_S):
            while Path(f"/proc/{child}").exists() and "Z" not in Path(f"/proc/{child}/stat").read_text():
                await asyncio.sleep(0.01)
    run(scene())


def test_modules_are_run_from_wherever_one_stands() -> None:
    assert module_command("wheelstep.courier").endswith("-m wheelstep.courier")
