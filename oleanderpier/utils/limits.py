"""Time limits that follow the timer service."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from oleanderpier.utils.timers import Timers

__all__ = ["limit_time"]


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
