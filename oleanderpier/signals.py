"""Signals that arrive while a program starts or ends."""

import asyncio
import signal

__all__ = ["hold_signals", "ignore_signals", "release_signals"]

HELD_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def hold_signals() -> None:
    """Let signals wait until ``release_signals`` is called.

    Importing the program takes longer than anything else at the start. Without this,
    a signal in that time ends the process, even one that only asks for a reload.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD_SIGNALS)


def release_signals() -> None:
    """Deliver the signals that wait, after their handlers have been installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD_SIGNALS)


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore further signals until the process has ended.

    The event loop removes its handlers when it is closed, and the interpreter needs
    longer to end. Without this, a signal in that time ends the process with another
    status than 0. Blocking them would not help: other threads would get them.

    Args:
        loop: The event loop that handles the signals.
    """
    for signal_number in HELD_SIGNALS:
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)
