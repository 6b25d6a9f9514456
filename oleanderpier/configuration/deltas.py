"""Differences between two versions of a document."""

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
    """What changed in one list of named entries.

    Attributes:
        field: The list's field in the document.
        removed: Names of the entries that went.
        entries: Entries that changed or were added; those come last.
    """

    field: str
    removed: list[str]
    entries: list[Any]


@register_message(42)
class DocumentDelta(NamedTuple):
    """The way from one version of a document to another.

    Attributes:
        name: Which document.
        base_version: The version to which the changes apply.
        base_digest: The digest of that version.
        version: The version that comes out.
        digest: The digest that has to come out.
        fields: Each field that is no list of entries, with its new value.
        changes: What changed in the lists of entries.
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
    """Return the way from one version to another.

    Args:
        base: The version that the receiver has.
        target: The version that it should get.

    Returns:
        The difference, or None where entries changed their order, which a
        difference cannot say.

    Examples:
        >>> from oleanderpier.configuration import check_document
        >>> one = check_document("hosts", {"version": 1, "hosts": []})
        >>> two = check_document("hosts", {"version": 2, "hosts": []})
        >>> apply_delta(one, make_delta(one, two)) == two
        True
    """
    lists = list_entry_fields(target.name)
    changes = [_compare_entries(base, target, field) for field in lists]
    delta = DocumentDelta(
        target.name,
        base.version,
        base.digest,
        target.version,
        target.digest,
        [(key, value) for key, value in target.body.items() if key not in lists],
        changes,
    )
    for change in changes:
        if (
            _change_entries(base.body[change.field], change)
            != target.body[change.field]
        ):
            return None
    return delta


def apply_delta(base: PublishedDocument, delta: DocumentDelta) -> PublishedDocument:
    """Return the version to which a delta leads.

    Only what changed is checked: the rest was when the base came into force.

    Args:
        base: The version that the delta names as its base.
        delta: The difference.

    Returns:
        The document; its digest may differ from the delta's, which the caller
        has to compare.

    Raises:
        SettingsError: A changed entry or field does not match its schema.
    """
    body = dict(delta.fields)
    for change in delta.changes:
        body[change.field] = _change_entries(base.body.get(change.field, []), change)
    return check_document_update(delta.name, body, base)


def check_document_update(
    name: DocumentName, value: Any, base: PublishedDocument | None = None
) -> PublishedDocument:
    """Check a value like ``check_document``, faster where little changed.

    Args:
        name: Which document it should be.
        value: The decoded JSON value.
        base: An earlier version, whose entries need no second check.

    Returns:
        The checked document, whose unchanged entries are those of the base.

    Raises:
        SettingsError: The value does not match; nothing of it is applied.
    """
    if base is None or not isinstance(value, dict):
        return check_document(name, value)
    lists = list_entry_fields(name)
    if not all(isinstance(value.get(field), list) for field in lists):
        return check_document(name, value)
    changed = dict(value)
    for field in lists:
        known = _index_entries(base.body[field])
        changed[field] = [e for e in value[field] if not _is_known(known, e)]
    try:
        checked = check_document(name, changed)
    except SettingsError:
        return check_document(name, value)
    return _join_entries(value, base, checked, lists)


def _join_entries(
    value: Any, base: PublishedDocument, checked: PublishedDocument, lists: list[str]
) -> PublishedDocument:
    """Put the checked entries among the known ones, in the value's order."""
    body = dict(checked.body)
    for field in lists:
        entries = _index_entries(base.body[field])
        entries.update(_index_entries(checked.body[field]))
        body[field] = [entries[entry["name"]] for entry in value[field]]
    whole = make_published(checked.name, body)
    names_used_once = all(
        len(_index_entries(body[field])) == len(body[field]) for field in lists
    )
    same = make_published(checked.name, value).digest == whole.digest
    if not (names_used_once and same):
        return check_document(checked.name, value)
    return whole


def _index_entries(entries: list[Any]) -> dict[str, Any]:
    return {entry["name"]: entry for entry in entries}


def _is_known(known: dict[str, Any], entry: Any) -> bool:
    name = entry.get("name") if isinstance(entry, dict) else None
    return isinstance(name, str) and known.get(name) == entry


def _compare_entries(
    base: PublishedDocument, target: PublishedDocument, field: str
) -> EntryChanges:
    old = _index_entries(base.body[field])
    new = _index_entries(target.body[field])
    removed = [name for name in old if name not in new]
    changed = [entry for name, entry in new.items() if old.get(name) != entry]
    return EntryChanges(field, removed, changed)


def _change_entries(entries: list[Any], change: EntryChanges) -> list[Any]:
    removed = set(change.removed)
    changed = {
        entry["name"]: entry
        for entry in change.entries
        if isinstance(entry, dict) and isinstance(entry.get("name"), str)
    }
    kept = [
        changed.pop(entry["name"], entry)
        for entry in entries
        if entry["name"] not in removed
    ]
    return kept + list(changed.values())
