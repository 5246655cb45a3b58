"""Parts of the scale run that need no processes: the plan, outages, delays and cuts between zones, the partner table
and the hollow admission."""

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
from wheelstep.rehearsal.scale.desk import HollowAdmission
from wheelstep.rehearsal.scale.downs import OutageSchedule
from wheelstep.rehearsal.scale.links import Links, in_different_regions
from wheelstep.rehearsal.scale.net import DelayedNet
from wheelstep.rehearsal.scale.partners import CallCounts, PartnerTable
from wheelstep.rehearsal.scale.plan import Plan, decode_plan, encode_plan, validate
from wheelstep.rehearsal.scale.settings import NAMES, courier_settings, destination_row
from wheelstep.rehearsal.scale.standin import StandinPartners
from wheelstep.simhost import settings_from

ZONES = ["r0/z0", "r0/z1", "r1/z0"]
PLAN = Plan(seed=1, hollow=50, real=3, destinations=140_000, regions=2, zones=6, control=4, shards=64, rate=0.01,
            hosts=4, base=20, epoch_s=0.0, boot=0, links="", partners="127.0.0.1:9")
WAIT_S = 10.0


def test_plan_spreads_couriers_over_zones_with_distinct_addresses() -> None:
    sites = PLAN.sites()
    assert decode_plan(encode_plan(PLAN)) == PLAN
    assert len({site.address for site in sites} | set(PLAN.control_machines().values())) == 50 + 3 + 4
    assert {site.zone for site in sites if site.host < 0} == {"r0/z0", "r1/z0", "r0/z1"}
    assert {site.zone for site in sites} == set(PLAN.zone_names()) and len(PLAN.zone_names()) == 6
    assert len(PLAN.seeds()) >= 5 and sites[0].name not in PLAN.seeds(sites[0].name)
    for number in (0, 255, 65_535, 65_536, 139_999):
        assert StandinPartners(PLAN).destination(PLAN.partner_ip(number)) == number


@pytest.mark.parametrize("change", [{"zones": 5}, {"rate": 1.5}, {"base": 200}, {"hollow": 0, "real": 0}])
def test_invalid_plan_is_rejected_naming_the_expected_value(change: dict[str, int]) -> None:
    with pytest.raises(ValueError, match="expected"):
        validate(msgspec.structs.replace(PLAN, **change))


def test_given_share_of_destinations_is_down_at_any_time_and_equal_seeds_agree() -> None:
    outages, same_seed = OutageSchedule(7, 0.01, 40.0), OutageSchedule(7, 0.01, 40.0)
    at_first = {destination for destination in range(20_000) if outages.down_for_s(destination, 0.0) is not None}
    later = {destination for destination in range(20_000) if same_seed.down_for_s(destination, 200.0) is not None}
    assert 150 < len(at_first) < 250 and 150 < len(later) < 250
    assert not at_first & later  # the destinations that are down change
    destination = next(iter(at_first))
    since_s = outages.down_for_s(destination, 0.0)
    assert since_s is not None and 0 <= since_s < 40 and outages.down_for_s(destination, 40.0 - since_s + 0.001) is None
    assert OutageSchedule(7, 0.0, 40.0).down_for_s(destination, 0.0) is None


