"""During an upgrade the old process says yes to `exclude`, and the courier goes on sending to that endpoint."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CannotRunError, Scene, play, settings  # noqa: E402

GRACE_S, SLACK_S = 0.25, 0.05  # settings.rules.drain_grace_us, and 50 ms more on sockets
RATE_S = 0.1  # between two messages
SIGTERM_AFTER_S = 2.0  # from the new process's yes; the platform asks every 1 to 2 s (DAYS)


async def case(scene: Scene, trouble: bool) -> list[str]:
    """Play the case and return the breaches of 'Drains are kept'."""
    scene.endpoint("e1", 1, "courier")
    scene.endpoint("e2", 2)
    out = scene.endpoint("e3", 2)
    await scene.open()
    first = scene.courier()
    first.write_config(settings())
    await first.start()
    await first.wait_yes()
    handed: list[asyncio.Task[object]] = []

    async def traffic() -> None:
        for number in range(10_000):
            fee = number % 4 == 0
            handed.append(asyncio.create_task(scene.client.hand_in(
                *(("return-fee", 1) if fee else ("item-status", 2)), key="" if fee else f"{number:016x}",
                token=not fee)))
            await asyncio.sleep(RATE_S)
    sending = asyncio.create_task(traffic())
    await asyncio.sleep(2.0)
    if trouble:
        second = scene.courier()
        second.write_config(settings())
        await second.begin()
        await second.wait_yes()
    reply = await first.call("exclude e3")
    said_at = scene.record.now()
    if not reply or not trouble and not reply.startswith("+OK"):
        raise CannotRunError(f"exclude was answered {reply!r}")
    await asyncio.sleep(SIGTERM_AFTER_S)
    if trouble:
        await first.end()
    await asyncio.sleep(4.0)
    sending.cancel()
    await asyncio.gather(*handed)
    if not reply.startswith("+OK"):
        return []  # a no binds nobody
    return [f"the courier said {reply!r} at {said_at:.2f} s; a call of {call.ids[0]} began at {call.first_at:.2f} s"
            for call in out.calls if call.first_at > said_at + GRACE_S + SLACK_S]


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
