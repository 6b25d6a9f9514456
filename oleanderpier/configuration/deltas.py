"""Differences between two versions of a published document."""

from typing import Any, NamedTuple

from oleanderpier.configuration.documents import (
    DocumentName,
    PublishedDocument,
    check_document,
    list_entry_fields,
    make_published,
)
from oleanderpier.exception import SettingsError
from oleanderpier.utils import register_message

__all__ = [
    "DocumentDelta",
    "EntryChanges",
    "apply_delta",
    "check_document_update",
    "make_delta",
]


class EntryChanges(NamedTuple):
    """Changes of one list of named entries.

    Attributes:
        field: Name of the document's field that holds the list.
        removed_names: Names of the removed entries.
        changed_entries: Changed and added entries; added ones are appended to
            the list.
    """

    field: str
    removed_names: list[str]
    changed_entries: list[Any]


@register_message(42)
class DocumentDelta(NamedTuple):
    """The difference between two versions of a document.

    Attributes:
        name: Name of the document.
        base_version: The version to which the changes apply.
        base_digest: The digest of that version.
        version: The version that results.
        digest: The expected digest of the result.
        fields: Names and new values of all fields that are not lists of entries.
        changes: Changes of each list of entries.
    """

    name: DocumentName
    base_version: int
    base_digest: str
    version: int
    digest: str
    fields: list[tuple[str, Any]]
    changes: list[EntryChanges]


def make_delta(
    base: PublishedDocument, target: PublishedDocument
) -> DocumentDelta | None:
    """Return the difference between two versions of a document.

    Args:
        base: The version that the receiver has in force.
        target: The version to which the difference leads.

    Returns:
        The difference, or None if entries have changed their order, which a
        difference cannot represent.

    Examples:
        >>> from oleanderpier.configuration import check_document
        >>> one = check_document("hosts", {"version": 1, "hosts": []})
        >>> two = check_document("hosts", {"version": 2, "hosts": []})
        >>> apply_delta(one, make_delta(one, two)) == two
        True
    """
    list_fields = list_entry_fields(target.name)
    changes = [_compare_entries(base, target, field) for field in list_fields]
    delta = DocumentDelta(
        target.name,
        base.version,
        base.digest,
        target.version,
        target.digest,
        [(key, value) for key, value in target.body.items() if key not in list_fields],
        changes,
    )
    for change in changes:
        if (
            _apply_entry_changes(base.body[change.field], change)
            != target.body[change.field]
        ):
            return None
    return delta


def apply_delta(base: PublishedDocument, delta: DocumentDelta) -> PublishedDocument:
    """Apply a difference to its base version.

    Only changed entries and fields are validated; the others were validated when
    the base came into force.

    Args:
        base: The version that the difference names as its base.
        delta: The difference.

    Returns:
        The resulting document. The caller has to compare its digest with the
        one in the difference.

    Raises:
        SettingsError: A changed entry or field does not match its schema.
    """
    body = dict(delta.fields)
    for change in delta.changes:
        body[change.field] = _apply_entry_changes(
            base.body.get(change.field, []), change
        )
    return check_document_update(delta.name, body, base)


def check_document_update(
    name: DocumentName, value: Any, base: PublishedDocument | None = None
) -> PublishedDocument:
    """Validate a value as ``check_document`` does, faster if few entries changed.

    Args:
        name: Name of the document that the value was published as.
        value: The decoded JSON value.
        base: An earlier version. Entries that equal those of the base are not
            validated again. None validates the whole value.

    Returns:
        The validated document, which shares its unchanged entries with the base.

    Raises:
        SettingsError: The value does not match the schema.
    """
    if base is None or not isinstance(value, dict):
        return check_document(name, value)
    list_fields = list_entry_fields(name)
    if not all(isinstance(value.get(field), list) for field in list_fields):
        return check_document(name, value)
    reduced_value = dict(value)
    for field in list_fields:
        base_entries = _index_entries(base.body[field])
        reduced_value[field] = [
            e for e in value[field] if not _is_unchanged(base_entries, e)
        ]
    try:
        checked = check_document(name, reduced_value)
    except SettingsError:
        # The path in the error has to count the entries of the whole list.
        return check_document(name, value)
    return _merge_checked_entries(value, base, checked, list_fields)


def _merge_checked_entries(
    value: Any,
    base: PublishedDocument,
    checked: PublishedDocument,
    list_fields: list[str],
) -> PublishedDocument:
    """Merge the validated entries with those of the base, in the value's order."""
    body = dict(checked.body)
    for field in list_fields:
        entries = _index_entries(base.body[field])
        entries.update(_index_entries(checked.body[field]))
        body[field] = [entries[entry["name"]] for entry in value[field]]
    merged = make_published(checked.name, body)
    names_are_unique = all(
        len(_index_entries(body[field])) == len(body[field]) for field in list_fields
    )
    digests_match = make_published(checked.name, value).digest == merged.digest
    if not (names_are_unique and digests_match):
        return check_document(checked.name, value)
    return merged


def _index_entries(entries: list[Any]) -> dict[str, Any]:
    return {entry["name"]: entry for entry in entries}


def _is_unchanged(base_entries: dict[str, Any], entry: Any) -> bool:
    name = entry.get("name") if isinstance(entry, dict) else None
    return isinstance(name, str) and base_entries.get(name) == entry


def _compare_entries(
    base: PublishedDocument, target: PublishedDocument, field: str
) -> EntryChanges:
    old = _index_entries(base.body[field])
    new = _index_entries(target.body[field])
    removed = [name for name in old if name not in new]
    changed = [entry for name, entry in new.items() if old.get(name) != entry]
    return EntryChanges(field, removed, changed)


def _apply_entry_changes(entries: list[Any], change: EntryChanges) -> list[Any]:
    removed = set(change.removed_names)
    changed = {
        entry["name"]: entry
        for entry in change.changed_entries
        if isinstance(entry, dict) and isinstance(entry.get("name"), str)
    }
    kept = [
        changed.pop(entry["name"], entry)
        for entry in entries
        if entry["name"] not in removed
    ]
    return kept + list(changed.values())
