"""Limits of the module's text, and that the README's example runs."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_module_is_a_short_read() -> None:
    lines = (ROOT / "wheelstep" / "logic.py").read_text().splitlines()
    assert len([line for line in lines if line.strip()]) <= 1200
    assert max(map(len, lines)) <= 110
    assert "interface.py" in lines[0]


def test_the_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(blocks) == 1
    exec(compile(blocks[0], "README.md", "exec"), {})


def test_no_names_of_deployments_in_the_package() -> None:
    text = "".join(path.read_text().lower() for path in (ROOT / "wheelstep").rglob("*.py"))
    for name in ("hittegods", "tromso", "bergen", "gebyr", "nybygget", "return-fee"):
        assert name not in text
