"""Entry points of commands whose start must not be ended by a signal."""

from oleanderpier.signals import hold_signals

__all__ = ["run_daemon"]


def run_daemon() -> None:
    """Run ``oleanderpierd``."""
    hold_signals()
    from oleanderpier.daemon import run

    run()
