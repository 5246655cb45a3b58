"""Nodes of a sharded fleet on real sockets, with faults between them."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec

from tests.shard_nodes import QUICK, SHARDS, Fleet, message, row, until
from wheelstep.courier.admission import UnansweredError
from wheelstep.fleet.types import State
from wheelstep.journal import NoRoomError
from wheelstep.shards.hosting import ShardPhase
from wheelstep.shards.types import EndpointHealth, shard_of


def run(work: Coroutine[Any, Any, None]) -> None:
    """Runs the test with a time limit."""
    asyncio.run(asyncio.wait_for(work, 120))


def away(fleet: Fleet, name: str) -> int:
    """A destination whose home is another courier."""
    return next(number for number in range(fleet.destinations) if fleet.home(number) != name)


def test_a_message_is_taken_at_its_home_wherever_it_is_handed_in() -> None:
    """Rows of a shard belong at its home only."""
    async def play() -> None:
        async with Fleet(3) as fleet:
            for number in range(fleet.destinations):
                for name in fleet.nodes:
                    assert await fleet.hand_in(name, message(f"m{number}-{name}", number)) is None
            for number in range(fleet.destinations):
                home = fleet.couriers[fleet.home(number)]
                assert {f"m{number}-{name}" for name in fleet.nodes} <= set(home.held)
            await until(
                lambda: sum(len(courier.begun) for courier in fleet.couriers.values()) == 3 * fleet.destinations)
            assert sum(len(courier.held) for courier in fleet.couriers.values()) == 3 * fleet.destinations
            for name, courier in fleet.couriers.items():  # it holds the rows of its own shards only
                assert {fleet.home(info.destination) for info in courier.rows.values()} == {name}
    run(play())


def test_the_client_learns_of_unknown_destinations_and_full_homes() -> None:
    """The courier in between must pass the home's answer on."""
    async def play() -> None:
        async with Fleet(2) as fleet:
            strange = next(number for number in range(10_000, 11_000) if fleet.home(number) != "n0")
            assert "no such destination" in str(await fleet.hand_in("n0", message("m1", strange)))
            there = away(fleet, "n0")
            assert isinstance(await fleet.hand_in("n0", message("m2", there, body=b"no room")), NoRoomError)
            assert not any(courier.held for courier in fleet.couriers.values())
    run(play())


def test_the_next_home_of_a_dead_one_has_its_learned_state() -> None:
    """Guards against a new home that starts without the pushed health of its endpoints."""
    async def play() -> None:
        async with Fleet(3) as fleet:
            there = away(fleet, "n0")
            dead = fleet.home(there)
            mine = [number for number in range(fleet.destinations) if fleet.home(number) == dead]
            nexts = {number: fleet.nodes[dead].homes.successor(shard_of(number, SHARDS)) for number in mine}
            for number in mine:
                fleet.couriers[dead].health[f"e{number}"] = EndpointHealth(
                    f"e{number}", 0, (True, False, 0.0, 3.5, 0, 1.0, 20_000, 100, 2.0, 30_000))
            shards = {shard_of(number, SHARDS) for number in mine}
            await until(lambda: sum(node.handoff.sizes()["kept"] for node in fleet.nodes.values()) == len(shards))
            await fleet.vanish(dead)
            await until(lambda: fleet.agreed() and all(fleet.home(number) != dead for number in mine))
            homes = {number: fleet.home(number) for number in mine}
            await until(lambda: all(
                fleet.nodes[homes[number]].hosting.phase(shard_of(number, SHARDS)) is ShardPhase.HOME
                for number in mine))
            assert await fleet.hand_in("n0", message("after", there)) is None
            assert "after" in fleet.couriers[homes[there]].held
            followed = [number for number in mine if homes[number] == nexts[number]]
            assert len(followed) > len(mine) // 2  # the load limit moves some elsewhere
            for number in followed:
                assert fleet.couriers[homes[number]].adopted[f"e{number}"].fields[3] == 3.5
    run(play())


def test_a_leaving_home_hands_over_and_keeps_the_ordered_keys_it_owes() -> None:
    """Two couriers must never deliver messages of one key at once."""
    async def play() -> None:
        async with Fleet(3) as fleet:
            there = away(fleet, "n0")
            former, endpoint = fleet.home(there), f"e{there}"
            fleet.couriers[former].health[endpoint] = EndpointHealth(
                endpoint, 0, (False, False, 1.0, 7.5, 0, 1.0, 20_000, 100, 2.0, 30_000))
            assert await fleet.hand_in("n0", message("first", there, "key")) is None
            shard = shard_of(there, SHARDS)
            await fleet.nodes[former].leave(10.0)
            await until(lambda: fleet.home(there) != former and all(
                node.homes.home(shard) not in (former, None) for node in fleet.nodes.values()))
            home = fleet.home(there)
            await until(lambda: fleet.nodes[home].hosting.phase(shard) is ShardPhase.HOME)
            await until(lambda: endpoint in fleet.couriers[home].adopted)
            assert fleet.couriers[home].adopted[endpoint].fields[3] == 7.5
            assert fleet.nodes[former].hosting.phase(shard) is ShardPhase.LEAVING
            assert await fleet.hand_in("n0", message("other", there)) is None  # without a key: taken at the new home
            assert "other" in fleet.couriers[home].held
            # A key that the former home owes is not taken at the new one, whichever courier asks.
            error = await fleet.hand_in(home, message("second", there, "key"))
            assert isinstance(error, NoRoomError | UnansweredError) and "second" not in fleet.couriers[home].held
            assert await fleet.hand_in("n0", message("third", there, "key")) is None
            assert "third" in fleet.couriers[former].held
            fleet.couriers[former].held.clear()  # its messages have ended
            await until(lambda: not fleet.nodes[home].handoff.owed_elsewhere_us(
                fleet.nodes[home].now_us(), there, "c", "key"))
            assert await fleet.hand_in(home, message("fourth", there, "key")) is None
            assert "fourth" in fleet.couriers[home].held
            await until(lambda: fleet.nodes[former].hosting.phase(shard) is None)
            assert there in fleet.couriers[former].dropped and endpoint not in fleet.couriers[former].rows
    run(play())


