"""Lists the fields of the settings, for pages and help."""

from typing import Any, NamedTuple

import msgspec

from oleanderpier.settings.schema import DEFAULT_LIMITS, Settings

__all__ = ["SettingRow", "list_settings"]

_BOUNDS = {
    "minimum": "at least {}",
    "exclusiveMinimum": "above {}",
    "maximum": "at most {}",
    "pattern": "matching {}",
}


class SettingRow(NamedTuple):
    """One field of the settings.

    Attributes:
        path: The field's path, as refusals name it.
        default: The value if it is left out; None if it is required.
        allowed: The type and its bounds.
        meaning: One sentence.
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
    return _list_fields(root, schemas, "$")


def _list_fields(node: dict, schemas: dict, path: str) -> list[SettingRow]:
    if "$ref" in node:
        node = schemas[node["$ref"].rpartition("/")[2]]
    if node["type"] == "array":
        return _list_fields(node["items"], schemas, f"{path}[]")
    if node["type"] != "object":
        return [_describe_field(node, path)]
    rows = []
    for name, field in node["properties"].items():
        rows += _list_fields(field, schemas, f"{path}.{name}")
    return rows


def _describe_field(node: dict, path: str) -> SettingRow:
    default = None
    if path.startswith("$.limits."):
        default = DEFAULT_LIMITS[path.rpartition(".")[2]]
    bounds = [text.format(node[key]) for key, text in _BOUNDS.items() if key in node]
    allowed = ", ".join([node["type"], *bounds])
    return SettingRow(path, default, allowed, node["description"])
