"""Messages between hosts about published documents."""

from typing import NamedTuple

from oleanderpier.configuration.documents import DocumentName
from oleanderpier.utils import register_message

__all__ = [
    "DocumentPart",
    "DocumentQuery",
    "DocumentRefused",
    "DocumentVersion",
    "DocumentVersions",
    "PlatformReachable",
]


class DocumentVersion(NamedTuple):
    """The version of a document that a host has in force.

    Attributes:
        name: Name of the document.
        version: The platform's version.
        digest: Digest of the document, 16 hex digits.
    """

    name: DocumentName
    version: int
    digest: str


@register_message(40)
class DocumentVersions(NamedTuple):
    """The versions that the sender has in force.

    Attributes:
        sender_ready: Whether the sender serves callers.
        wants_reply: Whether the receiver should send its own versions back.
        versions: One entry for each document that the sender has.
    """

    sender_ready: bool
    wants_reply: bool
    versions: list[DocumentVersion]


@register_message(41)
class DocumentQuery(NamedTuple):
    """Requests a document that is newer than the sender's.

    Attributes:
        name: Name of the document.
        version: The sender's version, 0 for none.
        digest: The digest of that version, "" for none.
        part: Index of the part of the whole document to send if the receiver
            cannot send a difference to the sender's version.
    """

    name: DocumentName
    version: int
    digest: str
    part: int


@register_message(43)
class DocumentPart(NamedTuple):
    """One part of a whole document as compressed JSON.

    Attributes:
        name: Name of the document.
        version: Version of the document.
        digest: Digest of the document, 16 hex digits.
        index: Index of the part, from 0.
        count: Number of parts of the document.
        data: The bytes of the part.
    """

    name: DocumentName
    version: int
    digest: str
    index: int
    count: int
    data: bytes


@register_message(44)
class DocumentRefused(NamedTuple):
    """Reports that a published value failed validation on some host.

    Attributes:
        name: Name of the document.
        version: The version that the value states.
        text: Why the value was refused.
    """

    name: DocumentName
    version: int
    text: str


@register_message(45)
class PlatformReachable(NamedTuple):
    """Reports that the platform has just responded to the sender.

    Attributes:
        sender_is_selected: Whether the sender is a selected watcher of its
            failure domain, rather than a substitute.
    """

    sender_is_selected: bool
