"""The capacity page is what its command computes from the result files, and the laws of slopes are told apart."""

from __future__ import annotations

import json
import random
import shutil
from pathlib import Path
from typing import Any

import pytest

from benchmarks import capacity
from benchmarks.page.results import NOT_MEASURED, Results
from benchmarks.slopes import LAWS, fit

VARIABLES = ("couriers", "destinations", "held", "parts", "shards", "zones", "changes_per_s")
SIZES = {"destinations": (1_000, 4_000, 14_000, 50_000, 140_000), "couriers": (100, 300, 600, 1_100)}


def test_the_page_matches_the_result_files() -> None:
    assert capacity.PAGE.read_text() == capacity.page(capacity.FILES), "python benchmarks/capacity.py writes it again"


def test_check_fails_if_a_figure_in_the_page_is_changed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("sys.argv", ["capacity.py", "--check"])
    monkeypatch.setattr(capacity, "ROOT", tmp_path)
    monkeypatch.setattr(capacity, "PAGE", tmp_path / "CAPACITY.md")
    text = capacity.page(capacity.FILES)
    assert " 521 MB" in text or " MB" in text
    for current, code in ((text, 0), (text.replace(" MB", "0 MB", 1), 1), (text + "| 1 |\n", 1), ("", 1)):
        capacity.PAGE.write_text(current)
        assert capacity.main() == code
        assert capacity.PAGE.read_text() == current  # --check writes nothing


def double_figures(value: Any) -> Any:
    """Return the value with each measured figure doubled, and the sizes that were given unchanged."""
    if isinstance(value, dict):
        return {key: one if key in VARIABLES else double_figures(one) for key, one in value.items()}
    if isinstance(value, list):
        return [double_figures(one) for one in value]
    return value * 2 if isinstance(value, int | float) and not isinstance(value, bool) else value


def test_a_figure_changed_in_a_result_file_changes_the_page(tmp_path: Path) -> None:
    results = Results(capacity.FILES)
    for section in capacity.SECTIONS:
        section(results)
    assert results.used
    page = capacity.page(capacity.FILES)
    for name in results.used:
        folder = tmp_path / name
        shutil.copytree(capacity.FILES, folder)
        one = json.loads((folder / f"{name}.json").read_text())
        for part in ("rows", "quiet", "faults"):
            one[part] = double_figures(one.get(part, {}))
        (folder / f"{name}.json").write_text(json.dumps(one))
        assert capacity.page(folder) != page, name


def test_rows_without_a_run_say_not_measured(tmp_path: Path) -> None:
    shutil.copy(capacity.FILES / "stated.json", tmp_path)
    bare = capacity.page(tmp_path)
    assert "within |" not in bare and "OVER BUDGET" not in bare
    rows = [line for line in bare.split("## 2.")[1].split("## 7.")[0].splitlines() if line.startswith("| ")]
    heads = ("| what |", "| by |", "| ---", "| couriers |", "| failure |")
    measured = [line for line in rows if not line.startswith(heads)]
    assert len(measured) > 30
    for line in measured:
        if "| one in" not in line:  # computed from stated values alone
            assert NOT_MEASURED in line, line
    full = capacity.page(capacity.FILES)
    assert full.count(NOT_MEASURED) < bare.count(NOT_MEASURED)


def scale_run(hollow: int, undivided: bool, memory: float) -> dict[str, Any]:
    """Return a scale run's result, with the fields that the page reads."""
    idle = {"seconds": 20, "hollow": {
        "memory_bytes": memory, "cpu_us_per_s": 20_000, "membership_bytes_sent_per_s": 900, "packets_sent_per_s": 9,
        "list_bytes_sent_per_s": 50, "peer_bytes_dialled_here_per_s": 250, "membership_bytes_received_per_s": 13_000,
        "list_bytes_received_per_s": 70, "shards_busiest_over_mean": 1.25}}
    calls = {"hollow_calls_to_down_10_s_share": 0.0003, "hollow_handshakes_per_message": 0.04, "handed_in": 500}
    taken = {"handed_in": 1_000, "answers_503": 5, "answers_none": 40}
    fault = {"fault": "zone", "couriers": 183, "calls": taken, "nodes": {"message guest": 120},
             "homes_steady_s": 17.0, "flood": {"most_packets_per_s_over_usual": 6.5}}
    return {"what": "scale_run", "commit": "c", "machine": {"cores": 8}, "seed": 1, "load": {"start": 1, "end": 2},
            "parameters": {"hollow": hollow, "real": 0, "destinations": 140_000, "undivided": undivided, "hosts": 2,
                           "down_share": 0.01, "down_s": 40.0, "rate": 0.01},
            "start": {"host_memory_bytes_empty": hollow * 500_000},
            "quiet": {"idle": idle, "dense": {"calls": calls, "hollow": {}, "seconds": 20}},
            "faults": [] if undivided else [fault],
            "checks": {"followed": {"lost": 0, "doubled": 3}, "hollow_taken": 77, "hollow_without_end": 0}}


