"""A mesh of TCP streams that carry typed messages between hosts.

Each direction between two hosts has its own stream. It is opened when the
first message is sent and closed after ``IDLE_TIMEOUT_S`` without one.
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
from oleanderpier.peers.messages import ClockStamp, Hello, KeepAlive, KeepAliveReply
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
# Minimum interval between two keep-alives on one stream.
KEEP_ALIVE_INTERVAL_S = 0.5
# Bounds the keep-alives that one host sends over all its streams. Above this
# limit the interval on each stream grows with the number of streams.
MAX_KEEP_ALIVES_PER_S = 25.0
# A connection whose keep-alive stays without a reply for this long is aborted.
KEEP_ALIVE_TIMEOUT_S = 1.5
IDLE_TIMEOUT_S = 30.0
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
# Limits both the messages that wait for a connection and the transport's write
# buffer. Further messages are dropped.
MAX_PENDING_BYTES = 1 << 20
READ_SIZE_BYTES = 1 << 16


class Address(NamedTuple):
    """The socket address of a host's peer port.

    Attributes:
        address: The IP address.
        port: The TCP port.
    """

    address: str
    port: int


def split_address(text: str) -> Address:
    """Parse an address of the form ``IP:PORT``.

    Examples:
        >>> split_address("10.0.0.7:80")
        Address(address='10.0.0.7', port=80)
    """
    address, _, port = text.rpartition(":")
    return Address(address, int(port))


class Mesh:
    """Sends messages to other hosts and dispatches the messages they send.

    Args:
        host: The name of this host.
        incarnation: A number that differs between two runs of this host.
        timers: The timer service.
        clock: The logical clock of this process.

    Attributes:
        bytes_sent: The size of all messages handed to streams, in bytes.
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
        self._streams: dict[str, _OutgoingStream] = {}
        self._handlers: dict[type, Callable[[str, Any], None]] = {}
        self._closed_callbacks: list[Callable[[str], None]] = []
        self._server: asyncio.Server | None = None
        self._accepted_writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    def subscribe(
        self, message_class: type, handler: Callable[[str, Any], None]
    ) -> None:
        """Register the handler of a message class.

        Args:
            message_class: The registered message class.
            handler: Called with the sender's host name and the message.
        """
        self._handlers[message_class] = handler

    def subscribe_range(
        self, numbers: range, handler: Callable[[str, Any], None]
    ) -> None:
        """Register one handler for all message classes in a range of numbers."""
        for message_class in list_message_classes(numbers):
            self.subscribe(message_class, handler)

    def subscribe_closed(self, callback: Callable[[str], None]) -> None:
        """Register a callback for the end of a stream from another host.

        Args:
            callback: Called with the name of that host.
        """
        self._closed_callbacks.append(callback)

    def update_addresses(self, addresses: dict[str, Address]) -> None:
        """Add or replace the addresses of hosts; other hosts keep theirs."""
        self._addresses.update(addresses)

    def send(self, host: str, message: Any) -> bool:
        """Queue a message for a host; delivery is best effort.

        Returns:
            Whether the message was queued. False if the host's address is
            unknown or ``MAX_PENDING_BYTES`` are already waiting.
        """
        if host == self.host:
            asyncio.get_running_loop().call_soon(self._dispatch, host, message)
            return True
        return self._send_bytes(host, encode_message(message))

    def send_to_all(self, hosts: Iterable[str], message: Any) -> None:
        """Queue one message for several other hosts, encoding it once."""
        data = encode_message(message)
        for host in hosts:
            self._send_bytes(host, data)

    def _send_bytes(self, host: str, message: bytes) -> bool:
        if host not in self._addresses:
            return False
        stream = self._streams.get(host)
        if stream is None:
            stream = self._streams[host] = _OutgoingStream(host)
            self._start_task(self._maintain_stream(stream))
        data = stream.encode_stamp(self._clock.last) + message
        self.bytes_sent += len(data)
        return stream.write(data, self._timers.now())

    async def listen(self, address: str, port: int) -> None:
        """Listen for streams from other hosts."""
        self._server = await asyncio.start_server(
            self._handle_connection, address, port
        )

    async def close(self) -> None:
        """Close every stream and stop listening."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._accepted_writers):
            writer.transport.abort()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _maintain_stream(self, stream: "_OutgoingStream") -> None:
        """Keep a stream connected until it is idle; one task per peer."""
        backoff_s = MIN_BACKOFF_S
        try:
            while stream.is_in_use(self._timers.now()):
                if await self._run_connection(stream):
                    backoff_s = MIN_BACKOFF_S
                    continue
                await stream.wait_for_peer(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        finally:
            stream.detach()
            del self._streams[stream.host]

    async def _run_connection(self, stream: "_OutgoingStream") -> bool:
        """Open one connection and use it until it fails, is silent or is idle.

        Returns:
            Whether the connection was established.
        """
        address = self._addresses[stream.host]
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
        except OSError:
            return False
        stream.attach(writer, Hello(self.host, self.incarnation))
        interval_s = max(
            KEEP_ALIVE_INTERVAL_S, len(self._streams) / MAX_KEEP_ALIVES_PER_S
        )
        liveness_timer = self._timers.subscribe(
            interval_s, lambda: stream.check_liveness(self._timers.now())
        )
        try:
            await _read_replies(stream, reader)
        except (OSError, MessageError, UnpackException, ValueError) as error:
            _log_stream_closed(stream.host, Code.PEER_UNREACHABLE, error)
        finally:
            liveness_timer.cancel()
            stream.detach()
            writer.close()
        return True

    def _retry_connection(self, host: str) -> None:
        """Connect now to a host that has just shown that it is up."""
        stream = self._streams.get(host)
        if stream is not None:
            stream.peer_is_up.set()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read an accepted connection to its end; one task per connection."""
        self._accepted_writers.add(writer)
        sender = _StreamSender()
        try:
            await self._read_messages(reader, writer, sender)
        except (MessageError, UnpackException, ValueError, OSError) as error:
            _log_stream_closed(sender.host, _get_error_code(error), error)
        except Exception as error:
            # An error in a message handler closes this stream only.
            _log_stream_closed(sender.host, Code.HANDLER_FAILED, error)
        finally:
            self._accepted_writers.discard(writer)
            writer.close()
            for callback in self._closed_callbacks:
                callback(sender.host)

    async def _read_messages(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: "_StreamSender",
    ) -> None:
        unpacker = make_unpacker()
        while data := await reader.read(READ_SIZE_BYTES):
            unpacker.feed(data)
            for items in unpacker:
                message = unpack_message(items)
                if isinstance(message, Hello):
                    sender.host = message.host
                    self._retry_connection(message.host)
                elif isinstance(message, KeepAlive):
                    writer.write(encode_message(KeepAliveReply(message.sequence)))
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


