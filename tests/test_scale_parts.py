"""The parts of the scale run that need no processes: who is down when, distance and cuts, the table of partners, the
hollow desk, the judge and the figures."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from wheelstep import interface as api
from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.scale.desk import HollowDesk
from wheelstep.rehearsal.scale.downs import Downs
from wheelstep.rehearsal.scale.links import Links, between_regions
from wheelstep.rehearsal.scale.net import DelayedNet
from wheelstep.rehearsal.scale.partners import Counts, Partners
from wheelstep.rehearsal.scale.plan import Plan, check, read, write
from wheelstep.rehearsal.scale.settings import NAMES, row, settings
from wheelstep.rehearsal.scale.standin import Partners as StandIns
from wheelstep.simhost import settings_from

ZONES = ["r0/z0", "r0/z1", "r1/z0"]
PLAN = Plan(seed=1, hollow=50, real=3, destinations=140_000, regions=2, zones=6, control=4, shards=64, rate=0.01,
            hosts=4, base=20, epoch_s=0.0, boot=0, links="", partners="127.0.0.1:9")
WAIT_S = 10.0


def test_a_plan_deals_couriers_out_over_zones_and_no_two_share_an_address() -> None:
    sites = PLAN.sites()
    assert read(write(PLAN)) == PLAN
    assert len({site.address for site in sites} | set(PLAN.control_machines().values())) == 50 + 3 + 4
    assert {site.zone for site in sites if site.host < 0} == {"r0/z0", "r1/z0", "r0/z1"}
    assert {site.zone for site in sites} == set(PLAN.zones_named()) and len(PLAN.zones_named()) == 6
    assert len(PLAN.seeds()) >= 5 and sites[0].name not in PLAN.seeds(sites[0].name)
    for number in (0, 255, 65_535, 65_536, 139_999):
        assert StandIns(PLAN).destination(PLAN.partner_ip(number)) == number


@pytest.mark.parametrize("change", [{"zones": 5}, {"rate": 1.5}, {"base": 200}, {"hollow": 0, "real": 0}])
def test_a_plan_that_makes_no_sense_is_refused_with_what_was_expected(change: dict[str, int]) -> None:
    with pytest.raises(ValueError, match="expected"):
        check(msgspec.structs.replace(PLAN, **change))


def test_the_stated_share_is_down_at_any_moment_and_all_processes_agree() -> None:
    downs, again = Downs(7, 0.01, 40.0), Downs(7, 0.01, 40.0)
    at_first = {one for one in range(20_000) if downs.for_s(one, 0.0) is not None}
    later = {one for one in range(20_000) if again.for_s(one, 200.0) is not None}
    assert 150 < len(at_first) < 250 and 150 < len(later) < 250
    assert not at_first & later  # they change
    one = next(iter(at_first))
    since_s = downs.for_s(one, 0.0)
    assert since_s is not None and 0 <= since_s < 40 and downs.for_s(one, 40.0 - since_s + 0.001) is None
    assert Downs(7, 0.0, 40.0).for_s(one, 0.0) is None


class Wire:
    """Stands for sockets: pipes that end in each other, and what was sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, bytes]] = []
        self.written: list[bytes] = []
        self.came: Callable[[bytes], None] = lambda data: None
        self.closed = False
        self.news = asyncio.Event()

    behind = 0

    def write(self, data: bytes) -> None:
        self.written.append(data)
        self.news.set()

    async def dial(self, address: str, received: Callable[[bytes], None], lost: Callable[[], None]) -> Wire:
        self.came = received
        return self

    def send(self, address: str, data: bytes) -> None:
        self.sent.append((address, data))
        self.news.set()

    def close(self) -> None:
        self.closed = True


def run(work: Callable[[], object]) -> None:
    asyncio.run(asyncio.wait_for(work(), WAIT_S))  # type: ignore[arg-type]


def distant(tmp_path: Path, delay_s: float = 0.05) -> tuple[Wire, DelayedNet, Links]:
    wire, links = Wire(), Links(tmp_path / "links", ZONES, 0.001, delay_s)
    zones = {"near:1": "r0/z0", "far:1": "r1/z0"}
    return wire, DelayedNet(wire, "r0/z0", zones, links, frozenset({"far:1"})), links  # type: ignore[arg-type]


