"""Reads the bodies of callers' requests as far as this process has room for them.

It answers this load pattern: hundreds of clients send large bodies at once, most of
which stop short of their end.
"""

import asyncio

from aiohttp.web_request import BaseRequest

from oleanderpier.connections import BodySpace
from oleanderpier.entry import EntryNode
from oleanderpier.results import Code, Failure

__all__ = ["BodyReader"]

# Upper bound of a request's body if the configuration sets none.
DEFAULT_MAX_BODY_BYTES = 4 << 20
# A request whose body is not complete by then is refused.
BODY_TIMEOUT_S = 10.0
# A request whose body makes no progress for this long is refused.
STALL_TIMEOUT_S = 5.0
# Room is reserved in steps of this size for a body without a stated length.
STEP_BYTES = 64 << 10
# Limits of the random time after which a caller without room is to come back.
MIN_RETRY_S = 0.5
MAX_RETRY_S = 1.5


class BodyReader:
    """Reads the body of one request.

    Args:
        node: The entry host.
        request: The request.
    """

    def __init__(self, node: EntryNode, request: BaseRequest) -> None:
        self._node = node
        self._request = request
        self._stall: asyncio.Timeout | None = None
        self._space: BodySpace = node.body_room.open(
            self._end_reading, node.timers.now()
        )

    def close(self) -> None:
        """Free the room of the body; the request has ended."""
        self._space.close()

    async def read(self) -> bytes | Failure:
        """Return the whole body.

        A failure if it is too large, incomplete or has no room; the rest of the body is
        not kept then.
        """
        request, node = self._request, self._node
        if not request.can_read_body:
            return b""
        limit = node.route_index.table.limits.max_body_bytes or DEFAULT_MAX_BODY_BYTES
        length = request.content_length
        if length is not None and length > limit:
            return Failure(Code.BODY_TOO_LARGE, f"over {limit} bytes")
        if not self._reserve(STEP_BYTES if length is None else length):
            return self._refuse("has no room")
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0
        body = bytearray()
        try:
            async with (
                node.forwarder.limits.limit(BODY_TIMEOUT_S),
                asyncio.timeout(STALL_TIMEOUT_S) as self._stall,
            ):
                failure = await self._read_parts(body, limit)
        except TimeoutError:
            failure = Failure(Code.REQUEST_INCOMPLETE, f"{len(body)} bytes came")
        self._stall = None
        if self._space.is_evicted:
            return self._refuse(f"was given up for others after {len(body)} bytes")
        if failure is not None:
            self._space.close()
            return failure
        self._space.is_whole = True
        return bytes(body)

    async def _read_parts(self, body: bytearray, limit: int) -> Failure | None:
        """Read the body to its end; return a failure if it is too large."""
        loop = asyncio.get_running_loop()
        while data := await self._request.content.readany():
            size = len(body) + len(data)
            if size > limit:
                return Failure(Code.BODY_TOO_LARGE, f"over {limit} bytes")
            if size > self._space.size and not self._reserve(size + STEP_BYTES):
                return self._refuse(f"has no room after {len(body)} bytes")
            body += data
            self._space.progress_s = self._node.timers.now()
            self._stall.reschedule(loop.time() + STALL_TIMEOUT_S)
        return None

    def _reserve(self, size: int) -> bool:
        return self._space.reserve(size, self._node.timers.now())

    def _end_reading(self) -> None:
        """Stop reading, as the room of the body is needed for others."""
        if self._stall is not None and not self._stall.expired():
            self._stall.reschedule(asyncio.get_running_loop().time())

    def _refuse(self, reason: str) -> Failure:
        """Return the failure to refuse the request with."""
        room = self._node.body_room
        return Failure(
            Code.HOST_FULL,
            f"the body {reason}, {room.total_bytes} bytes of bodies in progress",
            self._node.forwarder.rng.uniform(MIN_RETRY_S, MAX_RETRY_S),
        )
