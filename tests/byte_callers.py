"""Callers that send bytes as a test gives them on one connection."""

import asyncio
import socket

from standins.platform_fleet import API_KEY, HOST_NAME
from standins.raw_callers import NO_ANSWER

__all__ = ["NO_ANSWER", "ByteCaller"]

DEADLINE_MS = 3000
READ_TIMEOUT_S = 30.0
BODY = b"body"


class ByteCaller:
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
    async def connect(
        cls, address: str, buffer_bytes: int | None = None
    ) -> "ByteCaller":
        """Open a connection to an address, given as ``IP:PORT``.

        Args:
            address: The address.
            buffer_bytes: The most that is held of what the caller has not read;
                None for the defaults.
        """
        host, _, port = address.rpartition(":")
        if buffer_bytes is None:
            return cls(*await asyncio.open_connection(host, int(port)))
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
        streams = await asyncio.open_connection(sock=connection, limit=buffer_bytes)
        return cls(*streams)

    async def send(
        self,
        path: str,
        request_id: str,
        deadline_ms: int = DEADLINE_MS,
        read_delay_s: float = 0.0,
        body_delay_s: float | None = 0.0,
    ) -> int:
        """Send a request; return the status of its response, or ``NO_ANSWER``.

        Args:
            path: The path of the request.
            request_id: Its id.
            deadline_ms: The deadline that it states, in milliseconds.
            read_delay_s: Time to wait before the response is read, in seconds.
            body_delay_s: Time to wait before the body is sent, in seconds; None to send
                the head only.
        """
        self._writer.write(_make_head(path, request_id, deadline_ms))
        if body_delay_s is None:
            status, _ = await self.exchange(b"", read_delay_s)
            return status
        await asyncio.sleep(body_delay_s)
        status, _ = await self.exchange(BODY, read_delay_s)
        return status

    async def exchange(
        self, request: bytes, read_delay_s: float = 0.0
    ) -> tuple[int, bytes]:
        """Send bytes; return the status and the body of one response.

        Args:
            request: A request, or b"" if it was sent before.
            read_delay_s: Time to wait before the response is read, in seconds.

        Returns:
            The status and the body; ``NO_ANSWER`` and what the connection ended with
            if the response is not whole.
        """
        try:
            if request:
                self._writer.write(request)
            await asyncio.sleep(read_delay_s)
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self._read_response()
        except asyncio.IncompleteReadError as error:
            return NO_ANSWER, error.partial
        except OSError:
            return NO_ANSWER, b""

    async def send_two(self, path: str, request_ids: tuple[str, str]) -> list[int]:
        """Send two requests at once; return what ``send`` does for each of them."""
        heads = [_make_head(path, identity, DEADLINE_MS) for identity in request_ids]
        first, _ = await self.exchange(b"".join(head + BODY for head in heads))
        second, _ = await self.exchange(b"")
        return [first, second]

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _read_response(self) -> tuple[int, bytes]:
        """Return the status and the whole body of a response.

        Raises:
            asyncio.IncompleteReadError: The connection has ended.
        """
        status_line, *lines = (
            (await self._reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        )
        headers = dict(line.split(": ", 1) for line in lines if line)
        if "content-length" in headers:
            body = await self._reader.readexactly(int(headers["content-length"]))
        else:
            body = await self._read_chunks()
        return int(status_line.split()[1]), body

    async def _read_chunks(self) -> bytes:
        body = b""
        while size := int(await self._reader.readuntil(b"\r\n"), 16):
            body += (await self._reader.readexactly(size + 2))[:size]
        await self._reader.readexactly(2)
        return body


def _make_head(path: str, request_id: str, deadline_ms: int) -> bytes:
    method = "GET" if path.startswith("/lookup") else "POST"
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Request-Id: {request_id}",
        f"Request-Deadline-Ms: {deadline_ms}",
        f"Credential: {API_KEY}",
        f"Content-Length: {len(BODY)}",
        "\r\n",
    )
    return "\r\n".join(lines).encode()
