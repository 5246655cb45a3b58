"""The operator's tools for a stopped courier's folder: inspect, verify, repair and compact."""

from __future__ import annotations

import copy
import json
import subprocess
import sys
from pathlib import Path

import pytest

from wheelstep.journal import Journal, StoredMessage
from wheelstep.journal.segments import segment_file_name

ROOT = Path(__file__).parent.parent
LIMIT = 3_000_000


def filled(folder: Path) -> None:
    journal = Journal(folder, LIMIT)
    for number in range(500):
        journal.take(StoredMessage(f"m{number}", "cls", 7, 1000, body=b"secret" * 50))
        journal.attempt(f"m{number}", 0, 5, "e0")
        if number % 5:
            journal.over(f"m{number}")
    journal.end("m0", "given_up", 0)
    journal.close()


def call(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, "-m", "wheelstep.cli", "journal", *words], cwd=ROOT, capture_output=True,
                          text=True, timeout=60)


def test_inspect_lists_unfinished_messages_without_bodies(tmp_path: Path) -> None:
    filled(tmp_path)
    done = call("inspect", str(tmp_path), "--messages", "--json")
    found = json.loads(done.stdout)
    assert (done.returncode, found["messages"], found["owed_a_notice"], found["may_have_run"]) == (0, 100, 1, 100)
    assert found["all_messages"][1]["bytes"] == 300 and "secret" not in done.stdout
    plain = call("inspect", str(tmp_path))
    assert plain.returncode == 0 and "messages: 100" in plain.stdout


def test_compact_leaves_the_same_messages_in_less_room(tmp_path: Path) -> None:
    filled(tmp_path)
    before = Journal(tmp_path, LIMIT)
    state = copy.deepcopy(before.messages)
    before.close()
    found = json.loads(call("compact", str(tmp_path), "--json").stdout)
    assert found["messages"] == 100 and found["bytes_after"] < found["bytes_before"] / 3
    assert Journal(tmp_path, LIMIT).messages == state


def test_damage_is_reported_by_verify_refused_by_compact_and_fixed_by_repair(tmp_path: Path) -> None:
    filled(tmp_path)
    assert call("verify", str(tmp_path)).returncode == 0
    file = tmp_path / segment_file_name(1)
    data = bytearray(file.read_bytes())
    data[5_000] ^= 0xFF
    file.write_bytes(bytes(data))
    bad = call("verify", str(tmp_path), "--json")
    assert bad.returncode == 1 and json.loads(bad.stdout)["damage"][0]["file"] == segment_file_name(1)
    refused = call("compact", str(tmp_path))
    assert refused.returncode == 2 and "repair" in refused.stderr and refused.stderr.count("\n") == 1
    mended = json.loads(call("repair", str(tmp_path), "--json").stdout)
    assert mended["kept"] and Path(mended["kept"][0]).read_bytes() == bytes(data)
    assert call("verify", str(tmp_path)).returncode == 0


@pytest.mark.parametrize("verb", ["inspect", "verify", "repair", "compact"])
def test_a_missing_folder_is_reported_on_one_line(verb: str) -> None:
    done = call(verb, "/no/such/folder")
    assert done.returncode == 2 and "no folder" in done.stderr and done.stderr.count("\n") == 1
