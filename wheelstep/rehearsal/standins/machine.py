"""What the system tells of processes and ports."""

from __future__ import annotations

import socket
from pathlib import Path


def children(pid: int) -> list[int]:
    """The processes whose parent it is."""
    found = []
    for path in Path("/proc").glob("[0-9]*"):
        try:
            parent = int((path / "stat").read_text().rpartition(")")[2].split()[1])
            if parent == pid:
                found.append(((path / "cmdline").read_bytes(), int(path.name)))
        except (OSError, ValueError, IndexError):
            continue  # it has ended meanwhile
    return [child for _, child in sorted(found)]


def waited_us(pid: int) -> int | None:
    """How long a process's main thread has stood in line for a core so far; None where that is not told."""
    try:
        text = Path(f"/proc/{pid}/schedstat").read_text()
        return int(text.split()[1]) // 1000
    except (OSError, ValueError, IndexError):
        return None


def free(port: int) -> bool:
    """Can it be bound on 127.0.0.1?"""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as trial:
        trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            trial.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
