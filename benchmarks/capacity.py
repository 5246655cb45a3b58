"""Computes `docs/CAPACITY.md` from the result files in `benchmarks/results/`, and writes it or compares it.

    python benchmarks/capacity.py [--check]
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from benchmarks.page.compare import compare  # noqa: E402
from benchmarks.page.failures import backlog, changes, failures  # noqa: E402
from benchmarks.page.laws import laws  # noqa: E402
from benchmarks.page.membership import membership  # noqa: E402
from benchmarks.page.results import Results  # noqa: E402
from benchmarks.page.size import roles, size  # noqa: E402
from benchmarks.page.verdicts import over_budget, reproduce  # noqa: E402

PAGE = ROOT / "docs" / "CAPACITY.md"
FILES = ROOT / "benchmarks" / "results"
HEAD = """# Capacity

What this program needs at the size that the operators expect, where it is over what they allow, and the runs that say
so. All figures and tables are computed by `python benchmarks/capacity.py` from the files in `benchmarks/results/`; a
test compares. Change the runs, not the page. Slopes are fitted over four sizes or more, others held: constant, log n,
linear, n log n and quadratic are told apart by residual (`benchmarks/slopes.py` states the rule)."""
SECTIONS = (size, roles, laws, membership, compare, failures, backlog, changes, over_budget, reproduce)


def page(folder: Path) -> str:
    """Return the text of the page from the result files in a folder."""
    results = Results(folder)
    return "\n\n".join([HEAD, *(section(results) for section in SECTIONS)]) + "\n"


def main() -> int:
    """Write the page, or compare it with the file under `--check` and return 1 if they differ."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--check", action="store_true",
                        help="write nothing; exit with 1 if the page differs from the result files")
    args = parser.parse_args()
    text = page(FILES)
    if not args.check:
        PAGE.write_text(text)
        print(f"{PAGE.relative_to(ROOT)}: {len(text.splitlines())} lines")
        return 0
    current = PAGE.read_text() if PAGE.exists() else ""
    for number, (line, expected) in enumerate(zip(current.splitlines(), text.splitlines(), strict=False), 1):
        if line != expected:
            print(f"{PAGE.relative_to(ROOT)}:{number}: {line!r:.160}\n  expected {expected!r:.160}")
            break
    print("the page matches the result files" if current == text
          else "the page differs from the result files: python benchmarks/capacity.py writes it again")
    return int(current != text)


if __name__ == "__main__":
    sys.exit(main())
