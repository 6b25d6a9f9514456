"""Signals to a process, also to slow it down from outside."""

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable
from pathlib import Path

__all__ = ["send_signal", "slow_process", "wait_for_interpreter"]

# The longest wait for the start of the interpreter.
INTERPRETER_START_S = 2.0
INTERPRETER_POLL_S = 0.002
# Signals that a process blocks, ignores or catches, as lines of its status.
_DISPOSITIONS = ("SigBlk:", "SigIgn:", "SigCgt:")
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


async def wait_for_interpreter(process: asyncio.subprocess.Process) -> None:
    """Wait until a process has changed what SIGTERM does to it.

    Before that the interpreter itself starts, and any signal ends the process, which
    then has not begun to serve.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(INTERPRETER_START_S):
            while process.returncode is None and not _handles_termination(process.pid):
                await asyncio.sleep(INTERPRETER_POLL_S)


def _handles_termination(pid: int) -> bool:
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        # It has ended, and its status is about to be recorded.
        return False
    masks = [int(line.split()[1], 16) for line in lines if line[:7] in _DISPOSITIONS]
    return any(mask >> (signal.SIGTERM - 1) & 1 for mask in masks)
