"""Whole documents as compressed parts that fit into messages."""

import zlib
from typing import Any

import msgspec

from oleanderpier.configuration.documents import PublishedDocument
from oleanderpier.configuration.messages import DocumentPart
from oleanderpier.exception import MessageError

__all__ = ["PartBuffer", "split_document"]

PART_BYTES = 16 * 1024
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
MAX_PARTS = 256


def split_document(published: PublishedDocument) -> list[DocumentPart]:
    """Return a document as parts of compressed JSON."""
    data = zlib.compress(msgspec.json.encode(published.body), level=6)
    starts = range(0, len(data), PART_BYTES)
    return [
        DocumentPart(
            published.name,
            published.version,
            published.digest,
            index,
            len(starts),
            data[start : start + PART_BYTES],
        )
        for index, start in enumerate(starts)
    ]


class PartBuffer:
    """The parts of one document as they come in, in order.

    Parts of another version start it anew.
    """

    def __init__(self) -> None:
        self._order: tuple[int, str] = (0, "")
        self._parts: list[bytes] = []

    def __len__(self) -> int:
        return len(self._parts)

    def add(self, part: DocumentPart) -> Any | None:
        """Take in a part and return the decoded value once all are there.

        Raises:
            MessageError: The parts are no JSON of a permitted size.
        """
        order = (part.version, part.digest)
        if order != self._order:
            self._order = order
            self._parts = []
        if part.index == len(self._parts) < MAX_PARTS:
            self._parts.append(part.data)
        if len(self._parts) < part.count:
            return None
        return _decode_parts(self._parts)


def _decode_parts(parts: list[bytes]) -> Any:
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(b"".join(parts), MAX_DOCUMENT_BYTES)
        return msgspec.json.decode(data)
    except (zlib.error, msgspec.DecodeError) as error:
        raise MessageError(f"document parts: {error}") from error
