"""Streams of typed messages between the hosts of the fleet.

Each direction between two hosts has a stream of its own, opened when the
first message is sent and closed when nothing has been sent for a while.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from functools import singledispatch
from typing import Any, NamedTuple

from eliot import log_message
from msgpack import UnpackException

from oleanderpier.events import Clock, Stamp
from oleanderpier.exception import MessageError, UnknownMessageError
from oleanderpier.peers.messages import ClockStamp, Hello, KeepAlive, KeepAliveAnswer
from oleanderpier.results import Code
from oleanderpier.utils import (
    Timers,
    encode_message,
    list_message_classes,
    make_unpacker,
    unpack_message,
)

__all__ = ["Address", "Mesh", "split_address"]

CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_INTERVAL_S = 0.5
# Signs of life that one host asks for at most; with more streams than half of
# that each is asked less often.
KEEP_ALIVES_PER_S = 25.0
ANSWER_TIMEOUT_S = 1.5
IDLE_CLOSE_S = 30.0
FIRST_BACKOFF_S = 0.1
LAST_BACKOFF_S = 2.0
MAX_PENDING_BYTES = 1 << 20
READ_BYTES = 1 << 16


class Address(NamedTuple):
    """Where a host's peer port is.

    Attributes:
        address: The IP number.
        port: The TCP port.
    """

    address: str
    port: int


def split_address(text: str) -> Address:
    """Return the address that ``IP:PORT`` names.

    Examples:
        >>> split_address("10.0.0.7:80")
        Address(address='10.0.0.7', port=80)
    """
    address, _, port = text.rpartition(":")
    return Address(address, int(port))


class Mesh:
    """Sends to other hosts and hands what they send to its subscribers.

    Args:
        host: The name of this host.
        incarnation: Differs between two runs of one host.
        timers: The timer service.
        clock: The logical clock of this process.
    """

    def __init__(
        self, host: str, incarnation: int, timers: Timers, clock: Clock
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.bytes_sent = 0
        self._timers = timers
        self._clock = clock
        self._addresses: dict[str, Address] = {}
        self._streams: dict[str, _Stream] = {}
        self._handlers: dict[type, Callable[[str, Any], None]] = {}
        self._closed_callbacks: list[Callable[[str], None]] = []
        self._server: asyncio.Server | None = None
        self._served: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    def subscribe(
        self, message_class: type, handler: Callable[[str, Any], None]
    ) -> None:
        """Hand messages of a class to a handler of (sender, message)."""
        self._handlers[message_class] = handler

    def subscribe_range(
        self, numbers: range, handler: Callable[[str, Any], None]
    ) -> None:
        """Hand every message whose number is in a range to one handler."""
        for message_class in list_message_classes(numbers):
            self.subscribe(message_class, handler)

    def subscribe_closed(self, callback: Callable[[str], None]) -> None:
        """Call back with each host whose stream to this one has ended."""
        self._closed_callbacks.append(callback)

    def update_addresses(self, addresses: dict[str, Address]) -> None:
        """Learn where hosts are; hosts learnt earlier stay known."""
        self._addresses.update(addresses)

    def send(self, host: str, message: Any) -> bool:
        """Hand a message to the stream towards a host, best effort.

        Returns:
            Whether the message was taken: the host's address is known, and
            not too much is pending.
        """
        if host == self.host:
            asyncio.get_running_loop().call_soon(self._dispatch, host, message)
            return True
        return self._send_bytes(host, encode_message(message))

    def send_to_all(self, hosts: Iterable[str], message: Any) -> None:
        """Hand one message to the streams towards several other hosts."""
        data = encode_message(message)
        for host in hosts:
            self._send_bytes(host, data)

    def _send_bytes(self, host: str, message: bytes) -> bool:
        if host not in self._addresses:
            return False
        stream = self._streams.get(host)
        if stream is None:
            stream = self._streams[host] = _Stream(host)
            self._start(self._keep_stream(stream))
        data = stream.stamp(self._clock.last) + message
        self.bytes_sent += len(data)
        return stream.write(data, self._timers.now())

    async def listen(self, address: str, port: int) -> None:
        """Accept streams of other hosts."""
        self._server = await asyncio.start_server(self._serve_stream, address, port)

    async def close(self) -> None:
        """Close every stream and stop listening."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._served):
            writer.transport.abort()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _keep_stream(self, stream: "_Stream") -> None:
        """Connect until the stream has been idle; one task for each peer."""
        backoff_s = FIRST_BACKOFF_S
        try:
            while stream.is_wanted(self._timers.now()):
                if await self._use_stream(stream):
                    backoff_s = FIRST_BACKOFF_S
                    continue
                await asyncio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, LAST_BACKOFF_S)
        finally:
            stream.detach()
            del self._streams[stream.host]

    async def _use_stream(self, stream: "_Stream") -> bool:
        """Hold one connection until it fails, falls silent or is idle."""
        address = self._addresses[stream.host]
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
        except OSError:
            return False
        stream.attach(writer, Hello(self.host, self.incarnation))
        interval_s = max(KEEP_ALIVE_INTERVAL_S, len(self._streams) / KEEP_ALIVES_PER_S)
        watch = self._timers.subscribe(
            interval_s, lambda: stream.keep_alive(self._timers.now())
        )
        try:
            await _read_answers(stream, reader)
        except (OSError, MessageError, UnpackException, ValueError) as error:
            _log_closed(stream.host, Code.PEER_UNREACHABLE, error)
        finally:
            watch.cancel()
            stream.detach()
            writer.close()
        return True

    async def _serve_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read one peer's stream to its end; one task for each connection."""
        self._served.add(writer)
        sender = _Sender()
        try:
            await self._read_stream(reader, writer, sender)
        except (MessageError, UnpackException, ValueError, OSError) as error:
            _log_closed(sender.host, _find_code(error), error)
        except Exception as error:
            # A fault in one handler must not take the other streams down.
            _log_closed(sender.host, Code.HANDLER_FAILED, error)
        finally:
            self._served.discard(writer)
            writer.close()
            for callback in self._closed_callbacks:
                callback(sender.host)

    async def _read_stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: "_Sender",
    ) -> None:
        unpacker = make_unpacker()
        while data := await reader.read(READ_BYTES):
            unpacker.feed(data)
            for items in unpacker:
                message = unpack_message(items)
                if isinstance(message, Hello):
                    sender.host = message.host
                elif isinstance(message, KeepAlive):
                    writer.write(encode_message(KeepAliveAnswer(message.sequence)))
                else:
                    self._dispatch(sender.host, message)

    def _dispatch(self, sender: str, message: Any) -> None:
        if isinstance(message, ClockStamp):
            self._clock.merge(Stamp(*message))
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            raise UnknownMessageError(f"no part takes {type(message).__name__}")
        handler(sender, message)


