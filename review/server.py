"""A server of the service ``office``: a sound one, as the users' pages describe it.

It writes a line for each event: ``runs ID``, ``ended ID``, ``left ID`` (the caller has
closed its connection), ``rejects ID`` or ``crashed-on ID``. Its first line says that it
listens.
"""

import argparse
import asyncio
import contextlib
import os
import sys

DATA = "data: " + "x" * 60
PARENT_CHECK_S = 0.5


class Server:
    """The server.

    Args:
        options: The command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options

    async def serve(self) -> None:
        """Listen, and answer until the process or that of the script is ended."""
        server = await asyncio.start_server(
            self._handle, "127.0.0.1", self._options.port
        )
        say("listens", "-")
        parent = os.getppid()
        # Ends with the script that started it.
        while os.getppid() == parent:
            await asyncio.sleep(PARENT_CHECK_S)
        server.close()

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
        if self._options.full:
            say("rejects", request)
            return await self._send(writer, 503, request, b"", "Not-Executed: 1\r\n")
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
        """Send an answer event by event, with chunks or up to the connection's end."""
        options = self._options
        framing = "Transfer-Encoding: chunked\r\n" if options.chunked else ""
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
            f"Response-Signature: {options.id}.1\r\n{framing}"
            "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n".encode()
        )
        for number in range(1, options.events + 1):
            event = f"id: {number}\n{DATA}\n\n".encode()
            writer.write(make_chunk(event) if options.chunked else event)
            await writer.drain()
            is_paused = number == options.pause_after
            await asyncio.sleep(options.pause_s if is_paused else options.interval_s)
            if reader.at_eof():
                say("left", request)
                return
        if options.chunked:
            writer.write(make_chunk(b""))
        say("ended", request)


def make_chunk(data: bytes) -> bytes:
    """Return the chunk of some data; the last chunk of an answer for none."""
    return b"%x\r\n%s\r\n" % (len(data), data)


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
    parser.add_argument("--chunked", action="store_true")
    parser.add_argument("--full", action="store_true")
    parser.add_argument("--pause-after", type=int)
    parser.add_argument("--pause-s", type=float, default=0.0)
    parser.add_argument("--crash-part")
    parser.add_argument("--crash-path")
    parser.add_argument("--crash-after-s", type=float, default=0.02)
    asyncio.run(Server(parser.parse_args()).serve())


if __name__ == "__main__":
    main()
