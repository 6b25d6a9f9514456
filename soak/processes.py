"""Signals to a process, also to slow it down from outside."""

import asyncio
import os
import signal
from collections.abc import Callable

__all__ = ["send_signal", "slow_process"]

# A slow process runs for this long in each period, an eighth of it.
RUN_S = 0.01
PERIOD_S = 0.08


def send_signal(
    process: asyncio.subprocess.Process, signal_number: signal.Signals
) -> None:
    """Send a signal to a process unless it has ended.

    ``Process.send_signal`` would take the exit status of a process that has just ended
    from the event loop, which then reports 255.
    """
    if process.returncode is not None:
        return
    try:
        descriptor = os.pidfd_open(process.pid)
    except ProcessLookupError:
        # It has ended, and its status is about to be recorded.
        return
    try:
        signal.pidfd_send_signal(descriptor, signal_number)
    except ProcessLookupError:
        # It has ended meanwhile.
        return
    finally:
        os.close(descriptor)


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