class _Sender:
    """Who sends on a stream, known once its ``Hello`` has come."""

    host = "unknown"


class _Stream:
    """The sending side towards one host."""

    def __init__(self, host: str) -> None:
        self.host = host
        self._writer: asyncio.StreamWriter | None = None
        self._pending = bytearray()
        self._used_at = 0.0
        self._stamped = Stamp(0, 0)
        self._asked = 0
        self._asked_at = 0.0
        self._answered = 0

    def is_wanted(self, now: float) -> bool:
        return now - self._used_at < IDLE_CLOSE_S

    def stamp(self, stamp: Stamp) -> bytes:
        """Return the bytes that carry a stamp, none if it was sent before."""
        if stamp == self._stamped:
            return b""
        self._stamped = stamp
        return encode_message(ClockStamp(*stamp))

    def write(self, data: bytes, now: float) -> bool:
        """Write to the connection, or keep the bytes until there is one."""
        self._used_at = now
        if self._writer is None or self._writer.transport.is_closing():
            return self._keep_pending(data)
        if self._writer.transport.get_write_buffer_size() > MAX_PENDING_BYTES:
            return False
        self._writer.write(data)
        return True

    def keep_alive(self, now: float) -> None:
        """Close the connection if it is idle or silent, else ask for a sign."""
        transport = self._writer.transport
        if transport.is_closing():
            return
        if not self.is_wanted(now):
            transport.close()
        elif self._asked == self._answered:
            if self._used_at >= self._asked_at:
                self._asked += 1
                self._asked_at = now
                self._writer.write(encode_message(KeepAlive(self._asked)))
        elif now - self._asked_at > ANSWER_TIMEOUT_S:
            transport.abort()

    def note_answer(self, answer: KeepAliveAnswer) -> None:
        """Take the peer's sign of life."""
        self._answered = answer.sequence

    def attach(self, writer: asyncio.StreamWriter, hello: Hello) -> None:
        """Use a new connection, and send what is pending."""
        writer.write(encode_message(hello) + bytes(self._pending))
        self._pending.clear()
        self._writer = writer
        self._answered = self._asked
        self._asked_at = 0.0

    def detach(self) -> None:
        """Use no connection from now on."""
        self._writer = None
        self._stamped = Stamp(0, 0)

    def _keep_pending(self, data: bytes) -> bool:
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            return False
        self._pending += data
        return True


async def _read_answers(stream: _Stream, reader: asyncio.StreamReader) -> None:
    unpacker = make_unpacker()
    while data := await reader.read(READ_BYTES):
        unpacker.feed(data)
        for items in unpacker:
            message = unpack_message(items)
            if not isinstance(message, KeepAliveAnswer):
                raise MessageError(f"unexpected {type(message).__name__}")
            stream.note_answer(message)


@singledispatch
def _find_code(error: Exception) -> Code:
    """Return the result code of an error that ends a stream."""
    return Code.MESSAGE_MALFORMED


@_find_code.register
def _(error: UnknownMessageError) -> Code:
    return Code.MESSAGE_UNKNOWN


@_find_code.register
def _(error: OSError) -> Code:
    return Code.PEER_UNREACHABLE


def _log_closed(host: str, code: Code, error: Exception) -> None:
    log_message("peers:stream_closed", host=host, code=int(code), reason=repr(error))
