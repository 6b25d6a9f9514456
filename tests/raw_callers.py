"""Callers that use one connection for all requests, until it is closed."""

import asyncio

from standins.platform_fleet import API_KEY, HOST_NAME

__all__ = ["NO_ANSWER", "RawCaller"]

# In place of a status: the connection ended without a whole response.
NO_ANSWER = 0


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
        method = "GET" if path.startswith("/lookup") else "POST"
        head = (
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Request-Id: {request_id}",
            "Request-Deadline-Ms: 20000",
            f"Credential: {API_KEY}",
            "Content-Length: 0",
            "\r\n",
        )
        try:
            self._writer.write("\r\n".join(head).encode())
            await asyncio.sleep(read_delay_s)
            return await self._read_response()
        except (asyncio.IncompleteReadError, OSError):
            return NO_ANSWER

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _read_response(self) -> int:
        """Return the status of a response after its whole body was read.

        Raises:
            asyncio.IncompleteReadError: The connection has ended.
        """
        status_line, *lines = (
            (await self._reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        )
        headers = dict(line.split(": ", 1) for line in lines if line)
        await self._reader.readexactly(int(headers["content-length"]))
        return int(status_line.split()[1])
