"""How the end of a response's body is found.

References:
    RFC 9112, section 6.3, "Message Body Length".
"""

from collections.abc import Mapping
from enum import Enum

__all__ = ["Framing", "find_framing"]


class Framing(Enum):
    """What ends the body of a response.

    Attributes:
        LENGTH: Its content length.
        CHUNKS: The last chunk.
        CONNECTION: The end of the connection, which is also how a response ends
            that was broken off.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


def find_framing(headers: Mapping[str, str]) -> Framing:
    """Return what ends the body of a response that may have one.

    Args:
        headers: The headers of the response, by case-insensitive name.

    Examples:
        >>> find_framing({"Transfer-Encoding": "gzip, chunked"})
        <Framing.CHUNKS: 'chunks'>
        >>> find_framing({})
        <Framing.CONNECTION: 'connection'>
    """
    encodings = headers.get("Transfer-Encoding")
    if encodings is not None:
        is_chunked = encodings.rpartition(",")[2].strip().lower() == "chunked"
        return Framing.CHUNKS if is_chunked else Framing.CONNECTION
    return Framing.LENGTH if "Content-Length" in headers else Framing.CONNECTION
