"""Contracts of channels: validation and its errors, which contract applies to a message, and reloads."""

from __future__ import annotations

from typing import Any

import pytest

from wheelstep.channels.contracts import ContractError, channel_name, describe_changes, part_of, read_contracts

STRICT = {"name": "orders", "order": "strict"}


def one(**fields: Any) -> list[dict[str, Any]]:
    """Return the table of one contract with these fields added."""
    return [{**STRICT, **fields}]


BAD = [
    (one(colour="red"), "contract[0].colour: unknown key; expected one of those in docs/design/channels.md"),
    ([{"order": "strict"}], "contract[0].name: missing; expected a value"),
    ([{"name": "a"}], "contract[0].order: missing; expected a value"),
    (one(name="a/b"), "contract[0].name: 'a/b'; expected: String should match pattern '^[a-z0-9][a-z0-9_-]{0,39}$'"),
    (one(order="fifo"), "contract[0].order: 'fifo'; expected: Input should be 'strict', 'window', 'latest' or 'none'"),
    (one(open=2), 'contract[0].open: 2 with order "strict"; expected only with order "window"'),
    (one(order="window"), 'contract[0].open: missing; expected a number, since order is "window"'),
    (one(order="window", open=0), "contract[0].open: 0; expected: Input should be greater than or equal to 1"),
    (one(order="window", open=-3), "contract[0].open: -3; expected: Input should be greater than or equal to 1"),
    (one(order="window", open=10**9), "contract[0].open: 1000000000; expected: Input should be less than or equal to "
     "128"),
    (one(order="window", open="many"), "contract[0].open: 'many'; expected: Input should be a valid integer"),
    (one(gap="skip"), 'contract[0].gap_after: missing; expected a time, since gap is "skip"'),
    (one(gap_after="2s"), 'contract[0].gap_after: set with gap "hold"; expected only with gap "skip"'),
    (one(gap="fail", gap_after="2s"),
     'contract[0].gap_after: set with gap "fail"; expected only with gap "skip"'),
    (one(gap="skip", gap_after="2 weeks"), "contract[0].gap_after: '2 weeks' is no time; expected a number with a "
     'unit, such as "250ms", "2s" or "1.5min"'),
    (one(gap="skip", gap_after="0s"), "contract[0].gap_after: '0s'; expected: Input should be greater than or equal "
     "to 1000"),
    (one(order="latest", gap="hold"), 'contract[0].gap: "hold" with order "latest", where a newer message passes '
     'any gap; expected "fail" or no value'),
    (one(order="latest", gap="skip", gap_after="1s"), 'contract[0].gap: "skip" with order "latest", where a newer '
     'message passes any gap; expected "fail" or no value'),
    (one(gap="fail", ahead=4),
     'contract[0].ahead: 4 with gap "fail", which accepts only the next number; expected no value'),
    (one(ahead=129), "contract[0].ahead: 129; expected: Input should be less than or equal to 128"),
    (one(unclear="go"), 'contract[0].unclear: "go" with order "strict", where one message is in flight at a time; '
     'expected "hold" or "rest"'),
    (one(order="none", unclear="hold"), 'contract[0].unclear: "hold" with order "none", where no message waits '
     "for another; expected no value"),
    (one(unclear="rest"), 'contract[0].rest: missing; expected a time, since unclear is "rest"'),
    (one(rest="1s"), 'contract[0].rest: set without unclear = "rest"; expected only with it'),
    (one(unclear="rest", rest="2s", keep="1s"), "contract[0].keep: shorter than rest; expected at least as long"),
    (one(gap="skip", gap_after="2s", keep="1s"), "contract[0].keep: shorter than gap_after; expected at least as long"),
    (one(destinations=[-1]), "contract[0].destinations[0]: -1; expected: Input should be greater than or equal to 0"),
    (one(destinations=["x"]), "contract[0].destinations[0]: 'x'; expected: Input should be a valid integer"),
    (one(keys=[""]), "contract[0].keys[0]: ''; expected: String should have at least 1 character"),
    ([STRICT, STRICT], "contract[1].name: 'orders' is used twice; expected different names"),
    ([STRICT, {"name": "b", "order": "none", "keys": ["x"]}], "contract[1].name: 'b' never matches, since 'orders' "
     "before it matches all of it; expected an earlier place or other criteria"),
]


