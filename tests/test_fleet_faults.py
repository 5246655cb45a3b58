"""A link's weather and groups of links, without sockets."""

from __future__ import annotations

import random

from wheelstep.rehearsal.fleet.faults import Kind, LinkFault, Weather, across, among, around


def test_a_links_luck_is_its_seeds() -> None:
    def fates(seed: str) -> list[int]:
        weather = Weather(random.Random(seed), {1: LinkFault(Kind.DROP, share=0.5)})
        return [len(weather.datagram(b"x", 0)) for _ in range(64)]
    assert fates("1/a>b") == fates("1/a>b") != fates("2/a>b")


def test_links_by_groups() -> None:
    assert set(around("a", "abc")) == {("a", "b"), ("a", "c"), ("b", "a"), ("c", "a")}
    assert set(across("a", "b", "c")) == set(among("abc"))
    assert set(across("ab", "c")) == {("a", "c"), ("b", "c"), ("c", "a"), ("c", "b")}
