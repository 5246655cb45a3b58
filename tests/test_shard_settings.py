"""`[fleet.shards]`: an invalid setting is one line with place and expectation; when off, nothing of it is imported."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from wheelstep.courier.config import ConfigError
from wheelstep.operator import OperatorError, load
from wheelstep.shards.daemon import _check_shard_count, settings_of

GOOD = """
[fleet]
on = true
key_file = "fleet.key"
listen = "127.0.0.1:7100"
zone = "west/a"
peers = { n1 = "127.0.0.1:7100", n2 = "127.0.0.1:7101" }

[fleet.shards]
on = true
regions = 2
control = { k1 = "127.0.0.1:7200" }
"""


def write(folder: Path, text: str) -> str:
    """Writes the operator's file and its key; returns the path."""
    (folder / "fleet.key").write_text("ab" * 32)
    path = folder / "operator.toml"
    path.write_text(text)
    return str(path)


def test_a_good_file_needs_no_voters(tmp_path: Path) -> None:
    """Voters belong to fleets without shards."""
    fleet = load(write(tmp_path, GOOD)).fleet
    assert fleet.table.shards.on and settings_of(fleet.table).shards == 16_384


@pytest.mark.parametrize(("change", "said"), [
    (('control = { k1 = "127.0.0.1:7200" }', ""), "fleet.shards.control: missing; expected"),
    (("k1 =", "n1 ="), "fleet.shards.control: 'n1' is a peer as well; expected different names"),
    (("regions = 2", "regions = 0"), "fleet.shards.regions: 0; expected"),
    (("regions = 2", "count = 0"), "fleet.shards.count: 0; expected"),
    (("regions = 2", "load = 1.0"), "fleet.shards.load: 1.0; expected"),
    (("regions = 2", "homes = 2"), "fleet.shards.homes: unknown key; expected one of those in"),
    (("regions = 2", 'guest_idle = "soon"'), "fleet.shards.guest_idle: 'soon' is no time; expected"),
    (("zone =", 'voters = ["n1", "n2", "n3"]\nzone ='), "fleet.voters: given beside fleet.shards.on = true; expected"),
    (("regions = 2", 'regions = 2\n[[contract]]\nname = "x"\norder = "strict"\n[fleet.x]'), "fleet.x: unknown key"),
    (("[fleet]\non = true", "[workers]\ncount = 2\n[fleet]\non = true"), "workers.count: 2 beside fleet.on = true"),
])
def test_an_invalid_setting_is_reported_in_one_line(tmp_path: Path, change: tuple[str, str], said: str) -> None:
    """The line names the place and what was expected."""
    text = GOOD.replace(*change)
    assert text != GOOD
    with pytest.raises(OperatorError) as caught:
        load(write(tmp_path, text))
    assert said in str(caught.value) and "\n" not in str(caught.value)


def test_contracts_and_shards_exclude_each_other(tmp_path: Path) -> None:
    """Contracts need a fleet without shards."""
    with pytest.raises(OperatorError, match="contract: given beside fleet.shards.on = true; expected one of them"):
        load(write(tmp_path, GOOD + '\n[[contract]]\nname = "x"\norder = "strict"\n'))


def test_another_number_of_shards_than_recorded_is_refused(tmp_path: Path) -> None:
    """With two counts a destination could have two homes."""
    _check_shard_count(tmp_path / "shards", 64)
    _check_shard_count(tmp_path / "shards", 64)
    with pytest.raises(ConfigError, match=r"fleet.shards.count: 128; expected 64, the count recorded in .*shards: "):
        _check_shard_count(tmp_path / "shards", 128)
    (tmp_path / "shards").write_text("many")
    with pytest.raises(ConfigError, match="expected the number of shards"):
        _check_shard_count(tmp_path / "shards", 64)


def test_without_shards_nothing_of_them_is_imported() -> None:
    """Guards the start-up cost and dependencies of a courier without a fleet."""
    code = ("import sys, wheelstep.courier.__main__; "
            "print([name for name in sys.modules if name.startswith(('wheelstep.shards', 'wheelstep.forwarding', "
            "'wheelstep.fleet', 'msgspec', 'xxhash'))])")
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
