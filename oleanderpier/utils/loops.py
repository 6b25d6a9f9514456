"""Runs coroutines on uvloop, without io_uring."""

import asyncio
import os
from collections.abc import Coroutine
from typing import Any

import uvloop

__all__ = ["run_coroutine"]


def run_coroutine(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end on a new uvloop.

    The variable must be in the environment before the loop is made; uvloop
    would open an io_uring descriptor otherwise.

    Args:
        coroutine: What to run.

    Returns:
        The coroutine's result.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)
