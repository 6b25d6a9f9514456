"""Splits whole documents into compressed parts that fit into messages."""

import zlib
from typing import Any

import msgspec

from oleanderpier.configuration.documents import PublishedDocument
from oleanderpier.configuration.messages import DocumentPart
from oleanderpier.exception import MessageError

__all__ = ["PartBuffer", "split_document"]

PART_BYTES = 16 * 1024
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
MAX_PART_COUNT = 256


def split_document(published: PublishedDocument) -> list[DocumentPart]:
    """Return the compressed JSON of a document in parts of ``PART_BYTES``."""
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
    """Collects the parts of one document, received in order.

    A part of another version clears the buffer; a part out of order is dropped.
    """

    def __init__(self) -> None:
        self._version_key: tuple[int, str] = (0, "")
        self._parts: list[bytes] = []

    def __len__(self) -> int:
        return len(self._parts)

    def add(self, part: DocumentPart) -> Any | None:
        """Add a part.

        Returns:
            The decoded JSON value once all parts are there, otherwise None.

        Raises:
            MessageError: The parts are not compressed JSON, or the document is
                larger than ``MAX_DOCUMENT_BYTES``.
        """
        version_key = (part.version, part.digest)
        if version_key != self._version_key:
            self._version_key = version_key
            self._parts = []
        if part.index == len(self._parts) < MAX_PART_COUNT:
            self._parts.append(part.data)
        if len(self._parts) < part.count:
            return None
        return _decode_parts(self._parts)


def _decode_parts(parts: list[bytes]) -> Any:
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(b"".join(parts), MAX_DOCUMENT_BYTES)
        return msgspec.json.decode(data)
    except (zlib.error, msgspec.DecodeError) as error:
        raise MessageError(
            f"document parts are not compressed JSON: {error}"
        ) from error