def test_an_unreachable_home_is_replaced_by_a_guest_until_it_is_back() -> None:
    """Only the link between two couriers is cut, so no other courier becomes home."""
    async def play() -> None:
        async with Fleet(3) as fleet:
            there = away(fleet, "n0")
            home, shard = fleet.home(there), shard_of(there, SHARDS)
            client = fleet.nodes["n0"].client(home)

            async def nothing(*_: object) -> None:
                return None
            real, client._dial_link = client._dial_link, nothing  # cuts the link between these two only
            assert await fleet.hand_in("n0", message("m1", there)) is None
            assert "m1" in fleet.couriers["n0"].held and "m1" not in fleet.couriers[home].held
            assert fleet.nodes["n0"].hosting.phase(shard) is ShardPhase.GUEST
            client._dial_link = real
            assert await fleet.hand_in("n0", message("m2", there)) is None
            assert "m2" in fleet.couriers[home].held
            fleet.couriers["n0"].held.clear()
            await until(lambda: fleet.nodes["n0"].hosting.phase(shard) is None)
            assert f"e{there}" not in fleet.couriers["n0"].rows
    run(play())


def test_a_drain_reaches_the_home_and_no_other_courier() -> None:
    """Guards against couriers that follow shards they do not serve."""
    async def play() -> None:
        async with Fleet(3) as fleet:
            fleet.control.change(2, row(5, "DRAINING"), row(6, "DELETED"))
            home5, home6 = fleet.couriers[fleet.home(5)], fleet.couriers[fleet.home(6)]
            await until(lambda: home5.rows["e5"].state.value == "draining" and "e6" not in home6.rows)
            for name, courier in fleet.couriers.items():
                assert ("e5" in courier.rows) is (fleet.home(5) == name)
    run(play())


def test_a_courier_without_peers_waits_before_it_becomes_home_of_all_shards() -> None:
    """Two halves of a fleet that start apart would both be home."""
    async def play() -> None:
        async with Fleet(3) as fleet:
            addresses = dict(fleet.addresses)
            for name in list(fleet.nodes):
                await fleet.vanish(name)
            fleet.addresses = dict.fromkeys(addresses, "127.0.0.1:9")  # nothing listens there
            del fleet.addresses["n2"]
            node = await fleet.add("n2", 2, boot=2)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await until(lambda: node.formed)
            assert loop.time() - began_s >= QUICK.forms_alone_us / 1e6 - 0.1
            assert len(node.homes.own_shards()) == SHARDS
    run(play())


def test_a_home_without_rows_answers_before_its_asker_gives_up() -> None:
    """An asker without an answer must treat the message as possibly taken."""
    async def play() -> None:
        async with Fleet(3) as fleet:
            there = away(fleet, "n0")
            dead, shard = fleet.home(there), shard_of(there, SHARDS)
            await fleet.control.stop()  # no rows are sent from now on
            await fleet.vanish(dead)
            await until(lambda: fleet.agreed() and fleet.home(there) != dead)
            home = fleet.home(there)
            asker = next(name for name in fleet.nodes if name != home)
            assert fleet.nodes[home].hosting.phase(shard) is ShardPhase.OPENING
            for number in range(3):
                error = await fleet.hand_in(asker, message(f"m{number}", there))
                assert isinstance(error, NoRoomError), repr(error)  # 503, not silence: nothing was taken
            assert not any(courier.held for courier in fleet.couriers.values())
    run(play())


def test_a_suspected_home_is_not_asked_and_a_leaving_one_tells_its_peers_at_once() -> None:
    """Messages passed on to an ended courier stay in doubt."""
    async def play() -> None:
        async with Fleet(3) as fleet:
            there = away(fleet, "n0")
            home, node = fleet.home(there), fleet.nodes["n0"]
            assert await fleet.hand_in("n0", message("m1", there)) is None and "m1" in fleet.couriers[home].held
            known = node.membership.member(home)
            assert known is not None
            node.membership._view.roster._store(msgspec.structs.replace(known, state=State.SUSPECT), 0)
            assert await fleet.hand_in("n0", message("m2", there)) is None
            assert "m2" in fleet.couriers["n0"].held and "m2" not in fleet.couriers[home].held

            told: list[str] = []
            leaver = fleet.nodes[home]
            leaver._net.send = lambda address, data: told.append(address)  # type: ignore[method-assign]
            peers = {fleet.addresses[peer] for peer in leaver.links.peers() if peer in fleet.addresses}
            assert peers
            await leaver.leave(0.0)
            assert peers <= set(told)
    run(play())
