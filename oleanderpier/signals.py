"""Signals that arrive while a program starts or ends."""

import asyncio
import contextlib
import signal

__all__ = [
    "hold_signals",
    "ignore_signals",
    "release_signals",
    "start_worker_threads",
]

HELD_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def hold_signals() -> None:
    """Let signals wait until ``release_signals`` is called.

    Importing the program takes longer than anything else at the start. Without this,
    a signal in that time ends the process, even one that only asks for a reload.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD_SIGNALS)


async def start_worker_threads() -> None:
    """Start the event loop's threads while signals are held.

    They inherit the mask of the thread that starts them, so that only the main thread
    gets signals later. The loop starts all of them for its first name look-up.
    """
    with contextlib.suppress(OSError):
        # A name of type str would load the tables of international domain names.
        await asyncio.get_running_loop().getaddrinfo(b"localhost", None)


def release_signals() -> None:
    """Deliver the signals that wait, after their handlers have been installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD_SIGNALS)


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore further signals until the process has ended.

    The event loop removes its handlers when it is closed, and the interpreter needs
    longer to end. Without this, a signal in that time ends the process with another
    status than 0. They are blocked while the handlers are replaced, since the default
    action holds in between; see ``start_worker_threads`` for the other threads.

    Args:
        loop: The event loop that handles the signals.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD_SIGNALS)
    for signal_number in HELD_SIGNALS:
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)
