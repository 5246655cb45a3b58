"""Decides where a message from a client goes: taken here, asked of its home, taken as guest, or turned away. No I/O.

Guarantees: a message that another courier may have taken is taken nowhere else, and neither is a later message of an
ordered key while an earlier one that was passed on from here may be open. Each hand-in asks one courier at most, and
that courier asks no other (`asked`).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from wheelstep.shards.decisions import Answer, Ask, BeGuest, Decision, NoAnswer, Request, Retry, Take, View, Wait
from wheelstep.shards.expiring_table import ExpiringTable
from wheelstep.shards.forwarded_keys import ForwardedKeys, SilentCouriers
from wheelstep.shards.hosting import ShardPhase

__all__ = ["Answer", "Ask", "BeGuest", "Decision", "NoAnswer", "Request", "Retry", "Router", "Take", "View", "Wait"]

_RETRY_AFTER_US = 1_000_000
_KEY_RELEASED_RETRY_US = 50_000  # the former home owes nothing of the key: the new home can be asked at once
_ASK_TIMEOUT_US = 5_000_000  # an ask whose result is not reported by then counts as silent
_LOCAL_WAIT_US = 1_000_000  # a shard's rows are waited for within this; meanwhile no courier is asked for the id


@dataclass(slots=True)
class _OpenAsk:
    """An id that a courier was asked to take, or that waits here (`courier` is this one)."""

    courier: str
    request: Request
    under_way: bool = True
    doubt: bool = False  # that courier may have taken the message
    former: bool = False  # asked because it may owe an earlier message of the key, though another is home
    keyed: bool = False  # its ordered key is recorded in `ForwardedKeys`


class Router:
    """Decides for one courier. Bounds: `max_doubts` ids under way, in doubt or waiting here (an ask reserves the entry
    for its doubt; at the bound no courier is asked); `max_taken` ids taken, the oldest dropped first; `max_passed`
    ordered keys (see `forwarded_keys`)."""

    def __init__(self, me: str, settle_us: int, max_doubts: int = 10_000, max_passed: int = 100_000,
                 mute_after: int = 3, mute_us: int = 1_000_000, max_taken: int = 20_000) -> None:
        self._me = me
        self._max_doubts = max_doubts
        self._max_taken = max_taken
        self._asks: ExpiringTable[str, _OpenAsk] = ExpiringTable()
        self._taken: ExpiringTable[str, str] = ExpiringTable()  # id -> the courier that took it
        self._passed = ForwardedKeys(settle_us, max_passed)
        self._silent_couriers = SilentCouriers(mute_after, mute_us, _ASK_TIMEOUT_US)
        self.counts: Counter[str] = Counter()

    def decide(self, now_us: int, request: Request, view: View) -> Decision:
        """Decides about a message not held here. After `Wait` and `BeGuest`, call again with a new view."""
        self._expire(now_us)
        return self._count(self._decide_known(now_us, request, view), request)

    def answered(self, now_us: int, request: Request, courier: str, answer: Answer, view: View) -> Decision | None:
        """Decides what follows from the result of an `Ask`; never a second ask. None: the result is the client's answer
        (202, 503 or 400). `FULL` and `BAD` become `NoAnswer` if the message may have been taken before."""
        self._expire(now_us)
        self.counts[f"answer:{answer.value}"] += 1
        self._silent_couriers.heard(now_us, courier, answer is Answer.SILENT, answer is Answer.NOT_ASKED)
        ask = self._asks.get(request.id)
        if ask is None or ask.courier != courier:  # its entry has expired
            return None if answer in (Answer.TAKEN, Answer.KNOWN) else self._count(NoAnswer("too late"), request)
        self._record_result(now_us, ask, answer)
        if answer in (Answer.TAKEN, Answer.KNOWN):
            self._asks.pop(request.id)
            self._remember_taken(request, courier)
            return None
        ask.doubt = ask.doubt or answer is Answer.SILENT
        if ask.doubt:
            self._asks.put(request.id, ask, ask.request.until_us)
            reason = "no answer in time" if answer is Answer.SILENT else "may have been taken"
            return self._count(NoAnswer(reason), request)
        self._asks.pop(request.id)
        if answer in (Answer.FULL, Answer.BAD):
            return None
        home = view.home
        if (ask.former and answer is Answer.AWAY and view.phase is None and home is not None and home != self._me
                and self._passed.holder(now_us, request) is None and not self._silent_couriers.is_muted(now_us, home)):
            # the home may be asked now, but not within this hand-in
            return self._count(Retry(_KEY_RELEASED_RETRY_US, "key was at its former home"), request)
        return self._count(self._decide_without_asking(now_us, request, view), request)

    def asked(self, now_us: int, request: Request, view: View) -> Take | Retry | NoAnswer | None:
        """Decides about a message that another courier passes on and that is not held here: take it, `full`, no answer,
        or None for `away`; never pass it on. A key owed here is always taken, so `away` proves that nothing of it is
        open here."""
        self._expire(now_us)
        if request.id in self._asks or request.id in self._taken:
            return NoAnswer("may have been taken")
        if view.owes_key and view.phase in (ShardPhase.LEAVING, ShardPhase.GUEST):
            return Take(guest=True)
        if view.phase is ShardPhase.HOME:
            decision = self._decide_at_home(now_us, request, view)
            return Retry(_RETRY_AFTER_US, "key passed on may be open") if isinstance(decision, Ask) else decision
        return Retry(_RETRY_AFTER_US, "not open yet") if view.phase is ShardPhase.OPENING else None

    def take_refused(self, message: str) -> None:
        """A message that was to be taken here was refused by `Admission.take`."""
        if self._taken.get(message) == self._me:
            self._taken.pop(message)

    def handed_over(self, now_us: int, shard: int, courier: str) -> None:
        """That courier handed the shard over to this one, with the keys it owes (`Handoff.owed_elsewhere_us`)."""
        self._passed.handed_over(now_us, shard, courier)

    def sizes(self) -> dict[str, int]:
        """The number of entries in each table."""
        return {"asks": len(self._asks), "taken": len(self._taken), "passed": len(self._passed),
                "voices": len(self._silent_couriers)}

    # --- internal ---

    def _decide_known(self, now_us: int, request: Request, view: View) -> Decision:
        ask = self._asks.get(request.id)
        if ask is not None and ask.under_way:
            return NoAnswer("under way")
        if ask is not None and ask.courier == self._me:
            return self._decide_without_asking(now_us, request, view)
        if ask is not None:
            return self._ask(now_us, request, ask.courier)
        taker = self._taken.get(request.id)
        if taker == self._me:
            return self._decide_without_asking(now_us, request, view)
        if taker is not None:
            return self._ask(now_us, request, taker)
        return self._decide_new(now_us, request, view)

    def _decide_at_home(self, now_us: int, request: Request, view: View) -> Take | Retry | Ask:
        """Decides at an open home. `Ask` names the courier that may still owe an earlier message of the key."""
        if request.key is not None:
            if view.owed_elsewhere_us > 0:
                return Retry(min(view.owed_elsewhere_us, _RETRY_AFTER_US), "key owed by its former home")
            if (holder := self._passed.holder(now_us, request)) is not None:
                return Ask(holder)
        return Take(guest=False)

    def _decide_new(self, now_us: int, request: Request, view: View) -> Decision:
        if view.phase is ShardPhase.HOME:
            decision = self._decide_at_home(now_us, request, view)
            return self._ask_holder(now_us, request, decision.courier) if isinstance(decision, Ask) else decision
        if view.phase in (ShardPhase.LEAVING, ShardPhase.GUEST) and view.owes_key:
            return Take(guest=True)
        if view.phase is ShardPhase.OPENING or view.home == self._me:
            return Wait()
        holder = self._passed.holder(now_us, request)
        if holder is not None and holder != view.home:
            return self._ask_holder(now_us, request, holder)
        if view.home is not None and not self._silent_couriers.is_muted(now_us, view.home):
            return self._ask(now_us, request, view.home)
        return self._decide_as_guest(now_us, request, view)

    def _decide_without_asking(self, now_us: int, request: Request, view: View) -> Decision:
        """As `_decide_new`, when no courier may be asked (again)."""
        if view.phase is ShardPhase.HOME:
            decision = self._decide_at_home(now_us, request, view)
            return Retry(_RETRY_AFTER_US, "key passed on may be open") if isinstance(decision, Ask) else decision
        if view.phase in (ShardPhase.LEAVING, ShardPhase.GUEST) and view.owes_key:
            return Take(guest=True)
        if view.phase is ShardPhase.OPENING or view.home == self._me:
            return self._wait_here(now_us, request, Wait())
        return self._decide_as_guest(now_us, request, view)

    def _ask_holder(self, now_us: int, request: Request, holder: str) -> Decision:
        """Asks a courier that may owe an earlier message of the key: it takes this one, or owes none."""
        if self._silent_couriers.is_muted(now_us, holder):
            return Retry(_RETRY_AFTER_US, "key passed on may be open")
        return self._ask(now_us, request, holder, former=True)

    def _ask(self, now_us: int, request: Request, courier: str, former: bool = False) -> Decision:
        ask, known = self._asks.get(request.id), request.id in self._taken
        if ask is None:
            if len(self._asks) >= self._max_doubts:
                return NoAnswer("may have been taken") if known else Retry(_RETRY_AFTER_US, "too many in doubt")
            ask = _OpenAsk(courier, request, doubt=known, former=former)
        elif request.until_us > ask.request.until_us:
            ask.request = request
        ask.under_way = True
        self._asks.put(request.id, ask, now_us + _ASK_TIMEOUT_US)
        ask.keyed = self._passed.asked(now_us, request, courier)
        self._silent_couriers.asked(now_us, courier)
        return Ask(courier)

    def _decide_as_guest(self, now_us: int, request: Request, view: View) -> Decision:
        if request.key is not None:
            if view.owed_elsewhere_us > 0:
                return Retry(min(view.owed_elsewhere_us, _RETRY_AFTER_US), "key owed by its former home")
            if self._passed.holder(now_us, request) is not None:
                return Retry(_RETRY_AFTER_US, "key passed on may be open")
            if self._passed.overflowed(now_us):
                return Retry(_RETRY_AFTER_US, "too many keys passed on")
        if view.phase is ShardPhase.GUEST and view.has_rows:
            return Take(guest=True)
        if view.phase is ShardPhase.GUEST or view.guest_room:
            return self._wait_here(now_us, request, BeGuest())
        return Retry(_RETRY_AFTER_US, "no room for a guest shard")

    def _wait_here(self, now_us: int, request: Request, decision: Wait | BeGuest) -> Decision:
        """The message waits here for its shard; until then no courier is asked to take it."""
        if request.id not in self._asks and len(self._asks) >= self._max_doubts:
            return Retry(_RETRY_AFTER_US, "too many in doubt")
        self._asks.put(request.id, _OpenAsk(self._me, request, under_way=False), now_us + _LOCAL_WAIT_US)
        return decision

    def _record_result(self, now_us: int, ask: _OpenAsk, answer: Answer) -> None:
        """Records what the result tells about the ordered key."""
        if ask.under_way and ask.keyed:
            self._passed.answered(now_us, ask.request, may_open=answer in (Answer.TAKEN, Answer.KNOWN, Answer.SILENT),
                                  silent=answer is Answer.SILENT, owes_none=answer is Answer.AWAY)
        ask.under_way = False

    def _remember_taken(self, request: Request, courier: str) -> None:
        self._taken.put(request.id, courier, request.until_us)
        if len(self._taken) > self._max_taken:
            self._taken.pop_first()

    def _count(self, decision: Decision, request: Request) -> Decision:
        match decision:
            case Take(guest):
                self.counts["guest" if guest else "here"] += 1
                self._remember_taken(request, self._me)  # never asked of others, even once it is forgotten here
            case Ask():
                self.counts["asked"] += 1
            case Wait():
                self.counts["wait_open"] += 1
            case BeGuest():
                self.counts["as_guest"] += 1
            case Retry(reason=reason):
                self.counts["come_again"] += 1
                self.counts[f"come_again:{reason}"] += 1
            case NoAnswer(reason):
                self.counts["no_answer"] += 1
                self.counts[f"no_answer:{reason}"] += 1
        return decision

    def _expire(self, now_us: int) -> None:
        self._taken.pop_expired(now_us)
        for name, ask in self._asks.pop_expired(now_us):
            if not ask.under_way:
                continue
            self.counts["never_answered"] += 1
            self._silent_couriers.heard(now_us, ask.courier, silent=True, not_asked=False)
            self._record_result(now_us, ask, Answer.SILENT)
            ask.doubt = True
            if ask.request.until_us > now_us:
                self._asks.put(name, ask, ask.request.until_us)
