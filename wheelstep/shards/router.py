"""Where a message goes that a client hands in: taken here, asked of its home, taken as guest, or sent away. No I/O.

Two promises: a message that another courier may have taken is taken nowhere else, and a later message of an ordered key
is taken nowhere else while an earlier one that was passed on from here may be open. For each hand-in one courier is
asked at most, and who is asked asks nobody (`asked`).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from wheelstep.shards.hosting import Life
from wheelstep.shards.passed import Passed, Voices
from wheelstep.shards.timed import Timed
from wheelstep.shards.ways import Answer, AsGuest, Ask, ComeAgain, Handed, Here, NoAnswer, Sight, WaitOpen, Way

__all__ = ["Answer", "AsGuest", "Ask", "ComeAgain", "Handed", "Here", "NoAnswer", "Router", "Sight", "WaitOpen", "Way"]

_COME_AGAIN_US = 1_000_000
_CLEARED_US = 50_000  # the former home has nothing of the key any more: the new one can be asked at once
_UNDER_WAY_US = 5_000_000  # an ask whose end was not told by then counts as silent
_LOCAL_US = 1_000_000  # within this a shard's rows are waited for


@dataclass(slots=True)
class _Ask:
    """An id that was asked of a courier (or is to stay here: this one's own name)."""

    courier: str
    handed: Handed
    under_way: bool = True
    doubt: bool = False  # that courier may have it
    former: bool = False  # it was asked because it may owe an earlier message of the key, though another is home
    keyed: bool = False  # its ordered key is remembered as passed on


class Router:
    """Decides for one courier. Bounds: `most_doubts` ids under way, in doubt or waiting here (an ask reserves the place
    that its doubt would need, so beyond it nothing is asked); `most_taken` ids that were taken, the oldest forgotten
    first; `most_passed` ordered keys (see `passed`)."""

    def __init__(self, me: str, settle_us: int, most_doubts: int = 10_000, most_passed: int = 100_000,
                 mute_after: int = 3, mute_us: int = 1_000_000, most_taken: int = 20_000) -> None:
        self._me = me
        self._most_doubts = most_doubts
        self._most_taken = most_taken
        self._asks: Timed[str, _Ask] = Timed()
        self._taken: Timed[str, str] = Timed()  # by whom
        self._passed = Passed(settle_us, most_passed)
        self._voices = Voices(mute_after, mute_us, _UNDER_WAY_US)
        self.counts: Counter[str] = Counter()

    def way(self, now_us: int, handed: Handed, sight: Sight) -> Way:
        """For a message that is not held here. Ask again after `WaitOpen` and `AsGuest`, with a fresh sight."""
        self._expire(now_us)
        return self._counted(self._way(now_us, handed, sight), handed)

    def answered(self, now_us: int, handed: Handed, courier: str, answer: Answer, sight: Sight) -> Way | None:
        """What follows from the answer to an `Ask`; never a second one. None: the answer is the client's (202, 503 or
        400). `FULL` and `BAD` are not where the message may have been taken before: then it is `NoAnswer`."""
        self._expire(now_us)
        self.counts[f"answer:{answer.value}"] += 1
        self._voices.heard(now_us, courier, answer is Answer.SILENT, answer is Answer.NOT_ASKED)
        ask = self._asks.get(handed.id)
        if ask is None or ask.courier != courier:  # its time is over
            return None if answer in (Answer.TAKEN, Answer.KNOWN) else self._counted(NoAnswer("too late"), handed)
        self._ended(now_us, ask, answer)
        if answer in (Answer.TAKEN, Answer.KNOWN):
            self._asks.pop(handed.id)
            self._keep_taken(handed, courier)
            return None
        ask.doubt = ask.doubt or answer is Answer.SILENT
        if ask.doubt:
            self._asks.put(handed.id, ask, ask.handed.until_us)
            why = "no answer in time" if answer is Answer.SILENT else "may have been taken"
            return self._counted(NoAnswer(why), handed)
        self._asks.pop(handed.id)
        if answer in (Answer.FULL, Answer.BAD):
            return None
        home = sight.home
        if (ask.former and answer is Answer.AWAY and sight.life is None and home is not None and home != self._me
                and self._passed.holder(now_us, handed) is None and not self._voices.mute(now_us, home)):
            # it can be asked now, but not in this hand-in
            return self._counted(ComeAgain(_CLEARED_US, "key was at its former home"), handed)
        return self._counted(self._local(now_us, handed, sight), handed)

    def asked(self, now_us: int, handed: Handed, sight: Sight) -> Here | ComeAgain | NoAnswer | None:
        """Another courier asks for a message that is not held here: taken, `full` with the time to come again, not
        answered, or None: `away`. Nothing is passed on. An ordered key that is owed here is always taken, so that
        `away` proves that nothing of the key is open here."""
        self._expire(now_us)
        if handed.id in self._asks or handed.id in self._taken:
            return NoAnswer("may have been taken")
        if sight.owes_key and sight.life in (Life.LEAVING, Life.GUEST):
            return Here(guest=True)
        if sight.life is Life.HOME:
            way = self._at_home(now_us, handed, sight)
            return ComeAgain(_COME_AGAIN_US, "key passed on may be open") if isinstance(way, Ask) else way
        return ComeAgain(_COME_AGAIN_US, "not open yet") if sight.life is Life.OPENING else None

    def not_taken(self, message: str) -> None:
        """What was to be taken `Here` was not: the desk is full."""
        if self._taken.get(message) == self._me:
            self._taken.pop(message)

    def handed_over(self, now_us: int, shard: int, courier: str) -> None:
        """That courier handed the shard over to this one, with the keys that it owes (`Handoff.rests_us`)."""
        self._passed.handed_over(now_us, shard, courier)

    def sizes(self) -> dict[str, int]:
        """Entries in each table."""
        return {"asks": len(self._asks), "taken": len(self._taken), "passed": len(self._passed),
                "voices": len(self._voices)}

    # --- within ---

    def _way(self, now_us: int, handed: Handed, sight: Sight) -> Way:
        ask = self._asks.get(handed.id)
        if ask is not None and ask.under_way:
            return NoAnswer("under way")
        if ask is not None and ask.courier == self._me:
            return self._local(now_us, handed, sight)
        if ask is not None:
            return self._ask(now_us, handed, ask.courier)
        taker = self._taken.get(handed.id)
        if taker == self._me:
            return self._local(now_us, handed, sight)
        if taker is not None:
            return self._ask(now_us, handed, taker)
        return self._decide(now_us, handed, sight)

    def _at_home(self, now_us: int, handed: Handed, sight: Sight) -> Here | ComeAgain | Ask:
        """Home and open. `Ask`: who may still have an earlier message of its key."""
        if handed.key is not None:
            if sight.rests_us > 0:
                return ComeAgain(min(sight.rests_us, _COME_AGAIN_US), "key owed by its former home")
            if (holder := self._passed.holder(now_us, handed)) is not None:
                return Ask(holder)
        return Here(guest=False)

    def _decide(self, now_us: int, handed: Handed, sight: Sight) -> Way:
        if sight.life is Life.HOME:
            way = self._at_home(now_us, handed, sight)
            return self._ask_holder(now_us, handed, way.courier) if isinstance(way, Ask) else way
        if sight.life in (Life.LEAVING, Life.GUEST) and sight.owes_key:
            return Here(guest=True)
        if sight.life is Life.OPENING or sight.home == self._me:
            return WaitOpen()
        holder = self._passed.holder(now_us, handed)
        if holder is not None and holder != sight.home:
            return self._ask_holder(now_us, handed, holder)
        if sight.home is not None and not self._voices.mute(now_us, sight.home):
            return self._ask(now_us, handed, sight.home)
        return self._as_guest(now_us, handed, sight)

    def _local(self, now_us: int, handed: Handed, sight: Sight) -> Way:
        """As `_decide`, when nobody may be asked (again)."""
        if sight.life is Life.HOME:
            way = self._at_home(now_us, handed, sight)
            return ComeAgain(_COME_AGAIN_US, "key passed on may be open") if isinstance(way, Ask) else way
        if sight.life in (Life.LEAVING, Life.GUEST) and sight.owes_key:
            return Here(guest=True)
        if sight.life is Life.OPENING or sight.home == self._me:
            return self._stay(now_us, handed, WaitOpen())
        return self._as_guest(now_us, handed, sight)

    def _ask_holder(self, now_us: int, handed: Handed, holder: str) -> Way:
        """Not home, but it may owe an earlier message of the key: it takes this one too, or says that it owes none."""
        if self._voices.mute(now_us, holder):
            return ComeAgain(_COME_AGAIN_US, "key passed on may be open")
        return self._ask(now_us, handed, holder, former=True)

    def _ask(self, now_us: int, handed: Handed, courier: str, former: bool = False) -> Way:
        ask, known = self._asks.get(handed.id), handed.id in self._taken
        if ask is None:
            if len(self._asks) >= self._most_doubts:
                return NoAnswer("may have been taken") if known else ComeAgain(_COME_AGAIN_US, "too many in doubt")
            ask = _Ask(courier, handed, doubt=known, former=former)
        elif handed.until_us > ask.handed.until_us:
            ask.handed = handed
        ask.under_way = True
        self._asks.put(handed.id, ask, now_us + _UNDER_WAY_US)
        ask.keyed = self._passed.asked(now_us, handed, courier)
        self._voices.asked(now_us, courier)
        return Ask(courier)

    def _as_guest(self, now_us: int, handed: Handed, sight: Sight) -> Way:
        if handed.key is not None:
            if sight.rests_us > 0:
                return ComeAgain(min(sight.rests_us, _COME_AGAIN_US), "key owed by its former home")
            if self._passed.holder(now_us, handed) is not None:
                return ComeAgain(_COME_AGAIN_US, "key passed on may be open")
            if self._passed.overfull(now_us):
                return ComeAgain(_COME_AGAIN_US, "too many keys passed on")
        if sight.life is Life.GUEST and sight.has_rows:
            return Here(guest=True)
        if sight.life is Life.GUEST or sight.guest_room:
            return self._stay(now_us, handed, AsGuest())
        return ComeAgain(_COME_AGAIN_US, "no room for a guest shard")

    def _stay(self, now_us: int, handed: Handed, way: WaitOpen | AsGuest) -> Way:
        """It waits for the shard here; meanwhile nobody is asked for it."""
        if handed.id not in self._asks and len(self._asks) >= self._most_doubts:
            return ComeAgain(_COME_AGAIN_US, "too many in doubt")
        self._asks.put(handed.id, _Ask(self._me, handed, under_way=False), now_us + _LOCAL_US)
        return way

    def _ended(self, now_us: int, ask: _Ask, answer: Answer) -> None:
        """What its answer tells of its ordered key."""
        if ask.under_way and ask.keyed:
            self._passed.answered(now_us, ask.handed, opens=answer in (Answer.TAKEN, Answer.KNOWN, Answer.SILENT),
                                  silent=answer is Answer.SILENT, owes_none=answer is Answer.AWAY)
        ask.under_way = False

    def _keep_taken(self, handed: Handed, courier: str) -> None:
        self._taken.put(handed.id, courier, handed.until_us)
        if len(self._taken) > self._most_taken:
            self._taken.pop_first()

    def _counted(self, way: Way, handed: Handed) -> Way:
        match way:
            case Here(guest):
                self.counts["guest" if guest else "here"] += 1
                self._keep_taken(handed, self._me)  # nobody is asked for it later, be it ended and forgotten by then
            case Ask():
                self.counts["asked"] += 1
            case WaitOpen():
                self.counts["wait_open"] += 1
            case AsGuest():
                self.counts["as_guest"] += 1
            case ComeAgain(why=why):
                self.counts["come_again"] += 1
                self.counts[f"come_again:{why}"] += 1
            case NoAnswer(why):
                self.counts["no_answer"] += 1
                self.counts[f"no_answer:{why}"] += 1
        return way

    def _expire(self, now_us: int) -> None:
        self._taken.ended(now_us)
        for name, ask in self._asks.ended(now_us):
            if not ask.under_way:
                continue
            self.counts["never_answered"] += 1
            self._voices.heard(now_us, ask.courier, silent=True, not_asked=False)
            self._ended(now_us, ask, Answer.SILENT)
            ask.doubt = True
            if ask.handed.until_us > now_us:
                self._asks.put(name, ask, ask.handed.until_us)
