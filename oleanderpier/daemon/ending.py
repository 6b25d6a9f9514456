"""Ends what requests in progress wait for, when this host stops.

It answers this load pattern: a planned stop while requests need longer than the drain.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from oleanderpier.results import Code, Failure

__all__ = ["RequestEnd", "make_end_failure"]

RETRY_AFTER_S = 1.0


class RequestEnd:
    """The end of all requests in progress.

    Attributes:
        reached: Whether the requests have to end.
    """

    def __init__(self) -> None:
        self.reached = False
        self._limits: set[asyncio.Timeout] = set()

    @asynccontextmanager
    async def limit(self) -> AsyncIterator[asyncio.Timeout]:
        """Cancel the body of an ``async with`` when requests have to end.

        Yields:
            The limit, which ``lift`` takes.

        Raises:
            TimeoutError: The requests have to end.
        """
        async with asyncio.timeout(0.0 if self.reached else None) as limit:
            self._limits.add(limit)
            try:
                yield limit
            finally:
                self._limits.discard(limit)

    def lift(self, limit: asyncio.Timeout) -> None:
        """Let the body of a limit run on when requests have to end."""
        self._limits.discard(limit)

    def reach(self) -> None:
        """End all bodies, now and from now on."""
        self.reached = True
        now_s = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now_s)


def make_end_failure(may_have_run: bool) -> Failure:
    """Return the failure of a request that this host ends as it stops.

    Args:
        may_have_run: Whether the request may have been sent.
    """
    if may_have_run:
        return Failure(Code.ANSWER_LOST, "this host stops", RETRY_AFTER_S)
    return Failure(Code.HOST_LEAVING, "", 0.0)
