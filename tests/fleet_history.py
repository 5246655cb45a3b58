"""Builds histories of a fleet step by step, for tests of its judge."""

from __future__ import annotations

from wheelstep.rehearsal.fleet.evidence import Breach, FleetRule
from wheelstep.rehearsal.fleet.history import Asked, Contract, FleetHistory, Gone, Heard, Looked, Touch
from wheelstep.rehearsal.fleet.judge import judge_fleet
from wheelstep.rehearsal.history import Call, ClassFigures, Effect, End, Fate, Figures, History, How, Notice

MS, S = 1_000, 1_000_000
FIGURES = Figures({"item-status": ClassFigures(Effect.KEYED, True, 10 * S, 60 * S, 2 * S)})
CONTRACTS = {contract.name: contract for contract in (
    Contract("updates"), Contract("wide", order="window", open=3), Contract("loose", order="none"),
    Contract("skips", gap="skip", gap_after_us=1 * S), Contract("fails", gap="fail"), Contract("once", once=True),
    Contract("last", order="latest"))}
CHANNEL = "updates/1/k"


class HistoryBuilder:
    """Builds a history step by step. Each method adds facts and returns the builder.

    Messages are named by channel and number: `k#3` is message 3 of channel k. Times are in microseconds.
    """

    def __init__(self, end_us: int = 30 * S) -> None:
        self.history = FleetHistory(History(FIGURES, end_us=end_us), 16, CONTRACTS)

    def submit(self, number: int, at_us: int, channel: str = CHANNEL, courier: str = "c0", status: int = 202,
               message: str = "", following: int | None = None) -> HistoryBuilder:
        """Add a submission and its answer; `following` is the next number that the answer names."""
        name = message or f"{channel}#{number}"
        self.history.add(Asked(at_us, courier, channel, number, 1, name, "item-status", 1, channel, number,
                               at_us + 10 * S))
        told = (number + 1 if following is None else following) if status in (202, 409) else 0
        self.history.add(Heard(at_us + MS, at_us, courier, channel, number, name, End.ANSWERED, status, told))
        return self

    def call(self, number: int, at_us: int, epoch: int = 1, courier: str = "c0", channel: str = CHANNEL,
             fate: Fate = Fate.DELIVERED, took_us: int = 20 * MS, how: How = How.ANSWERED,
             message: str = "") -> HistoryBuilder:
        """Add a call of a number, as its partner saw it."""
        name = message or f"{channel}#{number}"
        self.history.add(Touch(courier, "e0", channel, number, epoch, name, at_us, at_us + took_us, how, fate))
        self.history.base.add(Call(courier, "e0", 1, at_us, at_us, (name,), how, at_us + took_us, (fate,), (True,)))
        return self

    def notice(self, number: int, at_us: int, channel: str = CHANNEL, outcome: str = "given_up") -> HistoryBuilder:
        """Add a notice of a message's outcome."""
        self.history.base.add(Notice(at_us, "c0", f"{channel}#{number}", outcome))
        return self

    def unavailable(self, courier: str, begin_us: int, end_us: int, disk: bool = True) -> HistoryBuilder:
        """Add a span in which a courier was unavailable."""
        self.history.add(Gone(courier, begin_us, end_us, disk))
        return self

    def read_position(self, at_us: int, status: int, next_number: int = 0, courier: str = "c0",
                      last: bool = False) -> HistoryBuilder:
        """Add a courier's answer to a request for the position of `CHANNEL`."""
        self.history.add(Looked(at_us, at_us - MS, courier, CHANNEL, status, next_number, last))
        return self

    def breaches(self) -> tuple[Breach, ...]:
        """Return the breaches that the judge finds in the history so far."""
        return judge_fleet(self.history).breaches

    def broken_rules(self) -> set[FleetRule]:
        """Return the rules that the judge finds broken."""
        return {breach.rule for breach in self.breaches()}