def test_scale_runs_are_compared_with_the_budgets(tmp_path: Path) -> None:
    shutil.copy(capacity.FILES / "stated.json", tmp_path)
    for name, run in (("scale-1", scale_run(1_084, False, 30e6)), ("scale-2", scale_run(1_100, True, 512e6)),
                      ("scale-3", scale_run(300, False, 23e6))):
        (tmp_path / f"{name}.json").write_text(json.dumps(run))
    page = capacity.page(tmp_path)
    lines = {line.split(" |")[0].strip("| "): line for line in page.splitlines() if line.startswith("| ")}
    memory = lines["all control together, idle: memory"]
    assert "| 29 MB |" in memory and "within" in memory
    assert "| 2% |" in lines["all control together, idle: processor time"]
    assert "| 1.2 KB/s |" in lines["all control together, idle: bytes sent"]
    assert "**OVER BUDGET by 1.1 times**" in lines["all control together, idle: bytes received"]
    assert "| 1,100 | 140,000 | **511 MB** | 29 MB |" in page and "| 300 | 140,000 | not measured | 22 MB |" in page
    assert "1.2 KB/s / **13.1 KB/s** |" in page
    assert "| 4% | under 5% |" in page  # 0.03% of calls, where 0.75% would go there without knowledge
    assert "| 0.04 | under 0.1 |" in page and "| 1.25 | at most 1.3 |" in page
    assert "| zone | 183 | not measured |" in lines["zone"] and "| 17 s |" in lines["zone"]
    assert "| 0.5% / 4% | 12% |" in lines["zone"]
    assert "| 6.5 / - / - / - | `scale-1` |" in lines["zone"]
    assert "0 were lost and 3 doubled" in page and "77 messages 0 have no end" in page


@pytest.mark.parametrize("sizes", SIZES)
@pytest.mark.parametrize("law", LAWS)
def test_fit_recovers_a_known_law_under_noise(law: str, sizes: str) -> None:
    largest, found = max(SIZES[sizes]), []
    for seed in range(100):
        rng = random.Random(seed)
        coefficient = 0.0 if law == "constant" else rng.uniform(1, 9) / LAWS[law](largest)
        intercept = rng.uniform(1, 9) if law == "constant" else 0.01
        points = [(n, (intercept + coefficient * LAWS[law](n)) * rng.uniform(0.98, 1.02)) for n in SIZES[sizes]]
        fitted = fit(points)
        found.append(fitted.law)
        predicted = fitted.value(2 * largest)
        assert predicted is not None and fitted.residual < 0.1
        if fitted.law == law:
            assert predicted == pytest.approx(intercept + coefficient * LAWS[law](2 * largest), rel=0.1)
    assert found.count(law) >= 95, found


def test_fit_rejects_too_few_sizes_and_zeros_and_finds_no_law_in_scatter() -> None:
    with pytest.raises(ValueError, match="3 sizes"):
        fit([(1, 1), (2, 2), (3, 3), (3, 3.1)])
    with pytest.raises(ValueError, match="not above 0"):
        fit([(1, 0), (2, 2), (3, 3), (4, 4)])
    scattered = fit([(100, 1), (300, 1), (600, 90), (1_100, 4)])
    assert scattered.law == "none" and scattered.value(2_000) is None and scattered.residual > 0.25
