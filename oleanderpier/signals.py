"""Signals that arrive while a program starts."""

import signal

__all__ = ["hold_signals", "release_signals"]

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
