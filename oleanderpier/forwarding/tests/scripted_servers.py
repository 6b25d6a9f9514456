"""Scripted backend servers: what they answer, and how their connections end."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Iterable

__all__ = [
    "Behaviour",
    "ReceivedRequest",
    "ScriptedServer",
    "close_connection",
    "cut_stream",
    "format_events",
    "never_respond",
    "reset_connection",
    "respond",
    "respond_not_run",
    "stream_events",
    "stream_without_length",
]

Behaviour = Callable[["ReceivedRequest"], Awaitable[None]]
# SO_LINGER with a timeout of 0 s: closing the socket sends a TCP reset.
ZERO_LINGER = struct.pack("ii", 1, 0)


class ReceivedRequest:
    """One request that a scripted server received.

    Attributes:
        head: The request line and the headers.
        closed: Set when the peer closes the connection.
    """

    def __init__(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        self.head = head.decode()
        self.writer = writer
        self.closed = asyncio.Event()

    def get_header(self, name: str) -> str:
        """Return the value of a header, empty if there is none."""
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name:
                return value.strip()
        return ""

    async def send(self, data: bytes) -> None:
        """Send bytes to the forwarder."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        opened = self.writer.get_extra_info("socket")
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        self.writer.transport.abort()


def respond(status: int = 200, body: bytes = b"done", **options) -> Behaviour:
    """Return a behaviour that sends a complete response.

    Args:
        status: The HTTP status.
        body: The body.
        options: ``identity`` in place of the request's; ``signed``, whether the
            response is signed; ``size``, the content length in place of the body's;
            ``headers``, further header lines; ``delay_s``, the seconds until the
            response, 0 if not given.
    """

    async def behave(request: ReceivedRequest) -> None:
        await asyncio.sleep(options.get("delay_s", 0.0))
        identity = options.get("identity") or request.get_header("id")
        lines = [
            f"HTTP/1.1 {status} X",
            f"Id: {identity}",
            f"Content-Length: {options.get('size', len(body))}",
            *options.get("headers", []),
        ]
        if options.get("signed", True):
            lines.append("Signed: yes")
        await request.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    return behave


def respond_not_run(*headers: str) -> Behaviour:
    """Return a behaviour that responds that the request was not run.

    Args:
        headers: Further header lines.
    """
    return respond(503, b"", headers=["Not-Run: 1", *headers])


async def reset_connection(request: ReceivedRequest) -> None:
    """Read the request, then reset the connection."""
    request.reset()


async def never_respond(request: ReceivedRequest) -> None:
    """Read the request and never respond."""
    await request.closed.wait()


def format_events(first: int, last: int) -> bytes:
    """Return events with the ids from first to last."""
    numbers = range(first, last + 1)
    return b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in numbers)


def stream_events(
    last: int, pause_s: float = 0.0, headers: Iterable[str] = ()
) -> Behaviour:
    """Return a behaviour that streams events up to an id.

    It begins after the last event that the request names.

    Args:
        last: The id of the last event.
        pause_s: Pause after each event, in seconds.
        headers: Further header lines.
    """

    async def end_stream(request: ReceivedRequest) -> None:
        await request.send(b"0\r\n\r\n")

    return _make_stream(last, pause_s, b"", end_stream, headers)


def cut_stream(last: int, partial_event: bytes = b"", then: Behaviour | None = None):
    """Return a behaviour that streams events up to an id, then resets.

    Args:
        last: The id of the last complete event.
        partial_event: Bytes of a further event.
        then: What happens before the reset.
    """

    async def end_stream(request: ReceivedRequest) -> None:
        if then is not None:
            await then(request)
        request.reset()

    return _make_stream(last, 0.0, partial_event, end_stream)


def _make_stream(
    last: int,
    pause_s: float,
    partial_event: bytes,
    end_stream: Behaviour,
    headers: Iterable[str] = (),
) -> Behaviour:
    async def behave(request: ReceivedRequest) -> None:
        first = int(request.get_header("after") or 0) + 1
        await request.send(
            f"HTTP/1.1 200 OK\r\nId: {request.get_header('id')}\r\nSigned: yes\r\n"
            "Transfer-Encoding: chunked\r\n".encode()
            + b"".join(f"{header}\r\n".encode() for header in headers)
            + b"\r\n"
        )
        for number in range(first, last + 1):
            await _send_chunk(request, format_events(number, number))
            await asyncio.sleep(pause_s)
        if partial_event:
            await _send_chunk(request, partial_event)
        await asyncio.sleep(0.05)
        await end_stream(request)

    return behave


def stream_without_length(body: bytes, end: Behaviour) -> Behaviour:
    """Return a behaviour that streams bytes with neither a length nor chunks.

    Args:
        body: The bytes after the head.
        end: How the connection ends.
    """

    async def behave(request: ReceivedRequest) -> None:
        await request.send(
            f"HTTP/1.1 200 OK\r\nId: {request.get_header('id')}\r\nSigned: yes\r\n"
            "Connection: close\r\n\r\n".encode()
            + body
        )
        await end(request)

    return behave


async def close_connection(request: ReceivedRequest) -> None:
    """Close the connection."""
    request.writer.close()


async def _send_chunk(request: ReceivedRequest, data: bytes) -> None:
    await request.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")


class ScriptedServer:
    """A server that handles each request by the next behaviour of a script.

    The last behaviour is used for all further requests.

    Attributes:
        requests: The requests that it received.
    """

    def __init__(self, *script: Behaviour) -> None:
        self.requests: list[ReceivedRequest] = []
        self._script = list(script)
        self._tasks: set[asyncio.Task] = set()

    async def listen(self) -> str:
        """Listen on the loopback interface and return the address."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._listener.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            request = ReceivedRequest(await reader.readuntil(b"\r\n\r\n"), writer)
            self.requests.append(request)
            step = min(len(self.requests), len(self._script)) - 1
            watch = asyncio.create_task(self._watch_for_close(reader, request))
            try:
                await self._script[step](request)
            finally:
                watch.cancel()
                await asyncio.gather(watch, return_exceptions=True)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _watch_for_close(self, reader, request: ReceivedRequest) -> None:
        try:
            while await reader.read(4096):
                pass
        except ConnectionError:
            pass
        request.closed.set()
