"""The conditions of a link and groups of links, without sockets."""

from __future__ import annotations

import random

from wheelstep.rehearsal.fleet.faults import (
    FaultKind,
    LinkConditions,
    LinkFault,
    links_across,
    links_among,
    links_around,
)


def test_equal_seeds_give_equal_losses_on_a_link() -> None:
    def copies_of(seed: str) -> list[int]:
        conditions = LinkConditions(random.Random(seed), {1: LinkFault(FaultKind.DROP, share=0.5)})
        return [len(conditions.datagram_arrivals(b"x", 0)) for _ in range(64)]
    assert copies_of("1/a>b") == copies_of("1/a>b") != copies_of("2/a>b")


def test_links_around_across_and_among_groups() -> None:
    assert set(links_around("a", "abc")) == {("a", "b"), ("a", "c"), ("b", "a"), ("c", "a")}
    assert set(links_across("a", "b", "c")) == set(links_among("abc"))
    assert set(links_across("ab", "c")) == {("a", "c"), ("b", "c"), ("c", "a"), ("c", "b")}
