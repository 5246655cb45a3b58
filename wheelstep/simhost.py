"""The adapter between the decision module and the simulator's wire format: it translates and decides nothing."""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO

from wheelstep import interface as api
from wheelstep.policy.sender import Sender

_EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
_DECAYS = {"even": api.Decay.EVEN, "by_half": api.Decay.HALVES}
_STATES = {state.value: state for state in api.EndpointState}
_LISTS = {"update": api.ListKind.CHANGES, "replace": api.ListKind.WHOLE,
          "restored": api.ListKind.RESTORED, "unavailable": api.ListKind.UNAVAILABLE}
_OUTCOMES = dict(zip("SEFTCRXN", api.Outcome, strict=True))
_IGNORED = {"Established", "NoteFrom"}  # streams and peers, which this system does not have


class WireError(Exception):
    """The input does not follow the wire format."""


def _lookup(table: dict[str, Any], name: str, what: str) -> Any:
    if name not in table:
        raise WireError(f"unknown {what} {name!r}")
    return table[name]


def _class(row: dict[str, Any]) -> api.MessageClass:
    return api.MessageClass(
        promise_us=row["promise_us"],
        deadline_us=row["deadline_us"],
        effect=_lookup(_EFFECTS, row.get("effect", "once"), "effect"),
        worth=row.get("worth", 1.0),
        late_worth=row.get("late_value", 0.0),
        key_ttl_us=row.get("key_ttl_us", 0),
        zone_keys=row.get("group", "all") != "all",
        ordered=bool(row.get("by_arrival", False)),
    )


def _kinds(specifics: dict[str, Any], names: list[str]) -> tuple[api.DestinationKind, ...]:
    routes_apart, per_call = specifics.get("kind_apart") or [], specifics.get("per_call") or []
    count = max(len(names), len(routes_apart), len(per_call), 1)
    routes_apart = list(routes_apart) + [False] * (count - len(routes_apart))
    per_call = list(per_call) + [1] * (count - len(per_call))
    return tuple(api.DestinationKind(bool(a), int(n)) for a, n in zip(routes_apart, per_call, strict=True))


def settings_from(info: dict[str, Any]) -> api.Settings:
    """Return the settings in the wire's `boot_info`. Raises `KeyError` where a field is missing, and `WireError` where
    a name is unknown."""
    caps, rules, prices = info.get("caps", {}), info.get("rules", {}), info.get("prices", {})
    specifics = info.get("specifics", {})
    values: dict[str, Any] = {
        "hold_limit": caps.get("open_cap"), "max_attempts": caps.get("most_tries"),
        "may_probe": caps.get("may_probe"), "may_duplicate": caps.get("may_duplicate"),
        "max_retry_after_us": caps.get("max_retry_after_us") if caps.get("retry_after") else 0,
        "conn_idle_us": caps.get("conn_idle_us"), "senders": info.get("peers_total"),
        "zone": info.get("locality"), "tick_us": info.get("tick_us"),
        "cross_zone_price": prices.get("cross_zone"), "handshake_price": prices.get("handshake"),
        "zone_fees": tuple(specifics.get("carriage") or ()),
        "ask_for_list": info.get("discovery") == "subscribe",
        "limits_reported": "x0" in ((info.get("report") or {}).get("columns") or ()),
        "weights_are_rates": info.get("weights") in ("nominal", "rough"),
        "decay": _lookup(_DECAYS, specifics.get("late", "even"), "decay"),
        **{name: rules.get(name) for name in (
            "ask_within_us", "answer_slack_us", "drain_grace_us", "fall_multiple", "overload_for_us",
            "cold_from", "cold_us", "order_settle_us")},
    }
    return api.Settings(
        classes=tuple(_class(row) for row in info["services"]),
        slots=specifics["calls_out"],
        kinds=_kinds(specifics, info.get("kinds", [])),
        **{name: value for name, value in values.items() if value is not None},
    )


def _endpoint(row: dict[str, Any]) -> api.EndpointInfo:
    return api.EndpointInfo(
        endpoint=row["endpoint"], destination=row.get("owner_no", 0), kind=row.get("model", 0),
        zone=row.get("campus", 0), state=_lookup(_STATES, row.get("phase", "up"), "phase"),
        weight=row.get("weight", 1.0),
    )


def _report(event: dict[str, Any]) -> api.LimitReport | None:
    metrics = event.get("metrics")
    if not metrics or "x0" not in metrics:
        return None
    return api.LimitReport(metrics["x0"], metrics.get("x1", 0.0))


