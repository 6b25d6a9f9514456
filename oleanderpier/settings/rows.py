"""Lists the fields of the settings, for documentation and help texts."""

from typing import Any, NamedTuple

import msgspec

from oleanderpier.settings.schema import DEFAULT_LIMITS, Settings

__all__ = ["SettingRow", "list_settings"]

_BOUND_TEXTS = {
    "minimum": "at least {}",
    "exclusiveMinimum": "above {}",
    "maximum": "at most {}",
    "pattern": "matching {}",
}


class SettingRow(NamedTuple):
    """One field of the settings.

    Attributes:
        path: The field's path, as errors name it, such as ``$.limits.drain_s``.
        default: The default value; None if the field is required.
        allowed: The type of the field and its bounds.
        meaning: One sentence that describes the field.
    """

    path: str
    default: Any
    allowed: str
    meaning: str


def list_settings() -> list[SettingRow]:
    """Return a row for each field of a settings file.

    Examples:
        >>> rows = {row.path: row for row in list_settings()}
        >>> rows["$.caller_port"].allowed
        'integer, at least 1, at most 65535'
        >>> rows["$.limits.events_kept"].default
        4096
    """
    (root,), schemas = msgspec.json.schema_components([Settings])
    return _make_rows(root, schemas, "$")


def _make_rows(schema: dict, schemas: dict, path: str) -> list[SettingRow]:
    if "$ref" in schema:
        schema = schemas[schema["$ref"].rpartition("/")[2]]
    if schema["type"] == "array":
        return _make_rows(schema["items"], schemas, f"{path}[]")
    if schema["type"] != "object":
        return [_make_row(schema, path)]
    rows = []
    for name, field in schema["properties"].items():
        rows += _make_rows(field, schemas, f"{path}.{name}")
    return rows


def _make_row(schema: dict, path: str) -> SettingRow:
    default = None
    if path.startswith("$.limits."):
        default = DEFAULT_LIMITS[path.rpartition(".")[2]]
    bounds = [
        text.format(schema[key]) for key, text in _BOUND_TEXTS.items() if key in schema
    ]
    allowed = ", ".join([schema["type"], *bounds])
    return SettingRow(path, default, allowed, schema["description"])
