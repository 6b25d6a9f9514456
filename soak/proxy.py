"""A proxy on loopback that spoils the connections that go through it."""

import asyncio
import socket
import struct

__all__ = ["FaultProxy"]

READ_BYTES = 65_536
POLL_S = 0.02
# SO_LINGER on, with no time: close sends a reset.
RESET = struct.pack("ii", 1, 0)


class FaultProxy:
    """Passes bytes on between its port and a target, or does not.

    Args:
        target: Where connections go, ``IP:PORT``.

    Attributes:
        address: Where it listens, once it does.
        delay_s: How long each piece of data is held up.
        deaf_to_caller: Whether what callers send is held back.
        deaf_to_target: Whether what the target answers is held back.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.delay_s = 0.0
        self.deaf_to_caller = False
        self.deaf_to_target = False
        self._target = target
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self, port: int) -> None:
        """Listen on loopback."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening and end every connection."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self, silent: bool) -> None:
        """Hold everything back in both directions, or no longer."""
        self.deaf_to_caller = self.deaf_to_target = silent

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._open):
            opened = writer.get_extra_info("socket")
            if opened is not None:
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        host, _, port = self._target.rpartition(":")
        far_writer = None
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self._open |= {writer, far_writer}
            directions = (
                self._pass_on(reader, far_writer, "deaf_to_caller"),
                self._pass_on(far_reader, writer, "deaf_to_target"),
            )
            async with asyncio.TaskGroup() as group:
                for direction in directions:
                    group.create_task(direction)
        except* (OSError, EOFError, asyncio.CancelledError):
            # Either side has ended the connection; the other one is told below.
            pass
        finally:
            for side in (writer, far_writer):
                if side is not None:
                    self._open.discard(side)
                    side.close()
            self._tasks.discard(task)

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, deaf: str
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while getattr(self, deaf):
                await asyncio.sleep(POLL_S)
            if writer.is_closing():
                break
            writer.write(data)
            await writer.drain()
        # Ends the other direction as well.
        raise EOFError
