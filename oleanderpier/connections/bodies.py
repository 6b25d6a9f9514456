"""Reads whole bodies of bounded size."""

import aiohttp

from oleanderpier.exception import MessageError

__all__ = ["read_body"]


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body of a response.

    Raises:
        MessageError: It is larger than ``max_bytes``.
    """
    parts: list[bytes] = []
    while data := await response.content.readany():
        if response.content.total_bytes > max_bytes:
            raise MessageError(f"a body of more than {max_bytes} bytes")
        parts.append(data)
    return b"".join(parts)
