"""Listeners whose connections are handled byte by byte."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

__all__ = ["serve_raw_connections"]

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def serve_raw_connections(handle: Handler) -> AsyncIterator[int]:
    """Serve raw connections on the loopback interface; yield the port.

    A connection is closed when its handler returns, also if the other side has closed
    it before. At the end the handlers that still run are cancelled.

    Args:
        handle: Handles one connection.

    Raises:
        ExceptionGroup: Handlers failed otherwise than by the end of their connection.
    """
    tasks: set[asyncio.Task] = set()
    failures: list[Exception] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks.add(asyncio.current_task())
        try:
            await handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The caller or the end of the listener has ended the connection.
            pass
        except Exception as error:
            failures.append(error)
        finally:
            writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # The transports of the closed connections end in the next iteration.
        await asyncio.sleep(0)
    if failures:
        raise ExceptionGroup("raw handlers failed", failures)
