"""Measures what destinations cost a courier that has all of them, for lists of several sizes: reading the list as
discovery writes it (compact and indented), and the decision module's memory and time for one decision.

    python -m benchmarks.measure.destinations
"""

from __future__ import annotations

import gc
import json
import multiprocessing
import tempfile
import time
from pathlib import Path

from benchmarks.measure.result import Row, peak_resident_bytes, resident_bytes, run_cases
from wheelstep import Sender, Settings
from wheelstep import interface as api
from wheelstep.courier.config import Names
from wheelstep.courier.listing import ListParser, entries

S = 1_000_000
CLASSES = (api.MessageClass(2 * S, 60 * S, api.Effect.KEYED, 1.0, 0.5, 15 * S),)
NAMES = Names(("m",), ("m2",), ("a",), ())
SIZES = (250, 1_000, 4_000, 14_000, 50_000, 140_000)
READ_BYTES = 65_536  # at a time, as from a socket


def write_list(path: Path, destinations: int, form: str) -> None:
    """Write a whole list with one entry for each destination; `form` is "compact" or "indented"."""
    rows = [{"host": f"s-{one:08x}", "dial": f"10.1.{one >> 8 & 255}.{one & 255}:7070", "site": "a", "class": "m2",
             "block": one, "health": "SERVING", "share": 1.0, "born_ms": 0} for one in range(destinations)]
    whole = {"seq": 1, "whole": True, "hosts": rows}
    text = json.dumps(whole, separators=(",", ":")) if form == "compact" else json.dumps(whole, indent=2)
    path.write_bytes(text.encode() + b"\n")


def read_list(path: Path) -> tuple[int, float]:
    """Read the list and return the number of entries, and the processor time in seconds."""
    listing, began, found = ListParser(), time.process_time(), 0
    with path.open("rb") as file:
        while data := file.read(READ_BYTES):
            for whole in listing.feed(data):
                found += len(entries(whole, NAMES)) if whole else 0
    return found, time.process_time() - began


def measure_case(destinations: int, part: str) -> Row:
    """Measure the decision module (`part` is "module") or reading the list ("compact" or "indented")."""
    if part == "module":
        infos = tuple(api.EndpointInfo(f"s-{number:08x}", number) for number in range(destinations))
        sender = Sender(Settings(CLASSES, slots=64, hold_limit=1 << 30, may_probe=True), 1)
        gc.collect()
        base, began = resident_bytes(), time.process_time()
        sender.handle(0, [api.MembershipReceived(api.ListKind.WHOLE, infos)])
        row = {"turn_s": time.process_time() - began, "memory_mb": (resident_bytes() - base) / 1e6}
        began = time.process_time()
        sender.handle(1_000, [api.MembershipReceived(api.ListKind.WHOLE, infos)])
        return {**row, "again_s": time.process_time() - began}
    with tempfile.TemporaryDirectory(prefix="list-") as folder:
        path = Path(folder) / "list"
        writer = multiprocessing.get_context("fork").Process(target=write_list, args=(path, destinations, part))
        writer.start()
        writer.join()
        base = resident_bytes()
        found, took_s = read_list(path)
        return {"file_mb": path.stat().st_size / 1e6, "entries": found, "read_s": took_s,
                "memory_mb": (peak_resident_bytes() - base) / 1e6}


if __name__ == "__main__":
    run_cases("before-destinations", "destinations", __doc__,
              [{"destinations": count, "part": part} for part in ("compact", "indented", "module") for count in SIZES],
              measure_case, {"endpoints": 1, "slots": 64})
