"""The model of partners without sockets, and the stand-ins' sockets and processes."""

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
from wheelstep.rehearsal.standins.model import EndpointModel, RateLimiter
from wheelstep.rehearsal.standins.process import Courier, NoStartError

MS, S = 1_000, 1_000_000
FIGURES = Figures({}, fall_multiple=1.5, overload_for_us=1 * S, cold_from=0.25, cold_us=8 * S)


class Clock:
    """A simulated clock that advances only in `run`."""

    def __init__(self) -> None:
        self.now_us = 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._count = count()

    def later(self, at_us: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at_us, next(self._count), callback))

    def run(self, until_us: int) -> None:
        while self._due and self._due[0][0] <= until_us:
            at_us, _, callback = heapq.heappop(self._due)
            self.now_us = max(self.now_us, at_us)
            callback()
        self.now_us = until_us


def endpoint_model(clock: Clock, limiter: RateLimiter | None = None, **fields: object) -> EndpointModel:
    given = {"name": "p", "destination": 1, "kind": 0, "endpoints": ("p-0",), "lanes": 2, "queue": 1,
             "pace_us": 100 * MS, **fields}
    return EndpointModel(Partner(**given), FIGURES, limiter, (0.1, 0.9),  # type: ignore
                         clock.later, lambda: clock.now_us)


def serve(model: EndpointModel, done: list[int], clock: Clock) -> None:
    model.serve(1.0, 1, lambda: done.append(clock.now_us))


def test_calls_beyond_lanes_and_queue_are_rejected() -> None:
    clock, done = Clock(), []
    model = endpoint_model(clock)
    for _ in range(3):
        assert model.rejection(1) is None
        serve(model, done, clock)
    assert model.rejection(1) == (503, 0)
    clock.run(S)
    assert done == [100 * MS, 100 * MS, 200 * MS]


def test_a_stall_delays_calls_in_progress_and_new_calls() -> None:
    clock, done = Clock(), []
    model = endpoint_model(clock)
    serve(model, done, clock)
    model.stall(400 * MS)
    serve(model, done, clock)
    clock.run(S)
    assert done == [400 * MS, 500 * MS]


def test_a_cancelled_call_runs_on_only_with_run_on() -> None:
    for run_on in (False, True):
        clock, done = Clock(), []
        model = endpoint_model(clock, run_on=run_on)
        job = model.serve(1.0, 1, lambda done=done: done.append(1))
        model.cancel(job)
        clock.run(S)
        assert done == ([1] if run_on else [])


def test_a_cold_endpoint_is_slow_and_collapses_under_overload() -> None:
    clock, done = Clock(), []
    model = endpoint_model(clock, queue=1000)
    model.recover(0)
    serve(model, done, clock)
    clock.run(S)
    assert done == [400 * MS]  # at a quarter of its capacity
    for _ in range(40):
        model.rejection(1)
    assert model.collapsed
    clock.run(60 * S)
    assert model.rejection(1) == (503, 0)  # it stays down


def test_a_warm_endpoint_survives_a_burst() -> None:
    clock = Clock()
    model = endpoint_model(clock, queue=1000)
    model.recover(0)
    clock.run(9 * S)
    for _ in range(40):
        model.rejection(1)
    assert not model.collapsed


