"""Gives one part to another courier: copies while it serves, shuts it for the tail, and lets the register decide. No
I/O: answers, news and a clock go in, acts come out. Imports the types of moves and the content that it reads.

Two rules carry it. Once a `Seal` has gone out, the part is opened again under a newer epoch only, which the register
has decided: the taker may hold a whole copy, and would take over with it. And what is here is dropped only when the
register has named the taker and the taker has said that its copy is whole.
"""

from __future__ import annotations

from collections import deque

from wheelstep.fleet.content import Content
from wheelstep.moves.asking import Asking
from wheelstep.moves.steps import (
    NEVER_US,
    Act,
    Commit,
    Ended,
    Limits,
    Step,
    TakeBack,
    Tell,
    digest_of,
    mark,
    size_of,
    take,
)
from wheelstep.moves.types import Cancel, Chunk, Given, Move, Moved, Offer, Piece, Seal


class Giver:
    """One move of a part that `me` owns since `epoch`. `step` and `why` are for those who look on."""

    def __init__(self, part: int, epoch: int, to: str, content: Content, limits: Limits, now_us: int, me: str) -> None:
        self.part, self.epoch, self.to, self.me = part, epoch, to, me
        self.step = Step.PLANNED
        self.why = ""
        self.shut_us = -1  # when the part was shut
        self._content, self._limits = content, limits
        self._attempt = now_us  # a courier that starts again has its parts under newer epochs
        self._waiting: deque[Piece] = deque()
        self._marks: dict[str, bytes] = {}
        self._place = 0
        self._rounds = 0
        self._due_us = now_us  # when there is something to do that waits for no answer
        self._asking = Asking(limits)
        self._undone_us = 0  # when the register was first asked who has it
        self._asked = 0  # how often it was
        self._lost = False
        self._seal: Seal | None = None
        self._safe = False  # the taker has said that its copy is whole

    @property
    def over(self) -> bool:
        """Whether it has ended."""
        return self.step in (Step.DONE, Step.UNDONE)

    def next_us(self) -> int:
        """When `tick` has something to do."""
        if self.over:
            return NEVER_US
        if self._asking.ask is None or (self._lost and self._seal is None):
            return self._due_us
        return self._asking.next_us()

    def lost(self, now_us: int) -> None:
        """This courier's lease has run out: the part stays shut here, and who wins the register decides."""
        if not self.over:
            self._lost, self._due_us = True, now_us
            self._content.shut(self.part)

    def tick(self, now_us: int) -> list[Act]:
        """What is due."""
        if self.over:
            return []
        if self._lost and self._seal is None:
            return self._off("the lease ran out: kept here, shut")
        if self._asking.ask is not None:
            acts = self._asking.wait(now_us)
            return self._silent(now_us) if acts is None else acts
        if now_us < self._due_us:
            return []
        match self.step:
            case Step.PLANNED:
                return self._offer(now_us)
            case Step.COPYING:
                return self._copy(now_us)
            case Step.CLOSING:
                return self._close(now_us)
            case Step.COMMITTING:
                return self._undo(now_us, "the register has not taken the commit in time")
            case _:
                return self._take_back(now_us)

    def answered(self, now_us: int, ask: Move, moved: Moved | None) -> list[Act]:
        """The taker's answer to an ask, None where the call's time ran out. Late and doubled ones do no harm."""
        if moved is not None and (moved.part, moved.epoch) != (ask.part, ask.epoch):
            moved = None
        if moved is not None and moved.ok and ask == self._seal and self.step is not Step.OPEN:
            self._safe = moved.place == self._seal.place
        if self._lost and self._seal is None:
            return self.tick(now_us)
        if self.over or not self._asking.answers(ask):
            return []
        if moved is None or (not moved.ok and moved.again_us > 0 and not isinstance(ask, Offer)):
            more = self._asking.again(now_us, moved.again_us if moved is not None else 0)
            return [] if more else self._silent(now_us)
        if isinstance(ask, Given):
            return self._given(moved.ok, moved.why)
        if not moved.ok:
            return self._failed(now_us, f"{self.to} refused: {moved.why}")
        if isinstance(ask, Chunk | Seal) and moved.place != ask.place:
            return self._failed(now_us, f"{self.to} answered for place {moved.place}, expected {ask.place}")
        self._asking.ask = None
        if isinstance(ask, Seal):
            self.step = Step.COMMITTING
            self._due_us = now_us + self._limits.commit_us
            return [Commit(self.part, self.to)]
        self._due_us = now_us
        if isinstance(ask, Offer):
            self.step = Step.COPYING
        elif self.step is Step.COPYING:
            self._due_us = now_us + self._limits.pace_us
        return self.tick(now_us)

    def decided(self, now_us: int, epoch: int, owner: str) -> list[Act]:
        """The register's newest holding, as far as the node knows. What is here is opened under the epoch after this
        move's alone: with a later one somebody may have had the part in between, and it stays shut for the node to
        settle, unless the taker has it now and says that its copy went into it. A call's outcome heard between the
        `Seal` and this is for the node to keep until now."""
        if self.over or epoch <= self.epoch or self.step is Step.OPEN:
            return []
        if epoch == self.epoch + 1 and owner == self.me:
            acts = self._off(self.why or "taken back")
            self._content.open(self.part, epoch)
            return acts
        if owner == self.to and self._seal is not None:
            self.step = Step.OPEN
            self._safe = self._safe and epoch == self.epoch + 1
            if self._safe:
                self._content.drop(self.part)
            stands = epoch if epoch > self.epoch + 1 else 0
            return self._asking.tell(now_us, Given(self.part, self.epoch + 1, stands))
        self._content.shut(self.part)
        return self._off(f"the register stands at epoch {epoch}, {owner}: kept here, shut")

    # --- the steps ---

    def _offer(self, now_us: int) -> list[Act]:
        pieces = self._content.pieces(self.part)
        self._waiting.extend(pieces)
        size = sum(map(size_of, pieces))
        offer = Offer(self.part, self.epoch, self._content.version, len(pieces), size, self._attempt)
        return self._asking.tell(now_us, offer)

    def _copy(self, now_us: int) -> list[Act]:
        if self._waiting:
            return self._chunk(now_us)
        if self._rounds < self._limits.rounds:
            self._rounds += 1
            self._waiting.extend(self._content.changed(self.part))
            if len(self._waiting) > self._limits.tail:
                return self._chunk(now_us)
        self.step = Step.CLOSING
        self.shut_us = now_us
        self._content.shut(self.part)
        return self._close(now_us)

    def _close(self, now_us: int) -> list[Act]:
        """Shut. What changed goes on its way while calls are waited for; the last of it goes with the `Seal`."""
        limits = self._limits
        if now_us - self.shut_us >= limits.shut_bound_us:
            return self._failed(now_us, "the tail took too long")
        quiet = self._quiet(now_us)
        self._waiting.extend(self._content.changed(self.part))
        if not quiet:
            if len(self._waiting) > limits.tail:
                return self._chunk(now_us)
            self._due_us = now_us + limits.poll_us
            return []
        pieces = self._next()
        if self._waiting:
            return self._asking.tell(now_us, self._as_chunk(pieces))
        self.step = Step.HANDING
        self._seal = Seal(self.part, self.epoch, self._place, digest_of(self._marks), pieces, self._attempt)
        return self._asking.tell(now_us, self._seal)

    def _quiet(self, now_us: int) -> bool:
        """No call is out; or their bound is over, and the content shows them as ones that may have run."""
        return self._content.under_way(self.part) == 0 or now_us - self.shut_us >= self._limits.call_bound_us

    def _next(self) -> tuple[Piece, ...]:
        pieces = take(self._waiting, self._limits)
        mark(self._marks, pieces)
        return pieces

    def _as_chunk(self, pieces: tuple[Piece, ...]) -> Chunk:
        self._place += 1
        return Chunk(self.part, self.epoch, self._place - 1, pieces, self._attempt)

    def _chunk(self, now_us: int) -> list[Act]:
        return self._asking.tell(now_us, self._as_chunk(self._next()))

    # --- ends ---

    def _given(self, ok: bool, why: str) -> list[Act]:
        if ok and not self._safe:
            self._safe = True
            self._content.drop(self.part)
        if self._safe:
            return self._end(Step.DONE, f"given to {self.to}")
        return self._off(f"{self.to} has the part without its whole copy ({why}): kept here, shut")

    def _silent(self, now_us: int) -> list[Act]:
        if self.step is Step.OPEN:
            return self._given(False, "no answer")
        return self._failed(now_us, f"{self.to} does not answer")

    def _failed(self, now_us: int, why: str) -> list[Act]:
        """Before the `Seal` the part is simply served on; after it the register is asked first."""
        if self._seal is not None:
            return self._undo(now_us, why)
        self._content.open(self.part, self.epoch)
        return self._off(why)

    def _undo(self, now_us: int, why: str) -> list[Act]:
        self.step, self.why, self._asking.ask = Step.UNDOING, why, None
        self._undone_us = now_us
        return self._take_back(now_us)

    def _take_back(self, now_us: int) -> list[Act]:
        limits = self._limits
        if now_us - self._undone_us >= limits.undecided_us:
            return self._off(f"{self.why}; the register has not decided: kept here, shut")
        self._due_us = now_us + min(limits.undecided_us, limits.commit_us << min(self._asked, 3))
        self._asked += 1
        return [TakeBack(self.part)]

    def _off(self, why: str) -> list[Act]:
        """Undone; whether the part is open here is the caller's to say. A copy that isn't whole is called off."""
        acts: list[Act] = [Tell(Cancel(self.part, self.epoch, self._attempt))] if self._seal is None else []
        return [*acts, *self._end(Step.UNDONE, why)]

    def _end(self, step: Step, why: str) -> list[Act]:
        self.step, self.why, self._asking.ask = step, why, None
        self._waiting.clear()
        self._marks.clear()
        return [Ended(step is Step.DONE, why)]
