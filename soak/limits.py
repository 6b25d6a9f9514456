"""Servers that name a limit on the requests per second that they take."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from standins.backend_server import LIMIT_HEADER, StandInServer

__all__ = ["LIMIT_PER_S", "NamedLimit", "ServerLimits"]

LIMIT_PER_S = 0.5
# Added to the duration of a fault, as the hosts' bound begins some seconds after the
# server has first named its limit.
MIN_DURATION_S = 6.0


class NamedLimit(NamedTuple):
    """A time for which a server named a limit.

    Attributes:
        server: Id of the server.
        began_s: Since when it did so, in seconds since the start of the callers.
        ended_s: Until when.
    """

    server: str
    began_s: float
    ended_s: float


class ServerLimits:
    """Lets servers name a limit.

    Args:
        get_elapsed_s: Returns the seconds since the start of the callers.

    Attributes:
        named: The limits that are over, in the order of their ends.
    """

    def __init__(self, get_elapsed_s: Callable[[], float]) -> None:
        self.named: list[NamedLimit] = []
        self._get_elapsed_s = get_elapsed_s

    async def run(self, server: StandInServer, for_s: float) -> None:
        """Let a server name a limit for some seconds, unless it names one already."""
        if LIMIT_HEADER in server.response_headers:
            return
        server.response_headers[LIMIT_HEADER] = str(LIMIT_PER_S)
        began_s = self._get_elapsed_s()
        await asyncio.sleep(MIN_DURATION_S + for_s)
        del server.response_headers[LIMIT_HEADER]
        limit = NamedLimit(server.instance_id, began_s, self._get_elapsed_s())
        self.named.append(limit)
