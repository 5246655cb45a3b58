"""A new configuration and a new version together: fees of the old rules are sent again although they may have run."""

from __future__ import annotations

import asyncio
import copy
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import RESET, Answer, Call, CannotRunError, Scene, play, settings  # noqa: E402

NAMED_S = 1.2  # from SIGHUP on clients name the new class, and its rules bind (DAYS)
SLACK_S = 0.05
RATE_S = 0.05  # between two fees
RESETS = 4  # connections that are reset under requests that have begun, from when the new process says yes


async def case(scene: Scene, trouble: bool) -> list[str]:
    """Play the case and return the breaches of 'No effect happens twice'."""
    partner = scene.endpoint("e1", 1, "courier", 0.1)
    other = scene.endpoint("e2", 2)
    resets_left = 0

    async def behave(call: Call) -> Answer:
        nonlocal resets_left
        resets = resets_left > 0
        resets_left -= resets
        answer = await partner.fine(call)  # it runs in any case
        return RESET if resets else answer
    partner.behave = behave
    await scene.open()
    assert other.block == 2
    before, after = settings(), copy.deepcopy(settings())
    after["services"][1].update(effect="by_key", key_ttl_us=15_000_000)
    first = scene.courier()
    first.write_config(before)
    await first.start()
    await first.wait_yes()
    await asyncio.sleep(1.5)  # no SIGHUP in a process's first second
    for _ in range(20):
        await scene.client.hand_in("return-fee", 1)

    second = scene.courier()
    second.write_config(after)
    if trouble:
        await second.begin()
        await asyncio.sleep(first.startup_s / 2)  # the new process is still starting: the old one has not been asked
    first.send(signal.SIGHUP)
    sighup_at = scene.record.now()

    async def trouble_begins() -> None:
        nonlocal resets_left
        if trouble:
            await second.wait_yes()
        else:
            await asyncio.sleep(0.6)
        resets_left = RESETS
    begins = asyncio.create_task(trouble_begins())
    handed: list[asyncio.Task[object]] = []
    while scene.record.now() < sighup_at + NAMED_S - 0.1:  # no key: the class that clients know is not keyed
        handed.append(asyncio.create_task(scene.client.hand_in("return-fee", 1)))
        await asyncio.sleep(RATE_S)
    await asyncio.gather(begins, *handed)
    if trouble:
        await first.end()
    await asyncio.sleep(15)
    if not any(row["what"] == "reset" for row in scene.record.rows):
        raise CannotRunError("no connection was reset before clients named the new class")
    return breaches(scene, sighup_at)


def breaches(scene: Scene, sighup_at: float) -> list[str]:
    """Return the unsafe messages that were sent again although an earlier call may have run."""
    found = []
    for one in scene.client.handed.values():
        if one.sent_at >= sighup_at + NAMED_S:
            continue
        calls = [row for row in scene.record.rows if row["what"] == "call" and one.name in row["ids"]]
        if len(calls) > 1:  # no call of this case was answered 429 or 503, or ended before its last byte
            sent = ", ".join(f"{row['t']:.2f}" for row in calls)
            found.append(f"{one.name} (return-fee, once) was handed in {one.sent_at - sighup_at:+.2f} s from SIGHUP, "
                         f"sent at {sent} s, and ran {len(scene.runs(one.name))} times")
    return found


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
