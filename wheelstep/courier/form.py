"""Wire format of calls: writes the single and the bulk form, and interprets answers. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence

from wheelstep import interface as api
from wheelstep.courier.answer import Answer
from wheelstep.courier.call import Item, Result
from wheelstep.interface import Outcome

_BULK_OUTCOMES = {"delivered": Outcome.OK, "failed": Outcome.ERROR, "refused": Outcome.FULL,
                  "over": Outcome.NOT_SENT, "spent": Outcome.NOT_SENT}


def render(items: Sequence[Item], host: str, wait_ms: int, extra: Sequence[tuple[str, str]] = ()) -> bytes:
    """Return the bytes of a call. Ids and tokens hold visible ASCII only, as the client server accepts no others."""
    if len(items) == 1:
        target, body = "/inbox", items[0].body
        token = items[0].token
        names = f"X-Request-Id: {items[0].message}\r\n" + (f"Idempotency-Key: {token}\r\n" if token is not None else "")
    else:
        target, names = "/inbox/bulk", ""
        body = b"".join(
            f"{item.message} {item.token or '-'} {len(item.body)}\r\n".encode() + item.body + b"\r\n"
            for item in items)
    names += "".join(f"{name}: {value}\r\n" for name, value in extra)
    return (f"POST {target} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {wait_ms}\r\n{names}"
            f"Content-Length: {len(body)}\r\n\r\n").encode("ascii") + body


def results(outcome: Outcome, answer: Answer | None, items: Sequence[Item]) -> list[Result]:
    """Return the result of each message of a call."""
    if answer is None:
        return [Result(outcome)] * len(items)
    if answer.status != 200 or len(items) < 2:
        return [status_result(answer)] * len(items)
    ends: dict[str, str] = {}  # empty if the answer is malformed; the last line may be cut off
    for line in answer.body.decode("latin-1").splitlines(keepends=True):
        message, _, end = line.strip().partition(" ")
        if line.endswith("\n"):
            ends[message] = end.strip() if ends.get(message, end.strip()) == end.strip() else ""
    # A message that is missing in the answer, or has an unknown end or two different ones there, may have run.
    return [Result(_BULK_OUTCOMES.get(ends.get(item.message, ""), Outcome.ERROR),
                   over=ends.get(item.message) == "over", exhausted=ends.get(item.message) == "spent")
            for item in items]


def status_result(answer: Answer) -> Result:
    """Return the result that the status alone gives: of a probe, a single call, or a bulk call that was not run."""
    match answer.status:
        case 200:
            return Result(Outcome.OK)
        case 410:
            return Result(Outcome.NOT_SENT, over=True)
        case 504:
            return Result(Outcome.NOT_SENT, exhausted=True)
        case 503 if answer.headers.get("x-line-busy", "0").strip() not in ("", "0"):
            return Result(Outcome.NOT_SENT)
        case 429 | 503:
            return Result(Outcome.FULL)
        case _:  # 500, a malformed answer, and anything else: it may have run
            return Result(Outcome.ERROR)


def wait_and_limit(answer: Answer | None, report: tuple[str, ...]) -> tuple[int, api.LimitReport | None]:
    """Return the wait in microseconds (0: none) and the load report, which any answer may carry."""
    if answer is None:
        return 0, None
    return wait_us(answer.headers.get("retry-after", "")), _load_report(answer.headers.get("x-load", ""), report)


def wait_us(text: str) -> int:
    """Return a `Retry-After` value in microseconds; 0 for one that can't be meant: anything but a number of seconds
    above 0 and below an hour."""
    try:
        wait_s = float(text)
    except ValueError:
        return 0
    return math.ceil(wait_s * 1e6) if 0 < wait_s < 3600 else 0


def _load_report(text: str, fields: tuple[str, ...]) -> api.LimitReport | None:
    values: dict[str, float] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if name in fields and math.isfinite(number):
            values[name] = number
    if "x0" not in values:
        return None
    return api.LimitReport(min(max(values["x0"], 0.0), 1.0), max(values.get("x1", 0.0), 0.0))
