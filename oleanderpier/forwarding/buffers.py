"""Bounds the bytes of responses that a host holds, over all its requests.

It answers this load pattern: a faulty server sends bytes without end to many requests
at a time. The largest response of the server with the most bytes is ended then, so that
the responses of other servers are not.

Large responses of sound servers may come at a time, too. One that states its length
waits until there is room for it, before its body is read.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

__all__ = ["MAX_BUFFERED_BYTES", "ResponseBuffer", "ResponseBuffers"]

MAX_BUFFERED_BYTES = 32 << 20


class _Waiter(NamedTuple):
    """A response that waits for room.

    Attributes:
        buffer: Its buffer.
        size: The number of bytes that it needs.
        granted: Done when they have been reserved.
    """

    buffer: "ResponseBuffer"
    size: int
    granted: asyncio.Future[None]


class ResponseBuffer:
    """The buffered bytes of one response.

    Args:
        buffers: The buffers of the host.
        server: The id of the server that sends the response.
        on_overflow: Called if the response has to be ended; it has to drop the bytes.

    Attributes:
        size: The number of bytes.
        server: The id of the server.
    """

    def __init__(
        self,
        buffers: "ResponseBuffers",
        server: str,
        on_overflow: Callable[[], None],
    ) -> None:
        self.size = 0
        self.server = server
        self._buffers = buffers
        self._on_overflow: Callable[[], None] | None = on_overflow

    def resize(self, size: int) -> None:
        """Set the number of bytes, and end responses while there are too many."""
        self._buffers.add(self, size - self.size)

    async def reserve(self, size: int) -> None:
        """Wait until there is room for a number of bytes, and count them."""
        await self._buffers.reserve(self, size)

    @property
    def may_end(self) -> bool:
        """Whether the response may be ended: it is not whole."""
        return self._on_overflow is not None

    def complete(self) -> None:
        """Count the bytes on, but keep them: the response is whole."""
        self._on_overflow = None

    def overflow(self) -> None:
        """End the response."""
        on_overflow = self._on_overflow
        self.close()
        on_overflow()

    def close(self) -> None:
        """Count the bytes no more."""
        self._on_overflow = None
        self._buffers.add(self, -self.size)


class ResponseBuffers:
    """The buffered bytes of all responses that a host receives.

    Args:
        max_bytes: Upper bound of their sum.

    Attributes:
        total_bytes: Their sum.

    Examples:
        >>> buffers = ResponseBuffers(max_bytes=100)
        >>> ended = []
        >>> first = buffers.open("s1", lambda: ended.append("first"))
        >>> second = buffers.open("s2", lambda: ended.append("second"))
        >>> first.resize(40)
        >>> second.resize(70)
        >>> ended, buffers.total_bytes
        (['second'], 40)
    """

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self.total_bytes = 0
        self._max_bytes = max_bytes
        self._used: set[ResponseBuffer] = set()
        self._waiters: deque[_Waiter] = deque()

    def open(self, server: str, on_overflow: Callable[[], None]) -> ResponseBuffer:
        """Return an empty buffer; see ``ResponseBuffer``."""
        return ResponseBuffer(self, server, on_overflow)

    async def reserve(self, buffer: ResponseBuffer, size: int) -> None:
        """Wait for room in the order of the calls; see ``ResponseBuffer.reserve``."""
        granted = asyncio.get_running_loop().create_future()
        self._waiters.append(_Waiter(buffer, size, granted))
        self._grant_room()
        await granted

    def _grant_room(self) -> None:
        """Reserve the bytes of those that wait, while there is room for the first."""
        while self._waiters:
            buffer, size, granted = self._waiters[0]
            if not granted.done():
                if self.total_bytes + size > self._max_bytes:
                    return
                granted.set_result(None)
                self.add(buffer, size - buffer.size)
            self._waiters.popleft()

    def add(self, buffer: ResponseBuffer, change: int) -> None:
        """Change the size of a buffer, and end responses while the sum is too large."""
        buffer.size += change
        self.total_bytes += change
        if buffer.size:
            self._used.add(buffer)
        else:
            self._used.discard(buffer)
        while self.total_bytes > self._max_bytes:
            largest = self._find_largest()
            if largest is None:
                return
            largest.overflow()
        if change < 0:
            self._grant_room()

    def _find_largest(self) -> ResponseBuffer | None:
        """Return the largest buffer of the server with the most bytes.

        None if all responses are whole.
        """
        by_server: Counter[str] = Counter()
        for buffer in self._used:
            by_server[buffer.server] += buffer.size
        return max(
            (buffer for buffer in self._used if buffer.may_end),
            key=lambda buffer: (by_server[buffer.server], buffer.size),
            default=None,
        )
