"""The documents in force on this host, whose versions never decrease."""

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
# Versions of each document that can serve as the base of a difference.
RETAINED_VERSION_COUNT = 8
RETAINED_REFUSAL_COUNT = 8


class DocumentRefusal(NamedTuple):
    """A published value that failed validation.

    Attributes:
        name: Name of the document that the value was published as.
        version: The version that the value states, 0 if none can be read.
        text: The field's path, what was found and what is allowed.
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
        self._retained: dict[str, list[PublishedDocument]] = {
            name: [] for name in DOCUMENT_NAMES
        }
        self._callbacks: dict[str, list[Callable[[PublishedDocument], None]]] = {
            name: [] for name in DOCUMENT_NAMES
        }
        self._refusals: list[DocumentRefusal] = []
        self._refusal_callbacks: list[Callable[[DocumentRefusal], None]] = []

    def get(self, name: DocumentName) -> PublishedDocument | None:
        """Return the document in force, or None if there has been none."""
        retained = self._retained[name]
        return retained[-1] if retained else None

    def list_retained(self, name: DocumentName) -> list[PublishedDocument]:
        """Return the retained versions of a document, oldest first."""
        return list(self._retained[name])

    def find_retained(
        self, name: DocumentName, version: int, digest: str | None = None
    ) -> PublishedDocument | None:
        """Return a retained version of a document, or None.

        Args:
            name: Name of the document.
            version: The version to find.
            digest: The digest to find; None for the newest of that version.
        """
        for published in reversed(self._retained[name]):
            if published.version == version and digest in (None, published.digest):
                return published
        return None

    def apply(self, published: PublishedDocument) -> Result[PublishedDocument, Failure]:
        """Put a validated document in force if it is newer.

        Args:
            published: The validated document.

        Returns:
            Always Ok, with the document in force afterwards; an older document
            is ignored without an error. The type is that of ``apply_value``.
        """
        current = self.get(published.name)
        if current is not None and published.version_key <= current.version_key:
            return Ok(current)
        retained = self._retained[published.name]
        retained.append(published)
        del retained[:-RETAINED_VERSION_COUNT]
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
        """Validate a decoded JSON value and put it in force if it is newer.

        Args:
            name: Name of the document that the value was published as.
            value: The decoded JSON value.

        Returns:
            Ok with the document in force afterwards; or the failure
            ``CONFIGURATION_INVALID`` if the value is invalid, in which case the
            last valid document stays in force.
        """
        try:
            published = check_document_update(name, value, self.get(name))
        except SettingsError as error:
            return self.record_refusal(name, _read_version(value), str(error))
        return self.apply(published)

    def record_refusal(
        self, name: DocumentName, version: int, text: str
    ) -> Result[PublishedDocument, Failure]:
        """Record a refused value and notify subscribers if it is a new one.

        Args:
            name: Name of the document that the value was published as.
            version: The version that the value states.
            text: Why the value was refused.

        Returns:
            The failure ``CONFIGURATION_INVALID``.
        """
        refusal = DocumentRefusal(name, version, text)
        if refusal not in self._refusals:
            self._refusals.append(refusal)
            del self._refusals[:-RETAINED_REFUSAL_COUNT]
            log_message("configuration:refused", **refusal._asdict())
            for callback in list(self._refusal_callbacks):
                callback(refusal)
        return Error(Failure(Code.CONFIGURATION_INVALID, f"{name}: {text}"))

    def list_refusals(self) -> list[DocumentRefusal]:
        """Return the last ``RETAINED_REFUSAL_COUNT`` refusals, oldest first."""
        return list(self._refusals)

    def subscribe(
        self, name: DocumentName, callback: Callable[[PublishedDocument], None]
    ) -> None:
        """Subscribe to the documents of a name that come into force."""
        self._callbacks[name].append(callback)

    def subscribe_refusals(self, callback: Callable[[DocumentRefusal], None]) -> None:
        """Subscribe to refusals that were not recorded before."""
        self._refusal_callbacks.append(callback)


def _read_version(value: Any) -> int:
    version = value.get("version") if isinstance(value, dict) else None
    return version if type(version) is int else 0
