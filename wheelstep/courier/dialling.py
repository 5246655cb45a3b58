"""New connections to endpoints, also while this machine is short of something for a moment."""

from __future__ import annotations

import asyncio
import errno

from wheelstep.courier.call_errors import BrokenError, LocalError
from wheelstep.courier.config import Address
from wheelstep.courier.connection import Connection

# What `socket` and `connect` say where this machine is short of something (socket(2), connect(2)).
_SHORTAGE = frozenset({errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# The same for a moment, or the endpoint's network is gone.
_NO_ROUTE = frozenset({errno.ENETDOWN, errno.ENETUNREACH})
_AGAIN_S = 0.02


async def dial(address: Address, within_s: float) -> Connection:
    """Connect, again and again where this machine refuses. Raises `LocalError` where it refused all the while, and
    `BrokenError` for any other failure."""
    refused: OSError | None = None
    try:
        async with asyncio.timeout(within_s):
            while True:
                try:
                    _, made = await asyncio.get_running_loop().create_connection(Connection, address.host, address.port)
                    return made
                except OSError as error:
                    if error.errno not in _SHORTAGE | _NO_ROUTE:
                        raise BrokenError(f"no connection: {error}") from error
                    refused = error
                await asyncio.sleep(_AGAIN_S)
    except TimeoutError as error:
        if refused is not None and refused.errno in _SHORTAGE:
            raise LocalError(f"no connection: {refused}") from error
        raise BrokenError("no connection in time") from error
