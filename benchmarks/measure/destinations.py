"""What destinations cost a courier that has all of them: the list read as discovery writes it (compact and indented),
and the module's memory and time in one turn, for lists of several sizes.

    python -m benchmarks.measure.destinations
"""

from __future__ import annotations

import gc
import json
import multiprocessing
import tempfile
import time
from pathlib import Path

from benchmarks.measure.result import Row, measure, peak, resident
from wheelstep import Sender, Settings
from wheelstep import interface as api
from wheelstep.courier.config import Names
from wheelstep.courier.listing import ListParser, entries

S = 1_000_000
CLASSES = (api.MessageClass(2 * S, 60 * S, api.Effect.KEYED, 1.0, 0.5, 15 * S),)
NAMES = Names(("m",), ("m2",), ("a",), ())
SIZES = (250, 1_000, 4_000, 14_000, 50_000, 140_000)
READ = 65_536  # bytes at a time, as a socket brings them


def write_list(path: Path, destinations: int, form: str) -> None:
    """A whole list with one entry a destination."""
    rows = [{"host": f"s-{one:08x}", "dial": f"10.1.{one >> 8 & 255}.{one & 255}:7070", "site": "a", "class": "m2",
             "block": one, "health": "SERVING", "share": 1.0, "born_ms": 0} for one in range(destinations)]
    whole = {"seq": 1, "whole": True, "hosts": rows}
    text = json.dumps(whole, separators=(",", ":")) if form == "compact" else json.dumps(whole, indent=2)
    path.write_bytes(text.encode() + b"\n")


def read_list(path: Path) -> tuple[int, float]:
    """Entries read, and seconds of processor time for it."""
    listing, began, found = ListParser(), time.process_time(), 0
    with path.open("rb") as file:
        while data := file.read(READ):
            for whole in listing.feed(data):
                found += len(entries(whole, NAMES)) if whole else 0
    return found, time.process_time() - began


def case(destinations: int, part: str) -> Row:
    """`part`: "module", "compact" or "indented" (the list)."""
    if part == "module":
        infos = tuple(api.EndpointInfo(f"s-{number:08x}", number) for number in range(destinations))
        sender = Sender(Settings(CLASSES, slots=64, hold_limit=1 << 30, may_probe=True), 1)
        gc.collect()
        base, began = resident(), time.process_time()
        sender.handle(0, [api.MembershipReceived(api.ListKind.WHOLE, infos)])
        row = {"turn_s": time.process_time() - began, "memory_mb": (resident() - base) / 1e6}
        began = time.process_time()
        sender.handle(1_000, [api.MembershipReceived(api.ListKind.WHOLE, infos)])
        return {**row, "again_s": time.process_time() - began}
    with tempfile.TemporaryDirectory(prefix="list-") as folder:
        path = Path(folder) / "list"
        writer = multiprocessing.get_context("fork").Process(target=write_list, args=(path, destinations, part))
        writer.start()
        writer.join()
        base = resident()
        found, took_s = read_list(path)
        return {"file_mb": path.stat().st_size / 1e6, "entries": found, "read_s": took_s,
                "memory_mb": (peak() - base) / 1e6}


if __name__ == "__main__":
    measure("before-destinations", "destinations", __doc__,
            [{"destinations": count, "part": part} for part in ("compact", "indented", "module") for count in SIZES],
            case, {"endpoints": 1, "slots": 64})
