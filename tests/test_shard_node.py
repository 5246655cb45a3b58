"""Nodes of a sharded fleet against each other on real sockets, with faults between them."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from tests.shard_nodes import QUICK, SHARDS, Fleet, message, row, until
from wheelstep.courier.desk import UnansweredError
from wheelstep.journal import NoRoomError
from wheelstep.shards.hosting import Life
from wheelstep.shards.types import EndpointHealth, shard_of


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 120))


def away(fleet: Fleet, name: str) -> int:
    """A destination whose home is another courier."""
    return next(number for number in range(fleet.destinations) if fleet.home(number) != name)


def test_a_message_is_taken_at_its_home_wherever_it_is_handed_in() -> None:
    async def play() -> None:
        async with Fleet(3) as fleet:
            for number in range(fleet.destinations):
                for name in fleet.nodes:
                    assert await fleet.hand_in(name, message(f"m{number}-{name}", number)) is None
            for number in range(fleet.destinations):
                home = fleet.shelves[fleet.home(number)]
                assert {f"m{number}-{name}" for name in fleet.nodes} <= set(home.held)
            await until(lambda: sum(len(shelf.begun) for shelf in fleet.shelves.values()) == 3 * fleet.destinations)
            assert sum(len(shelf.held) for shelf in fleet.shelves.values()) == 3 * fleet.destinations
            for name, shelf in fleet.shelves.items():  # rows of its own shards, and no others
                assert {fleet.home(info.destination) for info in shelf.rows.values()} == {name}
    run(play())


def test_unknown_destinations_and_full_homes_are_told_to_the_client() -> None:
    async def play() -> None:
        async with Fleet(2) as fleet:
            strange = next(number for number in range(10_000, 11_000) if fleet.home(number) != "n0")
            assert "no such destination" in str(await fleet.hand_in("n0", message("m1", strange)))
            there = away(fleet, "n0")
            assert isinstance(await fleet.hand_in("n0", message("m2", there, body=b"no room")), NoRoomError)
            assert not any(shelf.held for shelf in fleet.shelves.values())
    run(play())


def test_a_home_that_dies_is_followed_and_what_it_learned_is_known() -> None:
    async def play() -> None:
        async with Fleet(3) as fleet:
            there = away(fleet, "n0")
            dead = fleet.home(there)
            mine = [number for number in range(fleet.destinations) if fleet.home(number) == dead]
            nexts = {number: fleet.nodes[dead].homes.next(shard_of(number, SHARDS)) for number in mine}
            for number in mine:
                fleet.shelves[dead].health[f"e{number}"] = EndpointHealth(
                    f"e{number}", 0, (True, False, 0.0, 3.5, 0, 1.0, 20_000, 100, 2.0, 30_000))
            shards = {shard_of(number, SHARDS) for number in mine}
            await until(lambda: sum(node.handoff.sizes()["kept"] for node in fleet.nodes.values()) == len(shards))
            await fleet.vanish(dead)
            await until(lambda: fleet.agreed() and all(fleet.home(number) != dead for number in mine))
            homes = {number: fleet.home(number) for number in mine}
            await until(lambda: all(fleet.nodes[homes[number]].hosting.life(shard_of(number, SHARDS)) is Life.HOME
                                    for number in mine))
            assert await fleet.hand_in("n0", message("after", there)) is None
            assert "after" in fleet.shelves[homes[there]].held
            followed = [number for number in mine if homes[number] == nexts[number]]
            assert len(followed) > len(mine) // 2  # the bound of load sends some elsewhere
            for number in followed:
                assert fleet.shelves[homes[number]].adopted[f"e{number}"].fields[3] == 3.5
    run(play())


def test_a_home_that_leaves_hands_over_and_keeps_ordered_keys_that_it_owes() -> None:
    async def play() -> None:
        async with Fleet(3) as fleet:
            there = away(fleet, "n0")
            former, endpoint = fleet.home(there), f"e{there}"
            fleet.shelves[former].health[endpoint] = EndpointHealth(
                endpoint, 0, (False, False, 1.0, 7.5, 0, 1.0, 20_000, 100, 2.0, 30_000))
            assert await fleet.hand_in("n0", message("first", there, "key")) is None
            shard = shard_of(there, SHARDS)
            await fleet.nodes[former].leave(10.0)
            await until(lambda: fleet.home(there) != former and all(
                node.homes.home(shard) not in (former, None) for node in fleet.nodes.values()))
            home = fleet.home(there)
            await until(lambda: fleet.nodes[home].hosting.life(shard) is Life.HOME)
            await until(lambda: endpoint in fleet.shelves[home].adopted)
            assert fleet.shelves[home].adopted[endpoint].fields[3] == 7.5
            assert fleet.nodes[former].hosting.life(shard) is Life.LEAVING
            assert await fleet.hand_in("n0", message("other", there)) is None  # of no key: at the new home
            assert "other" in fleet.shelves[home].held
            # The key that the former home owes is not taken at the new one, whoever asks.
            error = await fleet.hand_in(home, message("second", there, "key"))
            assert isinstance(error, NoRoomError | UnansweredError) and "second" not in fleet.shelves[home].held
            assert await fleet.hand_in("n0", message("third", there, "key")) is None
            assert "third" in fleet.shelves[former].held
            fleet.shelves[former].held.clear()  # they have ended
            await until(lambda: not fleet.nodes[home].handoff.rests_us(fleet.nodes[home].now_us(), there, "c", "key"))
            assert await fleet.hand_in(home, message("fourth", there, "key")) is None
            assert "fourth" in fleet.shelves[home].held
            await until(lambda: fleet.nodes[former].hosting.life(shard) is None)
            assert there in fleet.shelves[former].dropped and endpoint not in fleet.shelves[former].rows
    run(play())


def test_a_home_that_can_not_be_reached_has_a_guest_until_it_is_back() -> None:
    async def play() -> None:
        async with Fleet(3) as fleet:
            there = away(fleet, "n0")
            home, shard = fleet.home(there), shard_of(there, SHARDS)
            client = fleet.nodes["n0"].client(home)

            async def nothing(*_: object) -> None:
                return None
            real, client._dial_link = client._dial_link, nothing  # cut between these two alone
            assert await fleet.hand_in("n0", message("m1", there)) is None
            assert "m1" in fleet.shelves["n0"].held and "m1" not in fleet.shelves[home].held
            assert fleet.nodes["n0"].hosting.life(shard) is Life.GUEST
            client._dial_link = real
            assert await fleet.hand_in("n0", message("m2", there)) is None
            assert "m2" in fleet.shelves[home].held
            fleet.shelves["n0"].held.clear()
            await until(lambda: fleet.nodes["n0"].hosting.life(shard) is None)
            assert f"e{there}" not in fleet.shelves["n0"].rows
    run(play())


def test_a_drain_is_told_to_the_home_and_to_nobody_else() -> None:
    async def play() -> None:
        async with Fleet(3) as fleet:
            fleet.control.change(2, row(5, "DRAINING"), row(6, "DELETED"))
            home5, home6 = fleet.shelves[fleet.home(5)], fleet.shelves[fleet.home(6)]
            await until(lambda: home5.rows["e5"].state.value == "draining" and "e6" not in home6.rows)
            for name, shelf in fleet.shelves.items():
                assert ("e5" in shelf.rows) is (fleet.home(5) == name)
    run(play())


def test_a_courier_that_hears_of_nobody_does_not_take_itself_for_the_home_of_all() -> None:
    async def play() -> None:
        async with Fleet(3) as fleet:
            addresses = dict(fleet.addresses)
            for name in list(fleet.nodes):
                await fleet.vanish(name)
            fleet.addresses = dict.fromkeys(addresses, "127.0.0.1:9")  # nobody is there
            del fleet.addresses["n2"]
            node = await fleet.add("n2", 2, boot=2)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await until(lambda: node.formed)
            assert loop.time() - began_s >= QUICK.forms_alone_us / 1e6 - 0.1
            assert len(node.homes.mine()) == SHARDS
    run(play())


def test_a_home_without_rows_says_so_before_its_asker_gives_up() -> None:
    async def play() -> None:
        async with Fleet(3) as fleet:
            there = away(fleet, "n0")
            dead, shard = fleet.home(there), shard_of(there, SHARDS)
            await fleet.control.stop()  # nobody tells rows from now on
            await fleet.vanish(dead)
            await until(lambda: fleet.agreed() and fleet.home(there) != dead)
            home = fleet.home(there)
            asker = next(name for name in fleet.nodes if name != home)
            assert fleet.nodes[home].hosting.life(shard) is Life.OPENING
            for number in range(3):
                error = await fleet.hand_in(asker, message(f"m{number}", there))
                assert isinstance(error, NoRoomError), repr(error)  # 503, not silence: nothing was taken
            assert not any(shelf.held for shelf in fleet.shelves.values())
    run(play())
