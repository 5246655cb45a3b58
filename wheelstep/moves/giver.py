"""Gives one part to another courier: copies it while it is served, shuts it to send the last changes, and lets the
register decide who owns it. No I/O: answers, register news and a clock go in, acts come out.

Two rules keep a part safe. Once a `Seal` was sent, the part is opened here again only under a newer epoch decided by
the register, because the taker may hold a whole copy and take over with it. And the part is dropped here only when the
register has named the taker and the taker has confirmed that its copy is whole.
"""

from __future__ import annotations

from collections import deque

from wheelstep.fleet.content import Content
from wheelstep.moves.asking import PendingRequest
from wheelstep.moves.steps import (
    NEVER_US,
    Act,
    Commit,
    Ended,
    GiverLimits,
    SendRequest,
    Step,
    TakeBack,
    part_digest,
    piece_size,
    take_chunk,
    update_digests,
)
from wheelstep.moves.types import Cancel, Chunk, Given, Move, Moved, Offer, Piece, Seal


class Giver:
    """One move, to courier `to`, of a part that `me` has owned since `epoch`. `step` and `why` are for operators."""

    def __init__(self, part: int, epoch: int, to: str, content: Content, limits: GiverLimits, now_us: int,
                 me: str) -> None:
        self.part, self.epoch, self.to, self.me = part, epoch, to, me
        self.step = Step.PLANNED
        self.why = ""  # set when the move fails or ends
        self.shut_us = -1  # when the part was shut; -1 before
        self._content, self._limits = content, limits
        self._attempt = now_us  # rises with each move; a restarted courier owns its parts under newer epochs
        self._unsent: deque[Piece] = deque()
        self._digests: dict[str, bytes] = {}
        self._next_place = 0
        self._rounds_done = 0
        self._due_us = now_us  # next action that does not depend on an answer
        self._pending = PendingRequest(limits)
        self._undo_since_us = 0  # when the register was first asked for the part back
        self._take_back_count = 0
        self._lease_lost = False
        self._seal: Seal | None = None
        self._copy_confirmed = False  # the taker has confirmed that its copy is whole

    @property
    def over(self) -> bool:
        """Whether the move has ended, with the part given or kept."""
        return self.step in (Step.DONE, Step.UNDONE)

    def next_us(self) -> int:
        """Return the time at which `tick` has to be called next, NEVER_US once the move has ended."""
        if self.over:
            return NEVER_US
        if self._pending.request is None or (self._lease_lost and self._seal is None):
            return self._due_us
        return self._pending.next_us()

    def lease_lost(self, now_us: int) -> None:
        """Handle the end of this courier's lease: the part is shut here, and the register decides who owns it."""
        if not self.over:
            self._lease_lost, self._due_us = True, now_us
            self._content.shut(self.part)

    def tick(self, now_us: int) -> list[Act]:
        """Return the acts that are due now; empty if there are none."""
        if self.over:
            return []
        if self._lease_lost and self._seal is None:
            return self._end_undone("the lease ran out: kept here, shut")
        if self._pending.request is not None:
            acts = self._pending.retry_if_due(now_us)
            return self._handle_silence(now_us) if acts is None else acts
        if now_us < self._due_us:
            return []
        match self.step:
            case Step.PLANNED:
                return self._send_offer(now_us)
            case Step.COPYING:
                return self._copy_next(now_us)
            case Step.CLOSING:
                return self._close(now_us)
            case Step.COMMITTING:
                return self._begin_undo(now_us, "the register did not accept the commit in time")
            case _:
                return self._take_back(now_us)

    def handle_answer(self, now_us: int, request: Move, moved: Moved | None) -> list[Act]:
        """Handle the taker's answer, None after a timeout; late and duplicate ones can only confirm a sealed copy."""
        if moved is not None and (moved.part, moved.epoch) != (request.part, request.epoch):
            moved = None
        if moved is not None and moved.ok and request == self._seal and self.step is not Step.OPEN:
            self._copy_confirmed = moved.place == self._seal.place
        if self._lease_lost and self._seal is None:
            return self.tick(now_us)
        if self.over or not self._pending.awaits(request):
            return []
        if moved is None or (not moved.ok and moved.again_us > 0 and not isinstance(request, Offer)):
            more = self._pending.schedule_retry(now_us, moved.again_us if moved is not None else 0)
            return [] if more else self._handle_silence(now_us)
        if isinstance(request, Given):
            return self._handle_given_answer(moved.ok, moved.why)
        if not moved.ok:
            return self._abandon(now_us, f"{self.to} refused: {moved.why}")
        if isinstance(request, Chunk | Seal) and moved.place != request.place:
            return self._abandon(now_us, f"{self.to} answered for place {moved.place}, expected {request.place}")
        self._pending.request = None
        if isinstance(request, Seal):
            self.step = Step.COMMITTING
            self._due_us = now_us + self._limits.commit_us
            return [Commit(self.part, self.to)]
        self._due_us = now_us
        if isinstance(request, Offer):
            self.step = Step.COPYING
        elif self.step is Step.COPYING:
            self._due_us = now_us + self._limits.pace_us
        return self.tick(now_us)

    def observe_holding(self, now_us: int, epoch: int, owner: str) -> list[Act]:
        """Handle the newest holding of the register that the node knows. The part is opened here only under the epoch
        right after this move's: under a later one another courier may have owned it in between, and it stays shut for
        the node to settle, unless the taker owns it now and confirms that it used its copy. The node keeps the
        outcomes of calls that end between the `Seal` and this call."""
        if self.over or epoch <= self.epoch or self.step is Step.OPEN:
            return []
        if epoch == self.epoch + 1 and owner == self.me:
            acts = self._end_undone(self.why or "the register gave the part back")
            self._content.open(self.part, epoch)
            return acts
        if owner == self.to and self._seal is not None:
            self.step = Step.OPEN
            self._copy_confirmed = self._copy_confirmed and epoch == self.epoch + 1
            if self._copy_confirmed:
                self._content.drop(self.part)
            stands = epoch if epoch > self.epoch + 1 else 0
            return self._pending.send(now_us, Given(self.part, self.epoch + 1, stands))
        self._content.shut(self.part)
        return self._end_undone(f"the register is at epoch {epoch}, owner {owner}: kept here, shut")

    # --- the steps ---

    def _send_offer(self, now_us: int) -> list[Act]:
        pieces = self._content.pieces(self.part)
        self._unsent.extend(pieces)
        size = sum(map(piece_size, pieces))
        offer = Offer(self.part, self.epoch, self._content.version, len(pieces), size, self._attempt)
        return self._pending.send(now_us, offer)

    def _copy_next(self, now_us: int) -> list[Act]:
        if self._unsent:
            return self._send_chunk(now_us)
        if self._rounds_done < self._limits.max_rounds:
            self._rounds_done += 1
            self._unsent.extend(self._content.changed(self.part))
            if len(self._unsent) > self._limits.max_tail_pieces:
                return self._send_chunk(now_us)
        self.step = Step.CLOSING
        self.shut_us = now_us
        self._content.shut(self.part)
        return self._close(now_us)

    def _close(self, now_us: int) -> list[Act]:
        """Send changed pieces of the shut part while calls are under way, then the last of them with the `Seal`."""
        limits = self._limits
        if now_us - self.shut_us >= limits.shut_bound_us:
            return self._abandon(now_us, "the tail was not sent in time after the part was shut")
        calls_done = self._calls_done(now_us)
        self._unsent.extend(self._content.changed(self.part))
        if not calls_done:
            if len(self._unsent) > limits.max_tail_pieces:
                return self._send_chunk(now_us)
            self._due_us = now_us + limits.poll_us
            return []
        pieces = self._take_chunk()
        if self._unsent:
            return self._pending.send(now_us, self._number_chunk(pieces))
        self.step = Step.HANDING
        self._seal = Seal(self.part, self.epoch, self._next_place, part_digest(self._digests), pieces, self._attempt)
        return self._pending.send(now_us, self._seal)

    def _calls_done(self, now_us: int) -> bool:
        """Whether no call is under way, or `call_bound_us` is over and the content shows the calls as possibly run."""
        return self._content.under_way(self.part) == 0 or now_us - self.shut_us >= self._limits.call_bound_us

    def _take_chunk(self) -> tuple[Piece, ...]:
        pieces = take_chunk(self._unsent, self._limits)
        update_digests(self._digests, pieces)
        return pieces

    def _number_chunk(self, pieces: tuple[Piece, ...]) -> Chunk:
        self._next_place += 1
        return Chunk(self.part, self.epoch, self._next_place - 1, pieces, self._attempt)

    def _send_chunk(self, now_us: int) -> list[Act]:
        return self._pending.send(now_us, self._number_chunk(self._take_chunk()))

    # --- ends ---

    def _handle_given_answer(self, ok: bool, why: str) -> list[Act]:
        if ok and not self._copy_confirmed:
            self._copy_confirmed = True
            self._content.drop(self.part)
        if self._copy_confirmed:
            return self._finish(Step.DONE, f"given to {self.to}")
        return self._end_undone(f"{self.to} has the part without its whole copy ({why}): kept here, shut")

    def _handle_silence(self, now_us: int) -> list[Act]:
        if self.step is Step.OPEN:
            return self._handle_given_answer(False, "no answer")
        return self._abandon(now_us, f"{self.to} does not answer")

    def _abandon(self, now_us: int, why: str) -> list[Act]:
        """Abandon the move: before the `Seal` the part is opened again; after it the register is asked first."""
        if self._seal is not None:
            return self._begin_undo(now_us, why)
        self._content.open(self.part, self.epoch)
        return self._end_undone(why)

    def _begin_undo(self, now_us: int, why: str) -> list[Act]:
        self.step, self.why, self._pending.request = Step.UNDOING, why, None
        self._undo_since_us = now_us
        return self._take_back(now_us)

    def _take_back(self, now_us: int) -> list[Act]:
        limits = self._limits
        if now_us - self._undo_since_us >= limits.undecided_us:
            return self._end_undone(f"{self.why}; the register has not decided: kept here, shut")
        self._due_us = now_us + min(limits.undecided_us, limits.commit_us << min(self._take_back_count, 3))
        self._take_back_count += 1
        return [TakeBack(self.part)]

    def _end_undone(self, why: str) -> list[Act]:
        """End the move as undone; cancel a copy without a `Seal`. The caller decides whether the part is open here."""
        acts: list[Act] = [SendRequest(Cancel(self.part, self.epoch, self._attempt))] if self._seal is None else []
        return [*acts, *self._finish(Step.UNDONE, why)]

    def _finish(self, step: Step, why: str) -> list[Act]:
        self.step, self.why, self._pending.request = step, why, None
        self._unsent.clear()
        self._digests.clear()
        return [Ended(step is Step.DONE, why)]
