"""Responses with neither a length nor chunks, which end with their connection."""

import asyncio
import socket
import struct
import zlib
from collections.abc import Sequence
from enum import Enum

from aiohttp import web

__all__ = ["ConnectionEnd", "pick_end", "send_without_length"]

# SO_LINGER with a timeout of 0 s: closing the socket sends a TCP reset.
ZERO_LINGER = struct.pack("ii", 1, 0)


class ConnectionEnd(Enum):
    """How the connection of such a response ends.

    Attributes:
        AFTER_BODY: It is closed after the whole body.
        INSIDE_PART: It is closed inside a part of the body.
        RESET: It is reset inside a part of the body.
    """

    AFTER_BODY = "after_body"
    INSIDE_PART = "inside_part"
    RESET = "reset"


def pick_end(request_id: str, ends: Sequence[ConnectionEnd]) -> ConnectionEnd:
    """Return one of the ends, the same for each send of a request."""
    return ends[zlib.crc32(request_id.encode()) // 100 % len(ends)]


async def send_without_length(
    request: web.BaseRequest,
    headers: dict[str, str],
    parts: list[bytes],
    end: ConnectionEnd,
    interval_s: float,
) -> web.Response:
    """Send a response of status 200 and end its connection.

    Args:
        request: The request.
        headers: The headers of the response.
        parts: The body; unless the whole body is sent, the middle one is cut.
        end: How the connection ends.
        interval_s: Seconds after each part.

    Returns:
        A response that aiohttp can't send any more, as the connection is closing.
    """
    transport = request.transport
    lines = ["HTTP/1.1 200 OK", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    transport.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    if end is not ConnectionEnd.AFTER_BODY:
        middle = len(parts) // 2
        parts = [*parts[:middle], parts[middle][: len(parts[middle]) // 2]]
    for part in parts:
        transport.write(part)
        await asyncio.sleep(interval_s)
    if end is ConnectionEnd.RESET:
        opened = transport.get_extra_info("socket")
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        transport.abort()
    else:
        transport.close()
    return web.Response()
