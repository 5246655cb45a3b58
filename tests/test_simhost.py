"""The adapter as a process, started as the deploy file says."""

import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
INFO: dict[str, Any] = {
    "services": [{"promise_us": 2000000, "deadline_us": 9000000, "effect": "repeatable", "worth": 1.0}],
    "specifics": {"calls_out": 4, "made_up": 1}, "kinds": ["a"], "discovery": "automatic", "unknown": {},
}
OPEN = {"cmd": "OpenInstance", "salt": 5, "boot_info": INFO}
LIST = {"cmd": "Directory", "bank": 0, "rows": [{"endpoint": "endpoint.x", "owner_no": 3, "phase": "up"}]}
MEMBERS = {"cmd": "Membership", "form": "restored", "rev": 1, "bank": 0}
SUBMIT = {"cmd": "Submit", "call": "00000000000000aa", "category": 0, "far_end": 3,
          "patience_left_us": 9000000}


def batch(*events: dict[str, Any], now: int = 1000, who: int = 0) -> str:
    return json.dumps({"ts_us": now, "couriers": [{"who": who, "in": list(events)}]}) + "\n"


def run(text: str) -> subprocess.CompletedProcess[str]:
    sim = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    command = sim.replace(".venv/bin/python", sys.executable)
    assert sys.executable in command
    return subprocess.run(["/bin/sh", "-c", command], cwd=ROOT, input=text, text=True, capture_output=True,
                          timeout=30)


def commands(line: str) -> list[dict[str, Any]]:
    return [cmd for group in json.loads(line)["couriers"] for cmd in group["cmds"]]


def test_a_short_exchange() -> None:
    done = {"cmd": "ClosedAttempt", "call": SUBMIT["call"], "seq_no": 0, "endpoint": "endpoint.x",
            "state_code": "S", "spent_us": 500, "complete": True, "new_key": 1}
    result = run(json.dumps({"ts_us": 1, "couriers": []}) + "\n"
                 + batch(OPEN, LIST, MEMBERS, SUBMIT) + batch(done, now=2000))
    assert result.returncode == 0 and result.stderr == ""
    empty, first, second = result.stdout.splitlines()
    assert json.loads(empty) == {"couriers": []}
    sent = [cmd for cmd in commands(first) if cmd["cmd"] == "SubmitTo"]
    assert [(cmd["call"], cmd["endpoint"]) for cmd in sent] == [(SUBMIT["call"], "endpoint.x")]
    assert not [cmd for cmd in commands(second) if cmd["cmd"] in ("SubmitTo", "GiveUp", "Decline")]


def test_a_restart_in_one_batch_forgets_the_first_life() -> None:
    result = run(batch(OPEN, LIST, MEMBERS) + batch(SUBMIT, {"cmd": "Down"}, OPEN, MEMBERS, now=2000))
    assert result.returncode == 0
    assert not [cmd for cmd in commands(result.stdout.splitlines()[1]) if cmd["cmd"] == "SubmitTo"]


def test_a_list_number_used_twice_in_a_batch_is_read_in_order() -> None:
    other = {**LIST, "rows": [{"endpoint": "endpoint.y", "owner_no": 3, "phase": "up"}]}
    result = run(batch(OPEN, LIST, MEMBERS, other, {**MEMBERS, "form": "replace"}, SUBMIT))
    sent = [cmd["endpoint"] for cmd in commands(result.stdout) if cmd["cmd"] == "SubmitTo"]
    assert sent == ["endpoint.y"]


def test_end_of_input_is_a_clean_exit() -> None:
    result = run("")
    assert (result.returncode, result.stdout, result.stderr) == (0, "", "")


@pytest.mark.parametrize("line, word", [
    ("no json\n", "line 1"), ("[1]\n", "line 1"), ("{}\n", "ts_us"),
    (batch({"cmd": "Nonsense"}), "never opened"), (batch(OPEN, {"cmd": "Nonsense"}), "Nonsense"),
    (batch(OPEN, {"cmd": "Submit"}), "call"), (batch(SUBMIT), "never opened"),
    (batch(OPEN, {**MEMBERS, "bank": 9}), "list 9"), (batch({**OPEN, "boot_info": {}}), "services"),
])
def test_malformed_input_gets_one_plain_line(line: str, word: str) -> None:
    result = run(line)
    assert result.returncode != 0 and result.stdout == ""
    assert len(result.stderr.splitlines()) == 1 and word in result.stderr
    assert "Traceback" not in result.stderr
