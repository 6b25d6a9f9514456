"""Callers that use one connection for all requests, until it is closed."""

import asyncio

from standins.platform_fleet import API_KEY, HOST_NAME

__all__ = ["NO_ANSWER", "RawCaller"]

# In place of a status: the connection ended without a whole response.
NO_ANSWER = 0
DEADLINE_MS = 3000
READ_TIMEOUT_S = 30.0
BODY = b"body"


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
        try:
            self._writer.write(_make_head(path, request_id, deadline_ms))
            if body_delay_s is not None:
                await asyncio.sleep(body_delay_s)
                self._writer.write(BODY)
            await asyncio.sleep(read_delay_s)
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self._read_response()
        except (asyncio.IncompleteReadError, OSError):
            return NO_ANSWER

    async def send_two(self, path: str, request_ids: tuple[str, str]) -> list[int]:
        """Send two requests at once; return what ``send`` does for each of them."""
        heads = [_make_head(path, identity, DEADLINE_MS) for identity in request_ids]
        self._writer.write(b"".join(head + BODY for head in heads))
        answers = [NO_ANSWER, NO_ANSWER]
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                for number in range(len(answers)):
                    answers[number] = await self._read_response()
        except (asyncio.IncompleteReadError, OSError):
            return answers
        return answers

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
