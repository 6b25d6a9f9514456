"""What hosts tell each other about published documents."""

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
    """Which version of a document a host has in force."""

    name: DocumentName
    version: int
    digest: str


@register_message(40)
class DocumentVersions(NamedTuple):
    """Which versions the sender has in force.

    Attributes:
        ready: Whether the sender serves callers.
        answer: Whether the sender wants to be told the receiver's versions.
        versions: One for each document that it has.
    """

    ready: bool
    answer: bool
    versions: list[DocumentVersion]


@register_message(41)
class DocumentQuery(NamedTuple):
    """Asks for a document that is newer than the sender's.

    Attributes:
        name: Which document.
        version: The sender's version, 0 for none.
        digest: The digest of that version.
        part: Which part of the whole document is wanted if the receiver
            cannot say the difference.
    """

    name: DocumentName
    version: int
    digest: str
    part: int


@register_message(43)
class DocumentPart(NamedTuple):
    """One part of a whole document as compressed JSON.

    Attributes:
        name: Which document.
        version: Its version.
        digest: Its digest.
        index: Which part, from 0.
        count: How many parts there are.
        data: The part's bytes.
    """

    name: DocumentName
    version: int
    digest: str
    index: int
    count: int
    data: bytes


@register_message(44)
class DocumentRefused(NamedTuple):
    """Says that a published value failed its checks on some host.

    Attributes:
        name: Which document.
        version: The version that it claims.
        text: Why it was refused.
    """

    name: DocumentName
    version: int
    text: str


@register_message(45)
class PlatformReachable(NamedTuple):
    """Says that the sender has just had an answer from the platform.

    Attributes:
        ranked: Whether the sender is one of its domain's chosen watchers.
    """

    ranked: bool
