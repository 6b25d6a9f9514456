"""Time limits that follow the timer service."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from oleanderpier.utils.timers import Timers

__all__ = ["EndableLimits", "limit_time"]


@asynccontextmanager
async def limit_time(timers: Timers, limit_s: float | None) -> AsyncIterator[None]:
    """Cancel the body of an ``async with`` when its time is over.

    Args:
        timers: The timer service.
        limit_s: The limit in seconds; None for no limit.

    Raises:
        TimeoutError: The limit was exceeded.
    """
    if limit_s is None:
        yield
        return
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:
        timer = timers.call_later(limit_s, lambda: limit.reschedule(loop.time()))
        try:
            yield
        finally:
            timer.cancel()


class EndableLimits:
    """Time limits that can all be ended at once.

    Attributes:
        ended: Whether they were; then every new one is over at once.
    """

    def __init__(self) -> None:
        self.ended = False
        self._limits: set[asyncio.Timeout] = set()

    def end(self) -> None:
        """End every time limit now."""
        self.ended = True
        now_s = asyncio.get_running_loop().time()
        for limit in self._limits:
            if not limit.expired():
                limit.reschedule(now_s)

    @asynccontextmanager
    async def limit(self, limit_s: float | None) -> AsyncIterator[asyncio.Timeout]:
        """Cancel the body of an ``async with`` when its time is over.

        Args:
            limit_s: The limit in seconds; None for one that only ``end`` ends.

        Yields:
            The limit, which ``lift`` takes.

        Raises:
            TimeoutError: The limit was exceeded, or all limits were ended.
        """
        async with asyncio.timeout(0.0 if self.ended else limit_s) as limit:
            self._limits.add(limit)
            try:
                yield limit
            finally:
                self._limits.discard(limit)

    def lift(self, limit: asyncio.Timeout) -> None:
        """Let the body of a limit run on when the limits are ended."""
        self._limits.discard(limit)
