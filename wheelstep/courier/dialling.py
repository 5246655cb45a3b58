"""Opens connections to endpoints, with retries while this machine lacks a resource."""

from __future__ import annotations

import asyncio
import ipaddress
import socket
from collections.abc import Callable
from typing import TypeVar

from wheelstep.courier.call_errors import ConnectionBrokenError, LocalResourceError
from wheelstep.courier.config import Address
from wheelstep.courier.connection import Connection
from wheelstep.courier.local_errors import LOCAL_ERRORS, SHORTAGE
from wheelstep.courier.reliable_socket import create_socket

Opened = TypeVar("Opened", bound=asyncio.BaseProtocol)

LOCAL_RETRY_S = 0.02
"""Between two attempts to connect while this machine refuses."""


async def dial(address: Address, timeout_s: float) -> Connection:
    """Open a connection, with retries while this machine refuses. Raise `LocalResourceError` if it refused until
    the time limit, and `ConnectionBrokenError` for any other failure."""
    refused: OSError | None = None
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                try:
                    return await connect(address, Connection)
                except OSError as error:
                    if error.errno not in LOCAL_ERRORS:
                        raise ConnectionBrokenError(f"connect to {address.host}:{address.port}: {error}") from error
                    refused = error
                await asyncio.sleep(LOCAL_RETRY_S)
    except TimeoutError as error:
        if refused is not None and refused.errno in SHORTAGE:
            raise LocalResourceError(f"connect to {address.host}:{address.port}: {refused}") from error
        raise ConnectionBrokenError(f"connect to {address.host}:{address.port}: not done in {timeout_s} s") from error


async def connect(address: Address, protocol: Callable[[], Opened]) -> Opened:
    """Open a connection and return its protocol. Raises `OSError`; there is no time limit."""
    loop = asyncio.get_running_loop()
    try:
        family = socket.AF_INET6 if ipaddress.ip_address(address.host).version == 6 else socket.AF_INET
    except ValueError:  # a name, which may have several addresses
        return (await loop.create_connection(protocol, address.host, address.port))[1]
    connected = create_socket(family)
    try:
        await loop.sock_connect(connected, (address.host, address.port))
        return (await loop.create_connection(protocol, sock=connected))[1]
    except BaseException:
        connected.close()
        raise