def _event(event: dict[str, Any], lists: dict[int, tuple[api.EndpointInfo, ...]]) -> api.Event | None:
    cmd = event["cmd"]
    if cmd == "Submit":
        return api.MessageAccepted(
            event["call"], event.get("category", 0), event.get("far_end", 0), event["patience_left_us"],
            event.get("item"), bool(event.get("retry")) or bool(event.get("again")))
    if cmd == "ClosedAttempt":
        outcome = _lookup(_OUTCOMES, event["state_code"], "outcome")
        wait_ms = event.get("wait_ms", 0) if outcome is api.Outcome.FULL else 0
        return api.AttemptEnded(
            event["call"], event.get("seq_no", 0), event["endpoint"], outcome, event.get("spent_us", 0),
            bool(event.get("complete")), wait_ms * 1000, _report(event))
    if cmd == "DeadlineHit":
        return api.TimerFired(event.get("cookie", 0))
    if cmd == "Membership":
        kind = _lookup(_LISTS, event["form"], "form")
        if kind is api.ListKind.UNAVAILABLE:
            return api.MembershipReceived(kind)
        bank = event.get("bank", 0)
        if bank not in lists:
            raise WireError(f"unknown list {bank!r}: no Directory event defined it")
        return api.MembershipReceived(kind, lists[bank])
    if cmd == "TimedOutClient":
        return api.MessageWithdrawn(event["call"])
    if cmd == "Probed":
        outcome = _lookup(_OUTCOMES, event["state_code"], "outcome")
        return api.ProbeEnded(event["endpoint"], outcome, event.get("spent_us", 0), _report(event))
    if cmd in _IGNORED:
        return None
    raise WireError(f"unknown command {cmd!r}")


def _action(action: api.Action) -> dict[str, Any] | None:
    match action:
        case api.StartAttempt(message, endpoint, timeout_us):
            return {"cmd": "SubmitTo", "call": message, "endpoint": endpoint, "within_us": timeout_us}
        case api.Refuse(message, retry_after_us):
            return {"cmd": "Decline", "call": message, "come_back_us": retry_after_us}
        case api.Fail(message):
            return {"cmd": "GiveUp", "call": message}
        case api.CancelAttempt(message, attempt):
            return {"cmd": "UndoSend", "call": message, "seq_no": attempt}
        case api.Probe(endpoint):
            return {"cmd": "Inspect", "endpoint": endpoint}
        case api.CloseIdle(endpoint, idle_us):  # no connection of the simulator falls silent while others work
            return None if idle_us else {"cmd": "LetGo", "endpoint": endpoint}
        case api.SetTimer(timer, in_us):
            return {"cmd": "Schedule", "cookie": timer, "in_us": in_us}
        case api.Subscribe():
            return {"cmd": "Track", "enable": True}
        case api.WriteLog(text):
            return {"cmd": "Log", "text": text}
        case api.NoteHealth():
            return None  # the simulator keeps nothing across a restart


class Host:
    """The sender instances of one process, and the endpoint lists that they share."""

    def __init__(self) -> None:
        self._senders: dict[int, Sender] = {}
        self._lists: dict[int, tuple[api.EndpointInfo, ...]] = {}

    def batch(self, frame: dict[str, Any]) -> dict[str, Any]:
        """Pass one batch to its instances and return their replies. Raises `WireError` where it can't be translated."""
        now_us, replies = frame["ts_us"], []
        for group in frame["couriers"]:
            who = group["who"]
            actions = self._instance(now_us, who, group["in"])
            if cmds := [cmd for action in actions if (cmd := _action(action)) is not None]:
                replies.append({"who": who, "cmds": cmds})
        return {"couriers": replies}

    def _instance(self, now_us: int, who: int, wire_events: list[dict[str, Any]]) -> list[api.Action]:
        events: list[api.Event] = []
        for event in wire_events:
            cmd = event["cmd"]
            if cmd == "Directory":
                self._lists[event.get("bank", 0)] = tuple(_endpoint(row) for row in event["rows"])
            elif cmd == "OpenInstance":
                self._senders[who] = Sender(settings_from(event["boot_info"]), event.get("salt", 0))
                events = []
            elif cmd == "Down":
                self._senders.pop(who, None)
                events = []
            elif who not in self._senders:
                raise WireError(f"{cmd} for instance {who!r}, which was never opened")
            elif (translated := _event(event, self._lists)) is not None:
                events.append(translated)
        sender = self._senders.get(who)
        return sender.handle(now_us, events) if sender is not None else []


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer every batch from `source` on `sink` until the input ends. Raises `WireError` with the number of the line
    that is not valid."""
    host = Host()
    for number, line in enumerate(source, 1):
        try:
            reply = host.batch(json.loads(line))
        except json.JSONDecodeError as error:
            raise WireError(f"line {number}: invalid JSON: {error}") from error
        except KeyError as error:
            raise WireError(f"line {number}: missing field or unknown value {error.args[0]!r}") from error
        except (WireError, TypeError, ValueError, AttributeError, IndexError) as error:
            raise WireError(f"line {number}: {error}") from error
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()


def main() -> int:
    """Run the adapter on standard input and output; return the exit code."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"simhost: {' '.join(str(error).split())}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
