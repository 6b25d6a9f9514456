"""Callers that use one connection for all requests, until it is closed."""

import asyncio
import math
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from standins.platform_fleet import API_KEY, HOST_NAME

__all__ = ["NO_ANSWER", "BodyForm", "RawCaller", "RawRequest", "RawResponse"]

# In place of a status: the connection ended without a whole response.
NO_ANSWER = 0
# Pause between the segments of a body that is sent in several.
SEGMENT_PAUSE_S = 0.05


class BodyForm(Enum):
    """How a body is sent: with the head, in two segments, or chunked in two."""

    WITH_HEAD = "with_head"
    TWO_SEGMENTS = "two_segments"
    CHUNKED = "chunked"


class RawRequest(NamedTuple):
    """A request.

    Attributes:
        path: Its path; ``GET`` below ``/lookup``, ``POST`` elsewhere.
        request_id: Its id.
        body: Its body.
        form: How the body is sent.
        headers: Headers that are added or replaced.
    """

    path: str
    request_id: str
    body: bytes = b""
    form: BodyForm = BodyForm.WITH_HEAD
    headers: Mapping[str, str] = {}


class RawResponse(NamedTuple):
    """The response to a request.

    Attributes:
        status: Its status, ``NO_ANSWER`` if the connection ended before its head.
        body: The body as far as it was received.
        complete: Whether it was received to its end.
        closes: Whether the connection can't be used again.
        written_s: Time at which the last byte of the request was sent, on the event
            loop's clock; infinite if it was not sent whole.
        was_reset: Whether the connection ended with a reset. A host's system sends one
            if the host closes the connection before it has read all that has arrived.
    """

    status: int
    body: bytes
    complete: bool
    closes: bool
    written_s: float
    was_reset: bool


class RawCaller:
    """A caller with one open connection to a host.

    Args:
        reader: Reads from the connection.
        writer: Writes to the connection.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, address: str) -> "RawCaller":
        """Open a connection to an address, given as ``IP:PORT``."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def send(self, path: str, request_id: str, read_delay_s: float = 0.0) -> int:
        """Send a request; return the status of its response, or ``NO_ANSWER``.

        Args:
            path: The path of the request.
            request_id: Its id.
            read_delay_s: Time to wait before the response is read, in seconds.
        """
        response = await self.exchange(RawRequest(path, request_id), read_delay_s)
        return response.status if response.complete else NO_ANSWER

    async def exchange(
        self, request: RawRequest, read_delay_s: float = 0.0
    ) -> RawResponse:
        """Send a request and read its response, which may begin before its end.

        Args:
            request: The request.
            read_delay_s: Time to wait before the response is read, in seconds.
        """
        reading = asyncio.create_task(self._read_response(read_delay_s))
        try:
            written_s = await self._write(request, reading)
            response = await reading
            # What is sent next would be taken for the rest of the request.
            closes = response.closes or math.isinf(written_s)
            return response._replace(written_s=written_s, closes=closes)
        finally:
            reading.cancel()

    def is_closed(self) -> bool:
        """Return whether the host has closed the connection."""
        return self._reader.at_eof() or self._reader.exception() is not None

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _write(self, request: RawRequest, reading: asyncio.Task) -> float:
        """Send a request unless its response is complete or the connection ends."""
        for number, segment in enumerate(_list_segments(request)):
            if number:
                await asyncio.wait({reading}, timeout=SEGMENT_PAUSE_S)
            if reading.done() or self._writer.is_closing():
                return math.inf
            self._writer.write(segment)
        return asyncio.get_running_loop().time()

    async def _read_response(self, delay_s: float) -> RawResponse:
        """Return a response as far as it was received, without ``written_s``."""
        status, body, complete, closes = NO_ANSWER, bytearray(), False, True
        was_reset = False
        try:
            await asyncio.sleep(delay_s)
            status_line, *lines = (
                (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            )
            status = int(status_line.split()[1])
            headers = {
                name.lower(): value.lower()
                for name, _, value in (line.partition(": ") for line in lines)
            }
            closes = headers.get("connection") == "close"
            await self._read_body(headers, body)
            complete = True
        except asyncio.IncompleteReadError:
            closes = True
        except OSError:
            closes = was_reset = True
        return RawResponse(status, bytes(body), complete, closes, math.inf, was_reset)

    async def _read_body(self, headers: Mapping[str, str], body: bytearray) -> None:
        """Append a response's body.

        Raises:
            asyncio.IncompleteReadError: The connection has ended before it.
        """
        if "chunked" not in headers.get("transfer-encoding", ""):
            body += await self._reader.readexactly(int(headers["content-length"]))
            return
        length = 1
        while length:
            length = int((await self._reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await self._reader.readexactly(length + len(b"\r\n"))
            body += data[:length]


def _list_segments(request: RawRequest) -> list[bytes]:
    """Return the parts in which a request is sent."""
    is_chunked = request.form is BodyForm.CHUNKED
    headers = {
        "Host": HOST_NAME,
        "Request-Id": request.request_id,
        "Request-Deadline-Ms": "20000",
        "Credential": API_KEY,
        **({"Transfer-Encoding": "chunked"} if is_chunked else {}),
        **({} if is_chunked else {"Content-Length": str(len(request.body))}),
        **request.headers,
    }
    method = "GET" if request.path.startswith("/lookup") else "POST"
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"{method} {request.path} HTTP/1.1", *lines, "\r\n"]).encode()
    if request.form is BodyForm.WITH_HEAD:
        return [head + request.body]
    middle = len(request.body) // 2
    halves = request.body[:middle], request.body[middle:]
    if is_chunked:
        first, second = (b"%x\r\n%s\r\n" % (len(half), half) for half in halves)
        return [head + first, second + b"0\r\n\r\n"]
    return [head + halves[0], halves[1]]
