"""Checks whether a server listens."""

import asyncio

from oleanderpier.utils import Timers, limit_time

__all__ = ["refuses_connections"]

CHECK_TIMEOUT_S = 0.3


async def refuses_connections(address: str, timers: Timers) -> bool:
    """Return whether nothing listens at an address.

    A server that is silent or out of reach does not count.

    Args:
        address: ``IP:PORT``, with an IPv6 address in brackets.
        timers: The timer service.
    """
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        async with limit_time(timers, CHECK_TIMEOUT_S):
            transport, _ = await asyncio.get_running_loop().create_connection(
                asyncio.Protocol, host, int(port)
            )
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError):
        return False
    transport.close()
    return False
