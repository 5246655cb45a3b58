"""Who owns the messages at each step of a handover. No I/O.

The giver owns them until its journal is closed (`GIVEN`); from then on only the taker may act. A taker that is lost
before has changed nothing, and the giver goes on as if it had never come. One that is lost between `GIVEN` and `DONE`
may have acted: then the giver knows no more than the folder does, and must begin anew from it.
"""

from __future__ import annotations

from enum import Enum


class Step(Enum):
    """How far it has come."""

    SERVING = "serving"  # nobody has asked
    OFFERED = "offered"  # paused; the taker gets copies of the connections
    GIVEN = "given"  # the journal is closed, and the taker told so
    DONE = "done"  # the taker serves


class Do(Enum):
    """What the giver has to do."""

    PAUSE = "pause"  # begin nothing, read nothing, send copies of all connections
    CLOSE = "close"  # close the journal, then say so
    LET_GO = "let go"  # close the own handles of what was passed on
    RESUME = "resume"  # go on
    BEGIN_ANEW = "begin anew"  # from the folder, as after a restart
    REFUSE = "refuse"  # it is no taker: end its connection
    NOTHING = "nothing"


class Handover:
    """The giver's steps. `channel` tells takers apart: any object."""

    def __init__(self) -> None:
        self.step = Step.SERVING
        self._taker: object = None

    def asked(self, channel: object) -> Do:
        """A process asks to take over."""
        if self.step is not Step.SERVING:
            return Do.REFUSE
        self.step, self._taker = Step.OFFERED, channel
        return Do.PAUSE

    def received(self, channel: object) -> Do:
        """It has the connections and is ready for the journal."""
        if self.step is not Step.OFFERED or channel is not self._taker:
            return Do.REFUSE
        self.step = Step.GIVEN
        return Do.CLOSE

    def mine(self, channel: object) -> Do:
        """It has opened the journal and serves."""
        if self.step is not Step.GIVEN or channel is not self._taker:
            return Do.REFUSE
        self.step = Step.DONE
        return Do.LET_GO

    def lost(self, channel: object) -> Do:
        """Its connection has ended, or it took too long."""
        if channel is not self._taker or self.step in (Step.SERVING, Step.DONE):
            return Do.NOTHING
        if self.step is Step.OFFERED:
            self.step, self._taker = Step.SERVING, None
            return Do.RESUME
        return Do.BEGIN_ANEW
