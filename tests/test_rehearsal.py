"""Complete rehearsals on loopback: our courier keeps each rule, broken and other couriers are detected.

Each takes seconds; pytest-xdist runs them in parallel. A rehearsal that is inconclusive because the machine ran late
is played again.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from wheelstep.rehearsal.broken import BROKEN_COURIERS

ROOT = Path(__file__).parent.parent
STUB = Path(__file__).parent / "stub_courier.py"
SHORT = """
title = "A short one"
rule = "lost"
length = "1s"
ready_within = "8s"
[[class]]
name = "pay"
promise = "500ms"
deadline = "1s"
[[kind]]
name = "firm"
[[partner]]
name = "alpha"
kind = "firm"
pace = "5ms"
[traffic]
rate_per_s = 20
retries = 0
"""


def call(*words: str, timeout_s: float = 100) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, "-m", "wheelstep.cli", *words], cwd=ROOT, capture_output=True, text=True,
                          timeout=timeout_s)


def rehearse(*words: str) -> tuple[int, dict[str, Any]]:
    """Return exit code and report; an inconclusive rehearsal is repeated up to three times."""
    for _ in range(4):
        done = call("rehearse", *words, "--json")
        assert done.returncode in (0, 1, 3), done.stderr
        if done.returncode != 3:
            return done.returncode, json.loads(done.stdout)
    pytest.fail(f"inconclusive four times: {done.stdout[-300:]}")


SCENARIOS = {"lost": "lost-kill", "twice": "twice-reset", "drains": "drains-leaves", "returns": "returns-failing",
             "order": "order-restart", "waits": "waits-shut"}
CAUGHT = [("lost-kill", "drops-on-kill"), ("lost-term", "drops-on-term"), ("lost-failing", "two-ends"),
          ("twice-reset", "pays-after-reset"), ("twice-restart", "pays-after-restart"),
          ("drains-leaves", "late-lists"), ("drains-leaves", "keeps-the-gone"),
          ("returns-failing", "warms-too-fast"), ("order-breaks", "no-rest"),
          ("order-restart", "no-order-over-restart"), ("waits-shut", "heeds-for-one"),
          ("waits-shut", "waits-at-one-endpoint")]


@pytest.mark.parametrize("rule", list(SCENARIOS))
def test_our_courier_keeps_every_rule(rule: str) -> None:
    code, report = rehearse("run", SCENARIOS[rule])
    assert (code, report["findings"]) == (0, [])
    assert report["verdict"]["verdict"] == "kept"
    assert sum(row["delivered"] for row in report["beside"]["worth"].values()) > 0


@pytest.mark.parametrize("scenario,build", CAUGHT)
def test_a_broken_courier_is_detected_with_a_finding(scenario: str, build: str) -> None:
    code, report = rehearse("run", scenario, "--broken", build)
    rule = BROKEN_COURIERS[build].rule.name.lower()
    assert code == 1 and report["verdict"]["rules"][rule] == "broken"
    found = [finding for finding in report["findings"] if finding["rule"] == rule]
    assert found and found[0]["what"]


def test_a_payment_made_twice_is_counted_in_the_effects() -> None:
    _, report = rehearse("run", "twice-reset", "--broken", "pays-after-reset")
    assert report["beside"]["most_effects_of_a_message"] >= 2


@pytest.mark.parametrize("what,rule", [("nothing", "lost"), ("crowd", "form"), ("spender", "form")])
def test_wrong_couriers_of_another_program_are_detected(tmp_path: Path, what: str, rule: str) -> None:
    (tmp_path / "short.toml").write_text(SHORT)
    code, report = rehearse("run", str(tmp_path / "short.toml"), "--courier", f"{sys.executable} {STUB} {what}")
    assert code == 1 and report["verdict"]["rules"][rule] == "broken"


def test_a_simple_courier_of_another_program_keeps_the_rules(tmp_path: Path) -> None:
    (tmp_path / "short.toml").write_text(SHORT)
    code, report = rehearse("run", str(tmp_path / "short.toml"), "--courier", f"{sys.executable} {STUB} plain")
    assert (code, report["findings"]) == (0, [])


def test_a_courier_that_exits_at_once_breaks_the_form(tmp_path: Path) -> None:
    (tmp_path / "short.toml").write_text(SHORT)
    code, report = rehearse("run", str(tmp_path / "short.toml"), "--courier", "sh -c 'exit 3'")
    assert code == 1 and "exit code 3" in report["findings"][0]["what"]


def test_the_same_seed_gives_the_same_canonical_verdict(tmp_path: Path) -> None:
    (tmp_path / "short.toml").write_text(SHORT)
    verdicts = [rehearse("run", str(tmp_path / "short.toml"), "--seed", "5")[1]["verdict"] for _ in range(2)]
    assert verdicts[0] == verdicts[1] and verdicts[0]["seed"] == 5
    assert rehearse("run", str(tmp_path / "short.toml"), "--seed", "6")[1]["verdict"]["plan"] != verdicts[0]["plan"]


def test_a_saved_history_gets_the_same_verdict_again(tmp_path: Path) -> None:
    (tmp_path / "short.toml").write_text(SHORT)
    saved = tmp_path / "short.history"
    code, report = rehearse("run", str(tmp_path / "short.toml"), "--save", str(saved),
                            "--courier", f"{sys.executable} {STUB} nothing")
    again = call("rehearse", "verify", str(saved), "--json")
    assert again.returncode == code == 1
    assert json.loads(again.stdout)["rules"] == report["verdict"]["rules"]


def test_a_record_is_replayed_at_any_speed_with_the_same_verdict(tmp_path: Path) -> None:
    (tmp_path / "short.toml").write_text(SHORT.replace('deadline = "1s"', 'deadline = "8s"'))
    record = tmp_path / "short.record"
    code, report = rehearse("record", str(tmp_path / "short.toml"), str(record))
    assert code == 0
    whole = call("rehearse", "verify", str(record), "--json")
    handed = json.loads(whole.stdout)["messages"]
    assert whole.returncode == 0 and json.loads(whole.stdout)["ended"] == "closed"
    for speed in ("1", "4"):
        code, report = rehearse("replay", str(record), "--speed", speed)
        assert (code, report["verdict"]["verdict"]) == (0, "kept")
        assert sum(row["messages"] for row in report["beside"]["worth"].values()) == handed > 0
    record.write_bytes(record.read_bytes()[:-200])  # truncated as after a power loss
    refused = call("rehearse", "replay", str(record))
    assert refused.returncode == 2 and "no whole line" in refused.stderr and refused.stderr.count("\n") == 1
    assert call("rehearse", "verify", str(record)).returncode == 2
    done = call("rehearse", "replay", str(record), "--speed", "4", "--up-to-damage", "--json")
    assert done.returncode in (0, 3) and "messages are played" in done.stderr


# --- the command line ---

@pytest.mark.parametrize("words,expected", [
    (["rehearse", "run", "no-such"], "expected one of"),
    (["rehearse", "run", "lost-kill", "--broken", "no-such"], "expected one of"),
    (["rehearse", "run", "lost-kill", "--courier", "/no/such/program"], "can't be started"),
    (["rehearse", "run", "lost-kill", "--courier", "''"], "can't be started"),
    (["rehearse", "run", "lost-kill", "--courier", "'"], "is no command"),
    (["rehearse", "run", "lost-kill", "--speed", "0"], "expected 0.05 to 100"),
    (["rehearse", "replay", "no.record"], "can't be read"),
    (["rehearse", "verify", "no.record"], "can't be read"),
    (["config", "check", "no.toml"], "can't be read"),
    (["config", "check", "README.md"], "expected .toml"),
    (["demo", "--length", "1"], "expected 8 to 600"),
])
def test_bad_input_is_one_line_and_exit_code_2(words: list[str], expected: str) -> None:
    done = call(*words)
    assert done.returncode == 2 and done.stdout == ""
    assert expected in done.stderr and done.stderr.count("\n") == 1 and "Traceback" not in done.stderr


def test_wrong_usage_is_exit_code_2() -> None:
    for words in (["rehearse"], ["nonsense"], ["rehearse", "run"], ["demo", "--seed", "x"]):
        assert call(*words).returncode == 2


def test_the_list_names_scenarios_and_broken_couriers() -> None:
    plain = call("rehearse", "list")
    assert plain.returncode == 0 and "monday" in plain.stdout and "pays-after-reset" in plain.stdout
    rows = [json.loads(line) for line in call("rehearse", "list", "--json").stdout.splitlines()]
    assert {row["what"] for row in rows} == {"scenario", "broken courier"}


@pytest.mark.parametrize("text,code,expected", [
    ("", 0, "operator's file"),
    ("[recording]\non = true\n", 2, "recording.file: missing"),
    ("[recording]\nfil = 1\n", 2, "recording.fil: unknown key"),
    ("[recording]\non = true\nfile = '/no/folder/x'\n", 2, "is no folder"),
    ("[recording]\nmax_mb = 0\n", 2, "recording.max_mb"),
    ("[recording\n", 2, "expected TOML"),
    (SHORT, 0, "scenario"),
    (SHORT + "[[fault]]\nkind = 'drain'\npartner = 'x'\nat = '1s'\n", 2, "fault[0].partner"),
])
def test_config_check_reports_file_key_and_expectation(tmp_path: Path, text: str, code: int, expected: str) -> None:
    path = tmp_path / "some.toml"
    path.write_text(text)
    done = call("config", "check", str(path))
    assert done.returncode == code and expected in done.stdout + done.stderr
    assert (done.stdout + done.stderr).startswith(f"{path}: " if code == 0 else f"umberchute: {path}: ")


def test_the_shipped_operators_file_is_valid_and_switches_nothing_on() -> None:
    from wheelstep.operator import load
    assert call("config", "check", "deploy/operator.toml").returncode == 0
    assert not load(str(ROOT / "deploy" / "operator.toml")).recording.on


def test_optional_parts_that_are_off_are_not_imported() -> None:
    code = ("import sys, wheelstep.courier.__main__; "
            "print([name for name in sys.modules if name.split('.')[0] in ('pydantic', 'rich') "
            "or name.startswith(tuple(f'wheelstep.{part}' for part in "
            "('rehearsal', 'recording', 'operator', 'console', 'renewal', 'upgrade', 'workers')))])")
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_rehearsal_leaves_no_process_behind(tmp_path: Path, number: signal.Signals) -> None:
    mark = f"mark-{os.getpid()}-{number}"
    courier = f"{sys.executable} {STUB} plain {mark}"
    (tmp_path / "short.toml").write_text(SHORT.replace('length = "1s"', 'length = "60s"'))
    process = subprocess.Popen([sys.executable, "-m", "wheelstep.cli", "rehearse", "run",
                                str(tmp_path / "short.toml"), "--courier", courier], cwd=ROOT,
                               stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

    def running() -> list[str]:
        found = []
        for path in Path("/proc").glob("[0-9]*/cmdline"):
            try:
                words = path.read_bytes().split(b"\0")
            except OSError:
                continue
            if mark.encode() in words:
                found.append(path.parent.name)
        return found

    end = time.monotonic() + 30
    while not running() and time.monotonic() < end:
        time.sleep(0.05)
    assert running()
    process.send_signal(number)
    out, error = process.communicate(timeout=30)
    assert process.returncode == 130 and "Traceback" not in error
    assert running() == []
