"""A server of the service ``office``: a sound one, as the users' pages describe it.

It writes a line for each event: ``runs ID``, ``ended ID``, ``left ID`` (the caller has
closed its connection) or ``crashed-on ID``. Its first line says that it listens.
"""

import argparse
import asyncio
import contextlib
import os
import sys

DATA = "data: " + "x" * 60


class Server:
    """The server.

    Args:
        options: The command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options

    async def serve(self) -> None:
        """Listen, and answer until the process is ended."""
        server = await asyncio.start_server(
            self._handle, "127.0.0.1", self._options.port
        )
        say("listens", "-")
        await server.serve_forever()

    async def _handle(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._answer(reader, writer):
                pass
        writer.close()

    async def _answer(self, reader, writer) -> bool:
        """Answer one request; return whether the connection may be used again."""
        first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        path = first.split()[1]
        pairs = (line.partition(":") for line in lines if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        await reader.readexactly(int(headers.get("content-length", "0")))
        request = headers.get("request-id", "")
        if headers.get("expect-instance", self._options.id) != self._options.id:
            return await self._send(writer, 421, request, b"", "Not-Executed: 1\r\n")
        if path == "/health":
            extra = f"Instance-Id: {self._options.id}\r\n"
            return await self._send(writer, 200, request, b"", extra)
        say("runs", request)
        if self._crashes_on(path, headers):
            await asyncio.sleep(self._options.crash_after_s)
            say("crashed-on", request)
            os._exit(1)
        if self._options.events:
            await self._stream(reader, writer, request)
            return False
        await asyncio.sleep(self._options.work_s)
        body = f"{self._options.id} ran {request}".encode()
        kept = await self._send(writer, 200, request, body)
        say("ended", request)
        return kept

    def _crashes_on(self, path: str, headers: dict[str, str]) -> bool:
        """Return whether a request ends the server as soon as it begins to answer."""
        entries = headers.get("prompt-prefix", "").split(",")[:-1]
        parts = [entry.partition(":")[0] for entry in entries]
        return self._options.crash_part in parts or path == self._options.crash_path

    async def _send(
        self, writer, status: int, request: str, body: bytes, extra: str = ""
    ) -> bool:
        writer.write(
            f"HTTP/1.1 {status} Status\r\nRequest-Id: {request}\r\n"
            f"Response-Signature: {self._options.id}.1\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()
        return True

    async def _stream(self, reader, writer, request: str) -> None:
        """Send an answer with neither a length nor chunks, event by event."""
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
            f"Response-Signature: {self._options.id}.1\r\n"
            "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n".encode()
        )
        for number in range(1, self._options.events + 1):
            writer.write(f"id: {number}\n{DATA}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(self._options.interval_s)
            if reader.at_eof():
                say("left", request)
                return
        say("ended", request)


def say(kind: str, request: str) -> None:
    """Write the line of an event."""
    sys.stdout.write(f"{kind} {request}\n")
    sys.stdout.flush()


def main() -> None:
    """Run the server."""
    parser = argparse.ArgumentParser()
    parser.add_argument("id")
    parser.add_argument("port", type=int)
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--interval-s", type=float, default=0.1)
    parser.add_argument("--work-s", type=float, default=0.02)
    parser.add_argument("--crash-part")
    parser.add_argument("--crash-path")
    parser.add_argument("--crash-after-s", type=float, default=0.02)
    asyncio.run(Server(parser.parse_args()).serve())


if __name__ == "__main__":
    main()
