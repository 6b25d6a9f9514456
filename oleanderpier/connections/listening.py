"""Checks whether a server listens."""

import asyncio
from enum import Enum

from oleanderpier.utils import Timers, limit_time

__all__ = ["Listening", "check_listening", "refuses_connections"]

CHECK_TIMEOUT_S = 0.3


class Listening(Enum):
    """Whether a server listens.

    Attributes:
        YES: A connection was established, or reset.
        NO: The connection was refused.
        UNKNOWN: There was no reply, or there is no way to the server.
    """

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


async def check_listening(address: str, timers: Timers) -> Listening:
    """Return whether a server listens at an address.

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
        return Listening.NO
    except ConnectionResetError:
        return Listening.YES
    except (OSError, ValueError):
        return Listening.UNKNOWN
    transport.close()
    return Listening.YES


async def refuses_connections(address: str, timers: Timers) -> bool:
    """Return whether nothing listens at an address.

    A server that is silent or out of reach does not count; see ``check_listening``.
    """
    return await check_listening(address, timers) is Listening.NO
