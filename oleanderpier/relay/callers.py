"""The HTTP response to a caller: head, events and heartbeats."""

import asyncio
import contextlib
import socket

import msgspec
from aiohttp import web

from oleanderpier.results import Failure, make_refusal_body

__all__ = ["CallerStream"]

RESPONSE_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
# Bounds what the kernel buffers for a slow caller.
SOCKET_SEND_BUFFER_BYTES = 64 * 1024
HEARTBEAT_COMMENT = b": heartbeat\n\n"


class CallerStream:
    """The streamed response to one caller.

    Its head is sent as late as possible, since a failure can be reported by
    an HTTP status only before.

    Args:
        request: The caller's request.
        max_write_buffer_bytes: High-water mark of the transport's write buffer, in
            bytes; writes wait while it is exceeded.

    Attributes:
        response: The HTTP response, whose head ``start`` sends.
        started: Whether the head is being or was sent, so that a failure can
            no longer be reported by an HTTP status.
        head_sent: Whether the head was sent, so that events may be written.
    """

    def __init__(self, request: web.Request, max_write_buffer_bytes: int) -> None:
        self.response = web.StreamResponse(headers=RESPONSE_HEADERS)
        self.started = False
        self.head_sent = False
        self._request = request
        self._max_write_buffer_bytes = max_write_buffer_bytes
        self._head_task: asyncio.Task | None = None
        self._heartbeat_task: asyncio.Task | None = None

    def is_gone(self) -> bool:
        """Return whether the caller's connection is closed."""
        transport = self._request.transport
        return transport is None or transport.is_closing()

    def count_unsent_bytes(self) -> int:
        """Return the number of bytes in the connection's send buffer."""
        transport = self._request.transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def abort(self) -> None:
        """Close the connection and discard its send buffer."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def start(self) -> None:
        """Send the head of the response; later calls wait for the first one.

        Raises:
            ConnectionError: The caller has closed the connection.
        """
        self.started = True
        if self._head_task is None:
            self._head_task = asyncio.create_task(self._send_head())
            self._head_task.add_done_callback(_retrieve_error)
        await asyncio.shield(self._head_task)

    def send_heartbeat(self) -> None:
        """Schedule a heartbeat (an SSE comment line); starts the response.

        Does nothing while the previous heartbeat is still being sent.
        """
        self.started = True
        if self._heartbeat_task is None or self._heartbeat_task.done():
            self._heartbeat_task = asyncio.create_task(self._write_heartbeat())

    async def finish(self, end_event: bytes) -> None:
        """Send the last event and end the response.

        Raises:
            ConnectionError: The caller has closed the connection.
        """
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        await self.start()
        await self.response.write(end_event)
        await self.response.write_eof()

    async def send_failure(self, failure: Failure) -> None:
        """Send a failure as the last event and end the response.

        Raises:
            ConnectionError: The caller has closed the connection.
        """
        data = msgspec.json.encode(make_refusal_body(failure))
        await self.finish(b"event: failed\ndata: " + data + b"\n\n")

    async def _send_head(self) -> None:
        transport = self._request.transport
        if transport is None:
            raise ConnectionResetError(
                "caller closed the connection before the response head"
            )
        transport.set_write_buffer_limits(high=self._max_write_buffer_bytes)
        caller_socket = transport.get_extra_info("socket")
        caller_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_SEND_BUFFER_BYTES
        )
        await self.response.prepare(self._request)
        self.head_sent = True

    async def _write_heartbeat(self) -> None:
        with contextlib.suppress(ConnectionError):
            await self.start()
            await self.response.write(HEARTBEAT_COMMENT)


def _retrieve_error(task: asyncio.Task) -> None:
    """Mark a task's exception as retrieved, so that asyncio logs no warning."""
    if not task.cancelled():
        task.exception()
