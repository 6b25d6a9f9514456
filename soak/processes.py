"""Slows down a process from outside."""

import asyncio
import signal
from collections.abc import Callable

__all__ = ["slow_process"]

# A slow process runs for this long in each period, an eighth of it.
RUN_S = 0.01
PERIOD_S = 0.08


async def slow_process(
    send_signal: Callable[[signal.Signals], None], for_s: float
) -> None:
    """Stop a process for most of each period.

    Args:
        send_signal: Sends it a signal.
        for_s: For how long, in seconds.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + for_s
    while loop.time() < end_s:
        send_signal(signal.SIGSTOP)
        await asyncio.sleep(PERIOD_S - RUN_S)
        send_signal(signal.SIGCONT)
        await asyncio.sleep(RUN_S)
