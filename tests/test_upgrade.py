"""A new version under load: everything goes over to it, and no message is lost, doubled or overtaken."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
from loopback import LIMIT_S, Call, Courier, Reply, Scene, run


@contextlib.asynccontextmanager
async def upgraded(scene: Scene) -> AsyncIterator[Courier]:
    """The successor, once it serves; the process before it is still there."""
    after = scene.courier.successor()
    await after.begin()
    try:
        after.address = scene.courier.address
        await after.wait_ready()
        yield after
    finally:
        if after.process.returncode is None:
            await after.kill()


def test_a_kept_connection_goes_on_and_a_call_that_is_out_is_not_made_again(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s:
            answer = asyncio.Event()

            async def late(call: Call) -> Reply | None:
                await answer.wait()
                return 200, {}, b""
            s.endpoint.reply = late
            async with aiohttp.ClientSession() as http:
                async def ask(name: str) -> int:
                    headers = {"X-Request-Id": name, "X-Class": "once", "X-Deadline-Ms": "20000",
                               "X-Consignee": "dest=7"}
                    async with http.post(f"http://{s.courier.address}/api", data=b"x", headers=headers) as heard:
                        return heard.status
                assert await ask("m1") == 202
                await s.endpoint.wait(1)
                async with upgraded(s) as after:
                    assert (await s.courier.call("readyz")).startswith("-ERR")
                    assert await ask("m2") == 202  # on the same connection
                    assert http.connector is not None and len(http.connector._conns) == 1  # type: ignore[attr-defined]
                    await s.endpoint.wait(2)
                    answer.set()
                    async with asyncio.timeout(LIMIT_S):
                        while (await after.figures())["passed.once"] < 2:
                            await asyncio.sleep(0.01)
                    assert await s.courier.terminate() == 0
                    assert [call.headers["x-request-id"] for call in s.endpoint.calls] == ["m1", "m2"]
                    assert (await after.figures())["in_progress"] == 0
                    assert await after.terminate() == 0
                    assert not any("Traceback" in line for line in [*after.log, *s.courier.log])
    run(scene())
