"""TCP proxy on loopback that injects faults into the connections through it."""

import asyncio
import socket
import struct

__all__ = ["FaultProxy"]

READ_BYTES = 65_536
HOLD_POLL_INTERVAL_S = 0.02
# Value of SO_LINGER: on with a time of 0 s, so that a close sends a reset.
LINGER_RESET = struct.pack("ii", 1, 0)


class FaultProxy:
    """Proxy that forwards, delays or holds back data between callers and a target.

    Args:
        target: ``IP:PORT`` that connections are forwarded to.

    Attributes:
        address: ``IP:PORT`` that the proxy listens on; empty before ``start``.
        delay_s: Delay of each chunk of data, in seconds.
        holds_caller_data: Whether data from callers is held back.
        holds_target_data: Whether data from the target is held back.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.delay_s = 0.0
        self.holds_caller_data = False
        self.holds_target_data = False
        self._target = target
        self._open_writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self, port: int) -> None:
        """Listen on a port of the loopback address."""
        self._port = port
        self.address = f"127.0.0.1:{port}"
        await self.listen()

    async def listen(self) -> None:
        """Listen, also again after ``refuse_connections``."""
        self._listener = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", self._port
        )

    def refuse_connections(self) -> None:
        """Stop listening; open connections go on."""
        self._listener.close()

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def hold_all_data(self, held: bool) -> None:
        """Start or stop holding back the data of both directions."""
        self.holds_caller_data = self.holds_target_data = held

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._open_writers):
            _reset(writer)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        host, _, port = self._target.rpartition(":")
        far_writer = None
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self._open_writers |= {writer, far_writer}
            directions = (
                self._forward(reader, far_writer, "holds_caller_data"),
                self._forward(far_reader, writer, "holds_target_data"),
            )
            async with asyncio.TaskGroup() as group:
                for direction in directions:
                    group.create_task(direction)
        except* (OSError, EOFError, asyncio.CancelledError):
            # One side has closed the connection; the other one is closed below.
            pass
        finally:
            for side in (writer, far_writer):
                if side is not None:
                    self._open_writers.discard(side)
                    side.close()
            self._tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, hold_flag: str
    ) -> None:
        while data := await _read(reader, writer):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while getattr(self, hold_flag):
                await asyncio.sleep(HOLD_POLL_INTERVAL_S)
            if writer.is_closing():
                break
            writer.write(data)
            await writer.drain()
        # Ends the task group, and with it the other direction.
        raise EOFError


async def _read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
    """Return the next bytes of one side; pass a reset on to the other side.

    Raises:
        ConnectionResetError: The side has reset its connection.
    """
    try:
        return await reader.read(READ_BYTES)
    except ConnectionResetError:
        _reset(writer)
        raise


def _reset(writer: asyncio.StreamWriter) -> None:
    opened = writer.get_extra_info("socket")
    if opened is not None:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
