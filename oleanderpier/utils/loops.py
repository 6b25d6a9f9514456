"""Running of coroutines on uvloop without io_uring."""

import asyncio
import os
from collections.abc import Coroutine
from typing import Any

import uvloop

__all__ = ["run_coroutine"]


def run_coroutine(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to completion on a new uvloop event loop.

    libuv reads UV_USE_IO_URING when the loop is created, and would open an
    io_uring descriptor if it were not set to 0.

    Args:
        coroutine: The coroutine to run.

    Returns:
        The coroutine's result.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)
