"""The caller's side of a stream."""

import asyncio
import contextlib
import socket

import msgspec
from aiohttp import web

from oleanderpier.results import Failure, make_refusal_body

__all__ = ["CallerStream"]

HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
KERNEL_BUFFER_BYTES = 64 * 1024
HEARTBEAT = b": heartbeat\n\n"


class CallerStream:
    """The answer to one caller, begun as late as it can be.

    Args:
        request: The caller's request.
        write_buffer_bytes: How much waits in the transport at most before
            the stream is paused.

    Attributes:
        response: The answer, which ``begin`` starts.
        begun: Whether it is too late for an HTTP status.
        ready: Whether the head was sent, so that events may follow.
    """

    def __init__(self, request: web.Request, write_buffer_bytes: int) -> None:
        self.response = web.StreamResponse(headers=HEADERS)
        self.begun = False
        self.ready = False
        self._request = request
        self._write_buffer_bytes = write_buffer_bytes
        self._beginning: asyncio.Task | None = None
        self._heartbeat: asyncio.Task | None = None

    def is_gone(self) -> bool:
        """Return whether the caller's connection is closed."""
        transport = self._request.transport
        return transport is None or transport.is_closing()

    def count_unsent(self) -> int:
        """Return how many bytes wait in the connection's buffer."""
        transport = self._request.transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def abort(self) -> None:
        """Close the connection without sending what waits."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def begin(self) -> None:
        """Send the head of the answer once; later calls wait for it.

        Raises:
            ConnectionError: The caller has left.
        """
        self.begun = True
        if self._beginning is None:
            self._beginning = asyncio.create_task(self._prepare())
            self._beginning.add_done_callback(_retrieve_error)
        await asyncio.shield(self._beginning)

    def send_heartbeat(self) -> None:
        """Send a comment line, without waiting; begins the answer."""
        self.begun = True
        if self._heartbeat is None or self._heartbeat.done():
            self._heartbeat = asyncio.create_task(self._write_heartbeat())

    async def finish(self, event: bytes) -> None:
        """Send the last event and end the answer.

        Raises:
            ConnectionError: The caller has left.
        """
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        await self.begin()
        await self.response.write(event)
        await self.response.write_eof()

    async def fail(self, failure: Failure) -> None:
        """Tell of a failure after the answer has begun, and end it.

        Raises:
            ConnectionError: The caller has left.
        """
        data = msgspec.json.encode(make_refusal_body(failure))
        await self.finish(b"event: failed\ndata: " + data + b"\n\n")

    async def _prepare(self) -> None:
        transport = self._request.transport
        if transport is None:
            raise ConnectionResetError("the caller has left")
        transport.set_write_buffer_limits(high=self._write_buffer_bytes)
        opened = transport.get_extra_info("socket")
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
        await self.response.prepare(self._request)
        self.ready = True

    async def _write_heartbeat(self) -> None:
        with contextlib.suppress(ConnectionError):
            await self.begin()
            await self.response.write(HEARTBEAT)


def _retrieve_error(task: asyncio.Task) -> None:
    if not task.cancelled():
        task.exception()
