"""The documents in force on this host: their versions only rise."""

from collections.abc import Callable
from typing import Any, NamedTuple, get_args

from eliot import log_message
from expression import Error, Ok, Result

from oleanderpier.configuration.deltas import check_document_update
from oleanderpier.configuration.documents import DocumentName, PublishedDocument
from oleanderpier.exception import SettingsError
from oleanderpier.results import Code, Failure

__all__ = ["DOCUMENT_NAMES", "DocumentRefusal", "Documents"]

DOCUMENT_NAMES: tuple[DocumentName, ...] = get_args(DocumentName)
KEPT_VERSIONS = 8
KEPT_REFUSALS = 8


class DocumentRefusal(NamedTuple):
    """A published value that failed its checks.

    Attributes:
        name: Which document it should have been.
        version: The version it claims, 0 where none can be read.
        text: The path, what was found and what is allowed.
    """

    name: DocumentName
    version: int
    text: str


class Documents:
    """The three published documents in force on this host.

    A document in force is replaced only by one with a higher
    ``PublishedDocument.version_key``, whichever way it arrived. The last few
    versions are retained, as the bases of differences.

    Examples:
        >>> documents = Documents()
        >>> documents.apply_value("hosts", {"version": 3, "hosts": []}).is_ok()
        True
        >>> documents.apply_value("hosts", {"version": 2, "hosts": []}).ok.version
        3
    """

    def __init__(self) -> None:
        self._kept: dict[str, list[PublishedDocument]] = {
            name: [] for name in DOCUMENT_NAMES
        }
        self._callbacks: dict[str, list[Callable[[PublishedDocument], None]]] = {
            name: [] for name in DOCUMENT_NAMES
        }
        self._refused: list[DocumentRefusal] = []
        self._refusal_callbacks: list[Callable[[DocumentRefusal], None]] = []

    def get(self, name: DocumentName) -> PublishedDocument | None:
        """Return the document in force, or None before the first one."""
        kept = self._kept[name]
        return kept[-1] if kept else None

    def list_retained(self, name: DocumentName) -> list[PublishedDocument]:
        """Return the last few versions that were in force, oldest first."""
        return list(self._kept[name])

    def find_retained(
        self, name: DocumentName, version: int, digest: str | None = None
    ) -> PublishedDocument | None:
        """Return a kept version of a document, or None.

        Args:
            name: Which document.
            version: Its version.
            digest: Its digest; None takes the newest of that version.
        """
        for published in reversed(self._kept[name]):
            if published.version == version and digest in (None, published.digest):
                return published
        return None

    def apply(self, published: PublishedDocument) -> Result[PublishedDocument, Failure]:
        """Put a checked document in force if it is newer.

        Args:
            published: The checked document.

        Returns:
            Ok with the document that is in force afterwards: an older one
            than that is no error. The result has an error side for the sake
            of ``apply_value``.
        """
        current = self.get(published.name)
        if current is not None and published.version_key <= current.version_key:
            return Ok(current)
        kept = self._kept[published.name]
        kept.append(published)
        del kept[:-KEPT_VERSIONS]
        log_message(
            "configuration:in_force",
            document=published.name,
            version=published.version,
            digest=published.digest,
        )
        for callback in list(self._callbacks[published.name]):
            callback(published)
        return Ok(self.get(published.name) or published)

    def apply_value(
        self, name: DocumentName, value: Any
    ) -> Result[PublishedDocument, Failure]:
        """Check a decoded JSON value and put it in force if it is newer.

        Args:
            name: Which document it should be.
            value: The decoded JSON value.

        Returns:
            Ok with the document in force afterwards, or the failure
            ``CONFIGURATION_INVALID`` when the value fails its checks, which
            leaves the last good one in force.
        """
        try:
            published = check_document_update(name, value, self.get(name))
        except SettingsError as error:
            return self.record_refusal(name, _read_version(value), str(error))
        return self.apply(published)

    def record_refusal(
        self, name: DocumentName, version: int, text: str
    ) -> Result[PublishedDocument, Failure]:
        """Remember that a value was refused and return the failure.

        Args:
            name: Which document it should have been.
            version: The version that it claims.
            text: Why it was refused.
        """
        refusal = DocumentRefusal(name, version, text)
        if refusal not in self._refused:
            self._refused.append(refusal)
            del self._refused[:-KEPT_REFUSALS]
            log_message("configuration:refused", **refusal._asdict())
            for callback in list(self._refusal_callbacks):
                callback(refusal)
        return Error(Failure(Code.CONFIGURATION_INVALID, f"{name}: {text}"))

    def list_refusals(self) -> list[DocumentRefusal]:
        """Return the last few refused values, oldest first."""
        return list(self._refused)

    def subscribe(
        self, name: DocumentName, callback: Callable[[PublishedDocument], None]
    ) -> None:
        """Call back with each document of a name that comes into force."""
        self._callbacks[name].append(callback)

    def subscribe_refusals(self, callback: Callable[[DocumentRefusal], None]) -> None:
        """Call back with each refusal that was not known before."""
        self._refusal_callbacks.append(callback)


def _read_version(value: Any) -> int:
    version = value.get("version") if isinstance(value, dict) else None
    return version if type(version) is int else 0
