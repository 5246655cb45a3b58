"""A new configuration and a new version together, and later a kill: what the new process has taken on is lost."""

from __future__ import annotations

import asyncio
import copy
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CannotRunError, Scene, play, settings  # noqa: E402

RATE_S = 0.1  # between two messages: 10 a second
CLUMP = 20  # messages for one partner at once, about as many as it takes in 3 s (BRIEF: in 1.1 to 3.4 s)
YES_ASKED_EVERY_S = 2.0  # the platform reads the second address every 1 to 2 s (DAYS); after a yes it sends SIGTERM
DEADLINE_MS = 28_000
SLACK_S = 0.35  # a message is lost 300 ms after its time is up, and each time limit is 50 ms longer


async def case(scene: Scene, trouble: bool) -> list[str]:
    """Play the case and return the breaches of 'No message is lost'."""
    partners = [scene.endpoint("e1", 1, "courier"), scene.endpoint("e2", 2), scene.endpoint("e3", 3),
                scene.endpoint("e4", 3)]
    lanes = asyncio.Semaphore(2)  # partner 1 serves two at once, 0.3 s each: some 7 a second

    async def two_at_once(call: object) -> object:
        async with lanes:
            return await partners[0].fine(call)  # type: ignore[arg-type]
    partners[0].behave = two_at_once  # type: ignore[assignment]
    partners[0].pace_s = 0.3
    await scene.open()
    before, after = settings(), copy.deepcopy(settings())
    after["caps"]["most_tries"] = 10
    first = scene.courier()
    first.write_config(before)
    await first.start()
    await first.wait_yes()
    handed: list[asyncio.Task[object]] = []

    async def traffic() -> None:
        for number in range(10_000):
            fee = number % 4 == 0
            handed.append(asyncio.create_task(scene.client.hand_in(
                *(("return-fee", 1) if fee else ("item-status", 2 + number % 2)), key="" if fee else f"{number:016x}",
                token=not fee, deadline_ms=DEADLINE_MS)))
            await asyncio.sleep(RATE_S)
    sending = asyncio.create_task(traffic())
    await asyncio.sleep(2.0)

    second = scene.courier()
    second.write_config(after if trouble else before)
    await second.begin()
    if trouble:  # the new configuration comes with the new version, which is still starting
        await asyncio.sleep(max(0.0, first.startup_s / 2 - 0.2))
        first.send(signal.SIGHUP)
    await asyncio.sleep(YES_ASKED_EVERY_S)
    while not (await second.call("readyz")).startswith("+OK"):
        await asyncio.sleep(YES_ASKED_EVERY_S)
    scene.record.add("yes", pid=second.process.pid)
    await first.end()

    await asyncio.sleep(1.0)
    handed += [asyncio.create_task(scene.client.hand_in("return-fee", 1, deadline_ms=DEADLINE_MS))
               for _ in range(CLUMP)]
    await asyncio.sleep(0.5)
    sending.cancel()
    await asyncio.gather(*handed)
    await second.kill()
    await asyncio.sleep(0.6)
    if not any(one.taken for one in scene.client.handed.values() if one.sent_at > scene.record.now() - 3.0):
        raise CannotRunError("the new process took nothing on")
    third = scene.courier()
    third.write_config(after if trouble else before)
    await third.start()
    killed_at = scene.record.now()
    until = max(one.due_at for one in scene.client.handed.values()) + SLACK_S + 0.5
    await asyncio.sleep(until - scene.record.now())
    return breaches(scene, killed_at)


def breaches(scene: Scene, ready_at: float) -> list[str]:
    """Return the messages that were taken on and have no end, and the unsafe ones that ran twice."""
    found = []
    for one in scene.client.handed.values():
        due = max(one.due_at + SLACK_S, ready_at + 1.5)
        ends = [at for at in (scene.delivered(one.name), *(at for at, _ in scene.agent.notices.get(one.name, ())))
                if at is not None]
        if one.taken and (not ends or min(ends) > due):
            found.append(f"{one.name} ({one.cls}) was taken on at {one.answered_at:.2f} s, with no end at {due:.2f} s")
        if one.cls == "return-fee" and len(scene.runs(one.name)) > 1:
            print(f"beside it: {one.name} ({one.cls}) ran {len(scene.runs(one.name))} times")
    return found


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