@pytest.mark.parametrize(("tables", "message"), BAD, ids=[message[:60] for _, message in BAD])
def test_invalid_contract_is_reported_on_one_line(tables: Any, message: str) -> None:
    with pytest.raises(ContractError) as caught:
        read_contracts(tables)
    assert str(caught.value) == message


@pytest.mark.parametrize(("first", "second", "is_covered"), [
    ({"classes": ["a", "b"]}, {"classes": ["a"]}, True),
    ({"classes": ["a"]}, {"classes": ["a", "b"]}, False),
    ({"classes": ["a"]}, {}, False),
    ({"keys": ["acct-*"]}, {"keys": ["acct-7"]}, True),
    ({"keys": ["acct-*"]}, {"keys": ["acct-7*"]}, False),  # not detected: only patterns without wildcards are matched
    ({"keys": ["*"], "destinations": [1]}, {"keys": ["x"], "destinations": [1]}, True),
    ({"keys": ["*"], "destinations": [1]}, {"keys": ["x"], "destinations": [2]}, False),
    ({"paths": ["/a/*"]}, {"paths": ["/a/*"], "keys": ["k"]}, True),
])
def test_contract_that_can_never_match_is_rejected(first: Any, second: Any, is_covered: bool) -> None:
    tables = [{**STRICT, **first}, {"name": "second", "order": "none", **second}]
    if not is_covered:
        assert len(read_contracts(tables)) == 2
        return
    with pytest.raises(ContractError, match="'second' never matches"):
        read_contracts(tables)


def test_first_matching_contract_applies() -> None:
    contracts = read_contracts([
        {"name": "vip", "order": "strict", "classes": ["pay"], "keys": ["vip-*", "gold"]},
        {"name": "seven", "order": "none", "destinations": [7], "paths": ["/t/acme/*"]},
        {"name": "pay", "order": "window", "open": 3, "classes": ["pay", "bill"]}])

    def name(cls: str, destination: int, key: str | None, path: str) -> str | None:
        found = contracts.match(cls, destination, key, path)
        return None if found is None else found.name

    assert name("pay", 7, "vip-1", "/t/acme/x") == "vip"
    assert name("pay", 7, "gold", "/") == "vip" and name("pay", 7, "golden", "/") == "pay"
    assert name("pay", 7, "other", "/t/acme/x") == "seven" and name("pay", 8, "other", "/t/acme/x") == "pay"
    assert name("else", 7, None, "/t/acme/x") == "seven" and name("else", 7, None, "/t/other/x") is None
    assert name("bill", 1, None, "/") == "pay" and name("else", 1, None, "/") is None


def test_unset_terms_get_defaults() -> None:
    contracts = read_contracts([{"name": "w", "order": "window", "open": 3, "gap": "skip", "gap_after": "1500us",
                                 "unclear": "rest", "rest": "2s", "repeat": "once", "keep": "1min", "keys": ["k"]},
                                {"name": "f", "order": "latest", "gap": "fail"}])
    first, second = contracts.named("w"), contracts.named("f")
    assert first is not None and second is not None
    assert (first.open, first.gap_after_ms, first.rest_ms, first.ahead, first.keep_ms) == (3, 2, 2_000, 16, 60_000)
    assert (second.open, second.gap, second.unclear, second.ahead, second.keep_ms) == (1, "fail", "hold", 0, 3_600_000)
    assert channel_name(first, 7, "k/1") == "w/7/k/1" and channel_name(second, 7, None) == "f/7/"


def test_part_of_a_channel_never_changes() -> None:
    """Positions are stored and sent by part: with another mapping, couriers would look for them in the wrong place."""
    assert [part_of(name, 64) for name in ("orders/1/a", "orders/1/b", "orders/2/a", "w/7/")] == [5, 42, 12, 34]


def test_reload_reports_changed_contracts() -> None:
    old = read_contracts([STRICT, {"name": "gone", "order": "none", "classes": ["x"]}][::-1])
    new = read_contracts([{"name": "fresh", "order": "latest", "classes": ["y"]}, {**STRICT, "gap": "fail"}])
    assert describe_changes(old, new) == [
        "contract 'gone' is removed; channels that hold messages of it keep its terms",
        "contract 'orders': gap 'hold' -> 'fail', ahead 16 -> 0; channels that hold messages keep the old terms until "
        "they are empty",
        "contract 'fresh' is added"]
    assert describe_changes(new, new) == []
