"""Parses the body of a bulk call, as an endpoint does. No I/O."""

from __future__ import annotations


def parse_bulk(body: bytes) -> list[tuple[str, str | None, bytes]]:
    """Return id, token and body of each message of a bulk call. Raises `ValueError` for a malformed body."""
    rows = []
    while body:
        line, separator, body = body.partition(b"\r\n")
        parts = line.decode("latin-1").split(" ")
        if not separator or len(parts) != 3 or not parts[2].isdigit():
            raise ValueError(f"no line with id, key and length: {line[:60]!r}")
        size = int(parts[2])
        if body[size:size + 2] != b"\r\n":
            raise ValueError(f"message {parts[0]} does not end where its length says")
        rows.append((parts[0], None if parts[1] == "-" else parts[1], body[:size]))
        body = body[size + 2:]
    return rows
