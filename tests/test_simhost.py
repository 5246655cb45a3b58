"""The simulator's adapter, run as a process by the command of the deploy file."""

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
    """Return a batch of events for one instance as a line of input."""
    return json.dumps({"ts_us": now, "couriers": [{"who": who, "in": list(events)}]}) + "\n"


def run(text: str) -> subprocess.CompletedProcess[str]:
    """Run the adapter on this input."""
    sim = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    command = sim.replace(".venv/bin/python", sys.executable)
    assert sys.executable in command
    return subprocess.run(["/bin/sh", "-c", command], cwd=ROOT, input=text, text=True, capture_output=True,
                          timeout=30)


def commands(line: str) -> list[dict[str, Any]]:
    """Return the commands in a line of output."""
    return [cmd for group in json.loads(line)["couriers"] for cmd in group["cmds"]]


def test_a_message_is_sent_and_its_delivery_gets_no_further_command() -> None:
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


def test_a_restart_within_a_batch_discards_the_first_instance() -> None:
    result = run(batch(OPEN, LIST, MEMBERS) + batch(SUBMIT, {"cmd": "Down"}, OPEN, MEMBERS, now=2000))
    assert result.returncode == 0
    assert not [cmd for cmd in commands(result.stdout.splitlines()[1]) if cmd["cmd"] == "SubmitTo"]


def test_a_list_number_used_twice_in_a_batch_is_read_in_order() -> None:
    other = {**LIST, "rows": [{"endpoint": "endpoint.y", "owner_no": 3, "phase": "up"}]}
    result = run(batch(OPEN, LIST, MEMBERS, other, {**MEMBERS, "form": "replace"}, SUBMIT))
    sent = [cmd["endpoint"] for cmd in commands(result.stdout) if cmd["cmd"] == "SubmitTo"]
    assert sent == ["endpoint.y"]


def test_empty_input_ends_with_exit_code_0_and_no_output() -> None:
    result = run("")
    assert (result.returncode, result.stdout, result.stderr) == (0, "", "")


@pytest.mark.parametrize("line, word", [
    ("no json\n", "line 1"), ("[1]\n", "line 1"), ("{}\n", "ts_us"),
    (batch({"cmd": "Nonsense"}), "never opened"), (batch(OPEN, {"cmd": "Nonsense"}), "Nonsense"),
    (batch(OPEN, {"cmd": "Submit"}), "call"), (batch(SUBMIT), "never opened"),
    (batch(OPEN, {**MEMBERS, "bank": 9}), "list 9"), (batch({**OPEN, "boot_info": {}}), "services"),
])
def test_malformed_input_ends_with_one_error_line(line: str, word: str) -> None:
    result = run(line)
    assert result.returncode != 0 and result.stdout == ""
    assert len(result.stderr.splitlines()) == 1 and word in result.stderr
    assert "Traceback" not in result.stderr
