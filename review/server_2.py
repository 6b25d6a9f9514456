"""A sound backend server: ``python3 -m review.server_2 ID IP:PORT [options]``.

It writes the id of each request that it begins to work on to standard output. It drops
a request when its connection closes, and sends one response on each connection. A part
of prompts may crash it when it begins to write an answer.
"""

import argparse
import asyncio
import contextlib
import os

MAX_HEAD_BYTES = 1 << 17


class Server:
    """Answers requests; a path below ``/chat/`` gets a stream of events.

    Args:
        options: The options of the command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the request of one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            request_line, *lines = head.split("\r\n")
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines)
            }
            await reader.readexactly(int(headers.get("content-length", 0)))
            path = request_line.split()[1]
            work = asyncio.create_task(self._answer(path, headers, writer))
            closed = asyncio.create_task(reader.read(1))
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            for task in (work, closed):
                task.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)
        writer.close()

    async def _answer(
        self, path: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        identity, request_id = self._options.identity, headers.get("request-id", "")
        echo = f"Request-Id: {request_id}\r\nConnection: close\r\n"
        if headers.get("expect-instance") != identity:
            text = f"HTTP/1.1 421 Misdirected\r\n{echo}Content-Length: 0\r\n\r\n"
            writer.write(text.encode())
            await writer.drain()
            return
        print(request_id, flush=True)
        head = f"HTTP/1.1 200 OK\r\n{echo}Response-Signature: {identity}\r\n"
        if path.startswith("/chat/"):
            await self._send_stream(head, headers, writer)
            return
        await asyncio.sleep(self._options.work_s)
        body = f"{identity} ran {request_id}".ljust(800).encode()
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()

    async def _send_stream(
        self, head: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        options = self._options
        await asyncio.sleep(options.prefill_s)
        parts = headers.get("prompt-prefix", "").split(",")[:-1]
        if options.crash_part in [part.partition(":")[0] for part in parts]:
            os._exit(1)
        fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write(f"{head}{fields}\r\n".encode())
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, options.events + 1):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(options.interval_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def _run(options: argparse.Namespace) -> None:
    host, _, port = options.address.rpartition(":")
    server = Server(options)
    listener = await asyncio.start_server(
        server.handle, host, int(port), limit=MAX_HEAD_BYTES, backlog=512
    )
    await listener.serve_forever()


def _read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("identity")
    parser.add_argument("address")
    parser.add_argument("--work-s", type=float, default=0.03)
    parser.add_argument("--prefill-s", type=float, default=0.2)
    parser.add_argument("--events", type=int, default=10)
    parser.add_argument("--interval-s", type=float, default=0.02)
    parser.add_argument("--crash-part", default="none")
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(_run(_read_options()))
