"""The page for new users, played word by word in a shell."""

from __future__ import annotations

import os
import re
import socket
import subprocess
import sys
from pathlib import Path

from loopback import ROOT

PAGE = ROOT / "docs" / "getting-started.md"


def test_the_page_is_true(tmp_path: Path) -> None:
    """Everything but the installation; clients' port is one that the system gives."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        port = found.getsockname()[1]
    blocks = re.findall(r"```sh\n(.*?)```", PAGE.read_text(), re.S)
    script = ["set -m"]
    for block in blocks:
        text = re.sub(r"pip install .*\n", "", block).replace(
            "umberchute init here", f"umberchute init here --listen 127.0.0.1:{port}").replace("8350", str(port))
        script += ["echo '=== block'", text]
        if "serve --config" in block:
            script.append(f"curl -s -f --retry 200 --retry-all-errors --retry-delay 0 --retry-max-time 20 -o /dev/null "
                          f"http://127.0.0.1:{port}/healthz; sleep 1")
    played = subprocess.run(
        ["bash", "-c", "\n".join(script) + "\nresult=$?\nkill $(jobs -p) 2>/dev/null\nexit $result"], cwd=tmp_path,
        capture_output=True, text=True, timeout=90,
        env={**os.environ, "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}"})
    said = played.stdout.split("=== block\n")[1:]
    assert played.returncode == 0, played.stdout + played.stderr
    assert "fine (standalone courier)" in said[0]
    assert "202 Accepted" in said[2] and '"end": "delivered"' in said[3] and '"message": "m1"' in said[3]
    assert said[4].count("202 Accepted") == 2
    assert '"end": "delivered"' in said[5] and '"message": "m2"' in said[5]
    assert "202 Accepted" in said[6] and re.search(r'"end": "(refused|failed)"', said[6])
    assert "alpha: first~m1, 5 bytes" in played.stdout and "beta: first~m2, 5 bytes" in played.stdout
    assert "Traceback" not in played.stderr
