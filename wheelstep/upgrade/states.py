"""The handover's state machine: who owns the messages in each state. No I/O.

The source owns them until its journal is closed (`GIVEN`); from then on only the target may act. If the target is lost
before that, it has changed nothing, and the source resumes. If it is lost between `GIVEN` and `DONE`, it may have
acted: the source must then restart from the folder.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """How far the handover has come."""

    SERVING = "serving"  # no target has asked
    OFFERED = "offered"  # paused; the target receives copies of the connections
    GIVEN = "given"  # the journal is closed, and the target is told so
    DONE = "done"  # the target serves


class Action(Enum):
    """What the source has to do."""

    PAUSE = "pause"  # start no call, read no request, send copies of all connections
    CLOSE = "close"  # close the journal, then tell the target
    RELEASE = "let go"  # close the own descriptors of what was handed over
    RESUME = "resume"  # continue serving
    RESTART = "begin anew"  # restart the process from the folder
    REFUSE = "refuse"  # not the current target: close its connection
    NOTHING = "nothing"


class Handover:
    """The source's state machine. `channel` identifies a target and may be any object."""

    def __init__(self) -> None:
        self.state = State.SERVING
        self._target: object = None

    def requested(self, channel: object) -> Action:
        """A process asks to take over."""
        if self.state is not State.SERVING:
            return Action.REFUSE
        self.state, self._target = State.OFFERED, channel
        return Action.PAUSE

    def received(self, channel: object) -> Action:
        """The target has the connections and is ready for the journal."""
        if self.state is not State.OFFERED or channel is not self._target:
            return Action.REFUSE
        self.state = State.GIVEN
        return Action.CLOSE

    def confirmed(self, channel: object) -> Action:
        """The target has opened the journal and serves."""
        if self.state is not State.GIVEN or channel is not self._target:
            return Action.REFUSE
        self.state = State.DONE
        return Action.RELEASE

    def lost(self, channel: object) -> Action:
        """The target's connection has ended, or a step took too long."""
        if channel is not self._target or self.state in (State.SERVING, State.DONE):
            return Action.NOTHING
        if self.state is State.OFFERED:
            self.state, self._target = State.SERVING, None
            return Action.RESUME
        return Action.RESTART