def test_a_rate_limit_announces_a_wait_after_which_it_accepts() -> None:
    limiter = RateLimiter(Limit(per_s=10, wait_us=50 * MS))
    taken = sum(limiter.try_acquire(0, 1) for _ in range(20))
    assert taken == 5  # half a second at the rate
    wait_us = limiter.wait_us(0)
    assert wait_us >= 50 * MS and not limiter.try_acquire(wait_us // 3, 1) and limiter.try_acquire(wait_us, 1)
    assert limiter.load_report(10 * S).startswith("x0=1.000,x1=10")


def test_a_window_limit_counts_anew_in_each_window() -> None:
    limiter = RateLimiter(Limit(per_s=4, window_us=S, wait_us=10 * MS))
    assert [limiter.try_acquire(900 * MS, 1) for _ in range(5)] == [True] * 4 + [False]
    assert limiter.wait_us(900 * MS) == 100 * MS
    assert limiter.try_acquire(S, 1)


def test_the_budget_after_an_outage_grows_with_time() -> None:
    assert warmth.capacity_share(-1, 0.25, 8 * S) == 0.25 and warmth.capacity_share(8 * S, 0.25, 8 * S) == 1.0
    budgets = [warmth.budget(age, S, 20.0, 1.5, 0.25, 8 * S) for age in (0, 4 * S, 8 * S)]
    assert budgets == sorted(budgets)
    even = [(10 * S + n * 100 * MS, 1.0) for n in range(80)]
    assert warmth.overload(even, 10 * S, 20.0, 1.5, S, 0.25, 8 * S) is None
    assert warmth.overload([(10 * S, 1.0)] * 30, 10 * S, 20.0, 1.5, S, 0.25, 8 * S) is not None


# --- sockets ---

def test_a_refusing_port_keeps_its_number_and_listens_again() -> None:
    class Echo(wire.Server):
        def on_request(self, request: wire.Request) -> None:
            self.answer(200, {}, request.body)

    async def scene() -> None:
        port = wire.Port(Echo)
        ask = b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
        for _ in range(2):
            await port.listen()
            link = await wire.Client.dial("127.0.0.1", port.port)
            assert await link.exchange(ask) == (200, {"content-length": "2"}, b"hi")
            port.refuse()
            with pytest.raises(OSError):
                await wire.Client.dial("127.0.0.1", port.port)
            assert await link.exchange(ask) is not None  # open connections stay usable
            link.close()
        port.close()
    run(scene())


def test_two_rehearsals_never_get_the_same_port() -> None:
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


def test_a_missing_command_is_reported_as_not_started(tmp_path: Path) -> None:
    async def scene() -> None:
        one = courier(tmp_path, "/no/such/program")
        with pytest.raises(NoStartError, match="can't be started"):
            await one.start()
        await one.stop()
    run(scene())


def test_a_port_taken_by_another_process_is_changed(tmp_path: Path) -> None:
    async def scene() -> None:
        one = courier(tmp_path, f"{sys.executable} {Path(__file__).parent / 'stub_courier.py'} plain")
        with socket.create_server(("127.0.0.1", one.port.port)) as taken:
            assert await one.start()
            assert one.address != taken.getsockname()
        assert turns(one) == [(Turn.READY, 0)]
        await one.stop()
    run(scene())


def test_a_courier_that_exits_at_once_is_recorded_with_its_exit_code(tmp_path: Path) -> None:
    async def scene() -> None:
        one = courier(tmp_path, "sh -c 'echo no; exit 7'")
        assert not await one.start()
        assert turns(one) == [(Turn.CRASHED, 7)]
        await one.stop()
        assert "no" in one.log_text()
    run(scene())


def test_a_courier_that_never_gets_ready_times_out_and_its_log_stays_bounded(tmp_path: Path) -> None:
    async def scene() -> None:
        one = courier(tmp_path, "sh -c 'yes talk | head -c 8000000; sleep 60'", ready_s=1.5)
        assert not await one.start()
        assert turns(one) == [(Turn.NEVER_READY, 0)]
        async with asyncio.timeout(LIMIT_S):  # a full pipe would block the courier
            while one.log_total < 8_000_000:
                await asyncio.sleep(0.01)
        assert len(one.log_text()) <= 2 * process._LOG_BYTES
        await one.stop()
    run(scene())


def test_stopping_a_courier_also_kills_its_children(tmp_path: Path) -> None:
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


def test_the_command_of_a_module_names_the_module() -> None:
    assert module_command("wheelstep.courier").endswith("-m wheelstep.courier")