class _StreamSender:
    """The sending host of a stream, ``unknown`` until its ``Hello`` arrives."""

    host = "unknown"


class _OutgoingStream:
    """The sending side of the stream to one host.

    Messages are buffered while there is no connection. A connection is probed
    with keep-alives, of which at most one is outstanding.

    Args:
        host: The name of the receiving host.

    Attributes:
        peer_is_up: Set when the host has opened a stream to this one.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.peer_is_up = asyncio.Event()
        self._writer: asyncio.StreamWriter | None = None
        self._pending = bytearray()
        self._last_write_s = 0.0
        self._last_stamp = Stamp(0, 0)
        # Of the last keep-alive: its sequence number and when it was sent.
        self._sent_sequence = 0
        self._sent_s = 0.0
        self._acknowledged_sequence = 0

    def is_in_use(self, now_s: float) -> bool:
        """Return whether a message was sent within ``IDLE_TIMEOUT_S``."""
        return now_s - self._last_write_s < IDLE_TIMEOUT_S

    def encode_stamp(self, stamp: Stamp) -> bytes:
        """Encode a clock stamp; return no bytes if it equals the last one sent."""
        if stamp == self._last_stamp:
            return b""
        self._last_stamp = stamp
        return encode_message(ClockStamp(*stamp))

    def write(self, data: bytes, now_s: float) -> bool:
        """Write to the connection, or buffer the data until there is one.

        Returns:
            Whether the data was accepted; False if too much is pending.
        """
        self._last_write_s = now_s
        if self._writer is None or self._writer.transport.is_closing():
            return self._buffer(data)
        if self._writer.transport.get_write_buffer_size() > MAX_PENDING_BYTES:
            return False
        self._writer.write(data)
        return True

    async def wait_for_peer(self, timeout_s: float) -> None:
        """Wait until the host is known to be up, or for ``timeout_s``."""
        self.peer_is_up.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.peer_is_up.wait()

    def check_liveness(self, now_s: float) -> None:
        """Close the connection if it is idle or silent, else send a keep-alive.

        No keep-alive is sent while nothing was written since the last one.
        """
        transport = self._writer.transport
        if transport.is_closing():
            return
        if not self.is_in_use(now_s):
            transport.close()
        elif self._sent_sequence == self._acknowledged_sequence:
            if self._last_write_s >= self._sent_s:
                self._sent_sequence += 1
                self._sent_s = now_s
                self._writer.write(encode_message(KeepAlive(self._sent_sequence)))
        elif now_s - self._sent_s > KEEP_ALIVE_TIMEOUT_S:
            transport.abort()

    def receive_reply(self, reply: KeepAliveReply) -> None:
        """Record the peer's reply to a keep-alive."""
        self._acknowledged_sequence = reply.sequence

    def attach(self, writer: asyncio.StreamWriter, hello: Hello) -> None:
        """Start to use a new connection and send the buffered messages."""
        writer.write(encode_message(hello) + bytes(self._pending))
        self._pending.clear()
        self._writer = writer
        self._acknowledged_sequence = self._sent_sequence
        self._sent_s = 0.0

    def detach(self) -> None:
        """Stop using the connection; later messages are buffered."""
        self._writer = None
        self._last_stamp = Stamp(0, 0)

    def _buffer(self, data: bytes) -> bool:
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            return False
        self._pending += data
        return True


async def _read_replies(stream: _OutgoingStream, reader: asyncio.StreamReader) -> None:
    unpacker = make_unpacker()
    while data := await reader.read(READ_SIZE_BYTES):
        unpacker.feed(data)
        for items in unpacker:
            message = unpack_message(items)
            if not isinstance(message, KeepAliveReply):
                raise MessageError(f"unexpected {type(message).__name__}")
            stream.receive_reply(message)


@singledispatch
def _get_error_code(error: Exception) -> Code:
    """Return the result code of an error that closed a stream."""
    return Code.MESSAGE_MALFORMED


@_get_error_code.register
def _(error: UnknownMessageError) -> Code:
    return Code.MESSAGE_UNKNOWN


@_get_error_code.register
def _(error: OSError) -> Code:
    return Code.PEER_UNREACHABLE


def _log_stream_closed(host: str, code: Code, error: Exception) -> None:
    log_message("peers:stream_closed", host=host, code=int(code), reason=repr(error))
