"""Homes by membership: only this courier's region counts, who takes part, and which courier would follow a home."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from wheelstep.fleet.types import Member, State
from wheelstep.shards.homes import Homes

SHARDS = 60
ME = Member("me", 1, State.ALIVE, "", "", 1.0, "east/1")


def member(name: str, zone: str = "east/1", state: State = State.ALIVE, weight: float = 1.0) -> Member:
    """A member of the fleet."""
    return Member(name, 1, state, "", "", weight, zone)


def couriers(homes: Homes) -> set[str | None]:
    """The homes of all shards."""
    return {homes.home(shard) for shard in range(SHARDS)}


def test_this_courier_is_a_member_from_the_first_update_on() -> None:
    """Before the first update no shard has a home; an empty update makes this courier home of all."""
    homes = Homes(ME, SHARDS)
    assert couriers(homes) == {None} and homes.own_shards() == set() and homes.successor(0) is None
    assert homes.update_members(0, []) == set(range(SHARDS)) == homes.own_shards()
    assert couriers(homes) == {"me"} and homes.successor(0) is None
    changed = homes.update_members(1, [member("a")])
    assert changed == {shard for shard in range(SHARDS) if homes.home(shard) == "a"} != set()
    assert homes.own_shards() == set(range(SHARDS)) - changed and homes.update_members(2, [member("a")]) == set()
    assert all({homes.home(shard), homes.successor(shard)} == {"a", "me"} for shard in range(SHARDS))
    assert homes.home(SHARDS) is None and homes.successor(SHARDS) is None and homes.successor(-1) is None


def test_this_courier_is_excluded_by_its_own_state() -> None:
    """A courier that leaves must not stay home of shards in its own view."""
    homes = Homes(ME, SHARDS)
    homes.update_members(0, [member("a"), member("me", state=State.LEAVING)])
    assert homes.own_shards() == set() and couriers(homes) == {"a"}
    homes.update_members(1, [member("me")])
    assert homes.own_shards()
    homes.update_members(2, [member("me", state=State.GONE), member("a", state=State.GONE)])
    assert couriers(homes) == {None} and homes.successor(0) is None


def test_only_live_weighted_members_of_the_region_are_homes() -> None:
    """Suspected members stay; members that are leaving, gone, of weight 0 or of another region are excluded."""
    homes = Homes(ME, SHARDS)
    assert homes.update_members(0, [member("a"), member("west", "west/1"), member("plain", "east"),
                                    member("none", weight=0.0),
                                    member("old", state=State.GONE), member("going", state=State.LEAVING)])
    assert couriers(homes) == {"me", "a", "plain"}
    assert homes.update_members(1, [member("a", state=State.SUSPECT)]) == set() and "a" in couriers(homes)
    had = {shard for shard in range(SHARDS) if homes.home(shard) == "a"}
    assert had <= homes.update_members(2, [member("a", state=State.LEAVING)]) and couriers(homes) == {"me", "plain"}
    homes.update_members(3, [member("a")])
    assert had == {shard for shard in range(SHARDS) if homes.home(shard) == "a"}
    assert had <= homes.update_members(4, [member("a", "west/1")]) and couriers(homes) == {"me", "plain"}
    assert homes.update_members(5, [member("west", "east/2")]) and couriers(homes) == {"me", "plain", "west"}


@settings(max_examples=60, deadline=None, derandomize=True)
@given(news=st.lists(st.dictionaries(st.sampled_from("abcdef"), st.tuples(
    st.sampled_from(["east/1", "east/2", "east/3", "west/1"]),
    st.sampled_from([State.ALIVE, State.ALIVE, State.SUSPECT, State.GONE])), max_size=6), min_size=1, max_size=5))
def test_the_next_courier_is_in_another_zone_if_there_is_one(news: list[dict[str, tuple[str, State]]]) -> None:
    """Learned state pushed within the home's zone would be lost together with that zone."""
    homes = Homes(ME, SHARDS)
    zones = {"me": "east/1"}
    for at, each in enumerate(news):
        homes.update_members(at, [member(name, zone, state) for name, (zone, state) in each.items()])
        for name, (zone, state) in each.items():
            zones.pop(name, None)
            if zone != "west/1" and state is not State.GONE:
                zones[name] = zone
        for shard in range(SHARDS):
            home, walk = homes.home(shard), list(homes.ring.walk(shard))
            assert home is not None and sorted(walk) == sorted(zones)
            others = [name for name in walk if name != home]
            away = [name for name in others if zones[name] != zones[home]]
            assert homes.successor(shard) == next(iter(away or others), None)
