"""`docs/CAPACITY.md`, computed from the result files in `benchmarks/results/`: written, or compared with what is there.

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
from benchmarks.page.verdicts import again, over  # noqa: E402

PAGE = ROOT / "docs" / "CAPACITY.md"
FILES = ROOT / "benchmarks" / "results"
HEAD = """# Capacity

What this program needs at the size that the operators expect, where it is over what they allow, and the runs that say
so. All figures and tables are computed by `python benchmarks/capacity.py` from the files in `benchmarks/results/`; a
test compares. Change the runs, not the page. Slopes are fitted over four sizes or more, others held: constant, log n,
linear, n log n and quadratic are told apart by residual (`benchmarks/slopes.py` states the rule)."""
SECTIONS = (size, roles, laws, membership, compare, failures, backlog, changes, over, again)


def page(folder: Path) -> str:
    """The whole page from the result files of a folder."""
    results = Results(folder)
    return "\n\n".join([HEAD, *(section(results) for section in SECTIONS)]) + "\n"


def main() -> int:
    """Write the page; with `--check`, say whether it is as the files give it."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--check", action="store_true", help="write nothing; 1 where page and files differ")
    args = parser.parse_args()
    text = page(FILES)
    if not args.check:
        PAGE.write_text(text)
        print(f"{PAGE.relative_to(ROOT)}: {len(text.splitlines())} lines")
        return 0
    there = PAGE.read_text() if PAGE.exists() else ""
    for number, (is_there, wanted) in enumerate(zip(there.splitlines(), text.splitlines(), strict=False), 1):
        if is_there != wanted:
            print(f"{PAGE.relative_to(ROOT)}:{number}: {is_there!r:.160}\n  expected {wanted!r:.160}")
            break
    print("as the files give it" if there == text else "differs: python benchmarks/capacity.py writes it anew")
    return int(there != text)


if __name__ == "__main__":
    sys.exit(main())