class FakeSockets:
    """Stands for `shards.net.Sockets` and its pipes: records what is sent, and delivers data through `on_data`."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, bytes]] = []
        self.written: list[bytes] = []
        self.on_data: Callable[[bytes], None] = lambda data: None
        self.closed = False
        self.activity = asyncio.Event()

    behind = 0

    def write(self, data: bytes) -> None:
        self.written.append(data)
        self.activity.set()

    async def dial(self, address: str, received: Callable[[bytes], None], lost: Callable[[], None]) -> FakeSockets:
        self.on_data = received
        return self

    def send(self, address: str, data: bytes) -> None:
        self.sent.append((address, data))
        self.activity.set()

    def close(self) -> None:
        self.closed = True


def run_async(scenario: Callable[[], object]) -> None:
    asyncio.run(asyncio.wait_for(scenario(), WAIT_S))  # type: ignore[arg-type]


def delayed_net(tmp_path: Path, delay_s: float = 0.05) -> tuple[FakeSockets, DelayedNet, Links]:
    sockets, links = FakeSockets(), Links(tmp_path / "links", ZONES, 0.001, delay_s)
    zones = {"near:1": "r0/z0", "far:1": "r1/z0"}
    return sockets, DelayedNet(sockets, "r0/z0", zones, links, frozenset({"far:1"})), links  # type: ignore[arg-type]


def test_traffic_to_a_distant_zone_is_delayed_in_order_and_within_a_zone_immediate(tmp_path: Path) -> None:
    async def scenario() -> None:
        sockets, net, _ = delayed_net(tmp_path)
        net.send("far:1", b"later")
        net.send("near:1", b"now")
        await asyncio.sleep(0.01)
        assert sockets.sent == [("near:1", b"now")]
        began_s = time.monotonic()
        received: list[bytes] = []
        pipe = await net.dial("far:1", received.append, lambda: None)
        for number in range(20):
            pipe.write(b"%d" % number)
            sockets.on_data(b"%d" % number)
        assert not sockets.written and not received and pipe.behind > 0
        while len(sockets.written) < 20 or len(received) < 20:
            await asyncio.sleep(0.005)
        assert sockets.written == received == [b"%d" % number for number in range(20)]
        assert time.monotonic() - began_s >= 0.15  # a round trip to dial and one way for the bytes
        assert sockets.sent == [("near:1", b"now"), ("far:1", b"later")]
        pipe.write(b"first")
        await asyncio.sleep(0.03)
        second_s = time.monotonic()
        pipe.write(b"second")
        while sockets.written[-1] != b"second":
            await asyncio.sleep(0.001)
        assert time.monotonic() - second_s >= 0.05  # delayed in full although an earlier write was due sooner
        assert net.traffic.control_writes == 22 and net.traffic.peer_writes == 0
    run_async(scenario)


def test_cut_loses_datagrams_and_holds_pipe_bytes_until_restored(tmp_path: Path) -> None:
    async def scenario() -> None:
        sockets, net, links = delayed_net(tmp_path, 0.0)
        pipe = await net.dial("far:1", lambda data: None, lambda: None)
        links.set_cut(True, in_different_regions)
        net.send("far:1", b"lost")
        net.send("near:1", b"kept")
        pipe.write(b"late")
        dialling = asyncio.create_task(net.dial("far:1", lambda data: None, lambda: None))
        await asyncio.sleep(0.3)
        assert sockets.sent == [("near:1", b"kept")] and not sockets.written and not dialling.done()
        links.set_cut(False, in_different_regions)
        await dialling
        while not sockets.written:
            await asyncio.sleep(0.005)
        assert sockets.written == [b"late"] and sockets.sent == [("near:1", b"kept")]
    run_async(scenario)


def test_powered_off_machine_sends_and_receives_nothing_and_its_pipes_stay_open(tmp_path: Path) -> None:
    async def scenario() -> None:
        sockets, net, _ = delayed_net(tmp_path, 0.0)
        received: list[bytes] = []
        pipe = await net.dial("far:1", received.append, lambda: received.append(b"lost"))
        net.powered_off = True
        pipe.write(b"x")
        sockets.on_data(b"y")
        net.send("near:1", b"z")
        pipe.close()
        await asyncio.sleep(0.25)
        assert not sockets.written and not received and not sockets.sent and not sockets.closed
    run_async(scenario)


def partner_table(down: float = 0.0) -> tuple[PartnerTable, CallCounts]:
    counts = CallCounts()
    return PartnerTable(OutageSchedule(1, down, 40.0), counts, 10.0, 1.0, random.Random(1)), counts


def test_call_needs_a_handshake_unless_a_fresh_idle_connection_exists() -> None:
    partners, counts = partner_table()
    for now_s, expected in ((0.0, 1), (5.0, 1), (14.9, 1), (25.0, 2)):
        outcome, _ = partners.begin_call(now_s, "e1", 1, 5.0)
        assert outcome is api.Outcome.OK and counts.handshakes == expected
        partners.end_call(now_s, "e1", outcome)
    partners.begin_call(25.1, "e1", 1, 5.0)
    partners.begin_call(25.1, "e1", 1, 5.0)  # the only connection is in use
    assert counts.handshakes == 3


def test_calls_to_a_down_destination_fail_and_are_counted_by_length_of_outage() -> None:
    partners, counts = partner_table(0.99)
    outages = OutageSchedule(1, 0.99, 40.0)
    for destination in range(200):
        down_s = outages.down_for_s(destination, 3.0)
        outcome, spent_s = partners.begin_call(3.0, f"e{destination}", destination, 0.5)
        if down_s is not None:
            assert outcome is api.Outcome.CONNECT_FAILED and spent_s == 0.5
    down = [down_s for number in range(200) if (down_s := outages.down_for_s(number, 3.0)) is not None]
    assert counts.down == len(down) and counts.down_long == sum(down_s >= 10 for down_s in down) > 0


def test_hollow_admission_delivers_accepted_messages_through_the_real_decision_module() -> None:
    async def scenario() -> None:
        partners, counts = partner_table()
        admission = HollowAdmission(settings_from(courier_settings(1)), 1, 64, partners, counts,
                                    asyncio.get_running_loop().time())
        admission.apply_list([NAMES.parse_row({"host": row.host, "dial": row.dial, "site": row.site, "class": row.kind,
                                               "block": row.block, "health": row.health}) for row in
                              (destination_row(PLAN, destination) for destination in range(5))])
        assert admission.serves(4) and not admission.serves(5)
        for number in range(20):
            admission.take(StoredMessage(f"t{number}", "order", number % 5, int((time.time() + 20) * 1000),
                                         f"k{number % 2}"))
            if number == 3:
                admission.withdraw("t3")
            else:
                admission.begin(f"t{number}")
        assert sum(admission.held_by_shard.values()) == 19
        while admission.held:
            await asyncio.sleep(0.01)
        assert sorted(counts.tracked) == sorted(f"t{number}" for number in range(20) if number != 3)
        assert all(len(at) == 1 for at in counts.tracked.values()) and not admission.held_by_shard
        assert admission.accepted == counts.delivered == 19 and not counts.repeats
    run_async(scenario)
