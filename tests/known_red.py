"""`KNOWN-RED.txt`: tests that fail for a real fault that is known. A listed test has to fail, any other has to pass.

A line of the file: `tests/test_x.py::test_y[id] | cause in a sentence | #37`. `#` begins a comment; no file is as good
as an empty one. A listed test that fails before or in its body is counted as `known red` and fails nothing; what its
teardown says counts as for any other test. One whose cause begins with `unsteady: ` may pass or fail, and is told at
the end of each run either way. What is wrong with the list is reported as one failed test each, so that
the exit code and pytest's closing line tell it. `pytest` loads this through conftest.py, in each worker of xdist and
in the process above them.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Generator, Sequence
from dataclasses import dataclass

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3
RED = "known red"  # the outcome, and its word in the closing line
UNSTEADY = "unsteady: "  # begins the cause of a test that fails in some runs
FORM = "expected: test id | cause in a sentence | #issue"


@dataclass(frozen=True)
class Known:
    """One listed test; `place` is its line in the file."""

    place: str
    test: str
    cause: str
    issue: str

    @property
    def unsteady(self) -> bool:
        """Whether the test may pass, too."""
        return self.cause.startswith(UNSTEADY)


@dataclass(frozen=True)
class Fault:
    """What is wrong with the list, in one line that names the place and what was expected."""

    place: str
    what: str


def parse(text: str) -> tuple[list[Known], list[Fault]]:
    """What the file lists, and what is wrong with it as it stands."""
    known: list[Known] = []
    faults: list[Fault] = []
    lines = [(f"{FILE}:{number}", line.strip()) for number, line in enumerate(text.splitlines(), 1)
             if line.strip() and not line.lstrip().startswith("#")]
    for place, line in lines:
        test, cause, issue = ([part.strip() for part in line.rsplit("|", 2)] + ["", ""])[:3]  # ids may hold a `|`
        if not test or not cause or not re.fullmatch(r"#\d+", issue):
            faults.append(Fault(place, f"no cause or no issue in {line!r}; {FORM}"))
        elif test in {one.test for one in known}:
            faults.append(Fault(place, f"{test} is listed twice; expected: one line a test"))
        else:
            known.append(Known(place, test, cause, issue))
    if len(lines) > MOST:
        faults.append(Fault(lines[MOST][0], f"{len(lines)} tests are listed; expected: {MOST} at most"))
    return known, faults


def decide(one: Known, phase: str, outcome: str) -> tuple[str, str]:
    """The outcome that the phase of a listed test counts as, and what is wrong with it, if anything."""
    if phase == "teardown" or (phase, outcome) == ("setup", "passed"):
        return outcome, ""
    if outcome == "failed":
        return RED, ""
    if outcome == "passed" and one.unsteady:
        return outcome, ""
    told = {"passed": "passes", "skipped": "is skipped"}.get(outcome, outcome)
    return "failed", f"{one.place}: {one.test} {told}; expected: it fails ({one.cause}, {one.issue}), or is not listed"


def unknown(known: Sequence[Known], collected: Collection[str]) -> list[Fault]:
    """Names that a full run did not collect."""
    return [Fault(one.place, f"no test is called {one.test}; expected: an id that pytest collects")
            for one in known if one.test not in collected]


class Plugin:
    """Reads the file once; judges each listed test where it runs, and the list where the run ends."""

    def __init__(self, config: pytest.Config) -> None:
        path = config.rootpath / FILE
        self.known, self.faults = parse(path.read_text(encoding="utf-8") if path.exists() else "")
        self._listed = {one.test: one for one in self.known}
        self._above = not hasattr(config, "workerinput")  # no worker of xdist
        self._collected: set[str] = set()
        self._seen: set[str] = set()
        self._passed: set[str] = set()  # unsteady ones

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(self, item: pytest.Item) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        report = yield
        if (one := self._listed.get(item.nodeid)) is not None:
            outcome, wrong = decide(one, report.when, report.outcome)
            if wrong:
                report.longrepr = wrong
                report.__dict__.pop("wasxfail", None)
            report.outcome = outcome  # type: ignore[assignment]
        return report

    def pytest_report_teststatus(self, report: pytest.TestReport) -> tuple[str, str, str] | None:
        return (RED, "K", RED.upper()) if report.outcome == RED else None

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.outcome == RED:
            self._seen.add(report.nodeid)
        elif report.when == "call" and report.outcome == "passed" and report.nodeid in self._listed:
            self._passed.add(report.nodeid)

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        self._collected.update(item.nodeid for item in session.items)

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: Sequence[str]) -> None:
        self._collected.update(ids)

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if not self._above or session.config.option.collectonly:
            return
        ended = session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED)  # all was collected
        faults = self.faults + (
            unknown(self.known, self._collected) if ended and full(session.config) else [])
        reporter = session.config.pluginmanager.get_plugin("terminalreporter")
        assert reporter is not None
        for fault in faults:
            report = pytest.TestReport(fault.place, (FILE, None, fault.place), {}, "failed",
                                       f"{fault.place}: {fault.what}", "call")
            reporter.stats.setdefault("failed", []).append(report)
        if faults and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if red := [one for one in self.known if one.test in self._seen]:
            terminalreporter.section(f"known to be red: {len(red)}")
            for one in red:
                terminalreporter.write_line(f"{one.test}: {one.cause} ({one.issue})")
        if passed := [one for one in self.known if one.unsteady and one.test in self._passed]:
            terminalreporter.section(f"known to be unsteady, passed now: {len(passed)}")
            for one in passed:
                terminalreporter.write_line(f"{one.test}: {one.cause} ({one.issue})")


def full(config: pytest.Config) -> bool:
    """Return whether the run covers every test of the project."""
    given = config.option
    return config.args_source is not pytest.Config.ArgsSource.ARGS and not any(
        getattr(given, name, None) for name in ("keyword", "markexpr", "deselect", "ignore", "ignore_glob", "lf",
                                                "stepwise", "maxfail"))


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(Plugin(config), "known red list")
