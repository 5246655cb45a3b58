"""Who owns the messages in each state of a handover. No I/O.

The source owns them until its journal is closed (`GIVEN`); from then on only the target may act. A target that is lost
before has changed nothing, and the source goes on as if it had never come. One that is lost between `GIVEN` and `DONE`
may have acted: then the source knows no more than the folder does, and must begin anew from it.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """How far it has come."""

    SERVING = "serving"  # nobody has asked
    OFFERED = "offered"  # paused; the target gets copies of the connections
    GIVEN = "given"  # the journal is closed, and the target told so
    DONE = "done"  # the target serves


class Action(Enum):
    """What the source has to do."""

    PAUSE = "pause"  # begin nothing, read nothing, send copies of all connections
    CLOSE = "close"  # close the journal, then say so
    LET_GO = "let go"  # close the own handles of what was passed on
    RESUME = "resume"  # go on
    BEGIN_ANEW = "begin anew"  # from the folder, as after a restart
    REFUSE = "refuse"  # it is no target: end its connection
    NOTHING = "nothing"


class Handover:
    """The source's steps. `channel` tells targets apart: any object."""

    def __init__(self) -> None:
        self.state = State.SERVING
        self._target: object = None

    def asked(self, channel: object) -> Action:
        """A process asks to take over."""
        if self.state is not State.SERVING:
            return Action.REFUSE
        self.state, self._target = State.OFFERED, channel
        return Action.PAUSE

    def received(self, channel: object) -> Action:
        """It has the connections and is ready for the journal."""
        if self.state is not State.OFFERED or channel is not self._target:
            return Action.REFUSE
        self.state = State.GIVEN
        return Action.CLOSE

    def mine(self, channel: object) -> Action:
        """It has opened the journal and serves."""
        if self.state is not State.GIVEN or channel is not self._target:
            return Action.REFUSE
        self.state = State.DONE
        return Action.LET_GO

    def lost(self, channel: object) -> Action:
        """Its connection has ended, or it took too long."""
        if channel is not self._target or self.state in (State.SERVING, State.DONE):
            return Action.NOTHING
        if self.state is State.OFFERED:
            self.state, self._target = State.SERVING, None
            return Action.RESUME
        return Action.BEGIN_ANEW