def test_what_goes_far_comes_later_in_its_order_and_what_is_near_at_once(tmp_path: Path) -> None:
    async def work() -> None:
        wire, net, _ = distant(tmp_path)
        net.send("far:1", b"later")
        net.send("near:1", b"now")
        await asyncio.sleep(0.01)
        assert wire.sent == [("near:1", b"now")]
        began_s = time.monotonic()
        heard: list[bytes] = []
        pipe = await net.dial("far:1", heard.append, lambda: None)
        for number in range(20):
            pipe.write(b"%d" % number)
            wire.came(b"%d" % number)
        assert not wire.written and not heard and pipe.behind > 0
        while len(wire.written) < 20 or len(heard) < 20:
            await asyncio.sleep(0.005)
        assert wire.written == heard == [b"%d" % number for number in range(20)]
        assert time.monotonic() - began_s >= 0.15  # a round trip to dial, one way for the bytes
        assert wire.sent == [("near:1", b"now"), ("far:1", b"later")]
        pipe.write(b"first")
        await asyncio.sleep(0.03)
        second_s = time.monotonic()
        pipe.write(b"second")
        while wire.written[-1] != b"second":
            await asyncio.sleep(0.001)
        assert time.monotonic() - second_s >= 0.05  # also behind one that was due before
        assert net.traffic.control_writes == 22 and net.traffic.peer_writes == 0
    run(work)


def test_a_cut_loses_datagrams_and_holds_up_bytes_until_it_is_joined(tmp_path: Path) -> None:
    async def work() -> None:
        wire, net, links = distant(tmp_path, 0.0)
        pipe = await net.dial("far:1", lambda data: None, lambda: None)
        links.set(True, between_regions)
        net.send("far:1", b"lost")
        net.send("near:1", b"kept")
        pipe.write(b"late")
        dialling = asyncio.create_task(net.dial("far:1", lambda data: None, lambda: None))
        await asyncio.sleep(0.3)
        assert wire.sent == [("near:1", b"kept")] and not wire.written and not dialling.done()
        links.set(False, between_regions)
        await dialling
        while not wire.written:
            await asyncio.sleep(0.005)
        assert wire.written == [b"late"] and wire.sent == [("near:1", b"kept")]
    run(work)


def test_a_machine_without_power_says_and_hears_nothing_and_its_pipes_stay(tmp_path: Path) -> None:
    async def work() -> None:
        wire, net, _ = distant(tmp_path, 0.0)
        heard: list[bytes] = []
        pipe = await net.dial("far:1", heard.append, lambda: heard.append(b"lost"))
        net.silent = True
        pipe.write(b"x")
        wire.came(b"y")
        net.send("near:1", b"z")
        pipe.close()
        await asyncio.sleep(0.25)
        assert not wire.written and not heard and not wire.sent and not wire.closed
    run(work)


def partners(down: float = 0.0) -> tuple[Partners, Counts]:
    counts = Counts()
    return Partners(Downs(1, down, 40.0), counts, 10.0, 1.0, random.Random(1)), counts


def test_a_call_needs_a_handshake_unless_a_connection_is_idle_and_not_too_old() -> None:
    table, counts = partners()
    for now_s, expected in ((0.0, 1), (5.0, 1), (14.9, 1), (25.0, 2)):
        outcome, _ = table.call(now_s, "e1", 1, 5.0)
        assert outcome is api.Outcome.OK and counts.handshakes == expected
        table.ended(now_s, "e1", outcome)
    table.call(25.1, "e1", 1, 5.0)
    table.call(25.1, "e1", 1, 5.0)  # the one connection is out
    assert counts.handshakes == 3


def test_calls_to_what_is_down_time_out_and_are_counted_by_how_long_it_was() -> None:
    table, counts = partners(0.99)
    downs = Downs(1, 0.99, 40.0)
    for destination in range(200):
        down_s = downs.for_s(destination, 3.0)
        outcome, spent_s = table.call(3.0, f"e{destination}", destination, 0.5)
        if down_s is not None:
            assert outcome is api.Outcome.CONNECT_FAILED and spent_s == 0.5
    down = [down_s for one in range(200) if (down_s := downs.for_s(one, 3.0)) is not None]
    assert counts.down == len(down) and counts.down_long == sum(down_s >= 10 for down_s in down) > 0


def test_the_hollow_desk_delivers_what_it_took_through_the_real_module() -> None:
    async def work() -> None:
        table, counts = partners()
        desk = HollowDesk(settings_from(settings(1)), 1, 64, table, counts, asyncio.get_running_loop().time())
        desk.take_list([NAMES.parse_row({"host": one.host, "dial": one.dial, "site": one.site, "class": one.kind,
                                     "block": one.block, "health": one.health}) for one in
                        (row(PLAN, destination) for destination in range(5))])
        assert desk.serves(4) and not desk.serves(5)
        for number in range(20):
            desk.take(StoredMessage(f"t{number}", "order", number % 5, int((time.time() + 20) * 1000),
                                    f"k{number % 2}"))
            if number == 3:
                desk.withdraw("t3")
            else:
                desk.begin(f"t{number}")
        assert sum(desk.owed_by_shard.values()) == 19
        while desk.held:
            await asyncio.sleep(0.01)
        assert sorted(counts.tracked) == sorted(f"t{number}" for number in range(20) if number != 3)
        assert all(len(at) == 1 for at in counts.tracked.values()) and not desk.owed_by_shard
        assert desk.taken == counts.delivered == 19 and not counts.repeats
    run(work)
