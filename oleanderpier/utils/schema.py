"""Validation of JSON documents against ``TypedDict`` schemas."""

import re
from functools import cache
from typing import Any, get_args, get_origin, get_type_hints, is_typeddict

import msgspec

from oleanderpier.exception import SettingsError

__all__ = ["check_mapping", "convert_mapping"]

_MISSING_FIELD = re.compile("Object missing required field `(.+)`")


def check_mapping(schema: type, value: Any) -> Any:
    """Validate a value against a ``TypedDict`` schema and convert it.

    Unlike with ``msgspec.convert``, unknown keys are an error, so that a
    misspelt setting is detected.

    Args:
        schema: The ``TypedDict`` class.
        value: The decoded JSON value.

    Returns:
        The converted value.

    Raises:
        SettingsError: The value does not match the schema.
    """
    _reject_unknown_keys(schema, value, "$")
    return convert_mapping(schema, value)


def convert_mapping(schema: type, value: Any) -> Any:
    """Validate the known keys of a value and convert it; drop unknown keys.

    Args:
        schema: The ``TypedDict`` class.
        value: The decoded JSON value.

    Returns:
        The converted value, without keys that are not in the schema.

    Raises:
        SettingsError: The value does not match the schema.
    """
    try:
        return msgspec.convert(value, schema)
    except msgspec.ValidationError as error:
        path, allowed = _parse_validation_message(str(error))
        raise SettingsError(path, _describe_value(value, path), allowed) from error


def _parse_validation_message(message: str) -> tuple[str, str]:
    """Return the path and the allowed value from a msgspec error message."""
    allowed, _, path = message.partition(" - at `")
    path = path.rstrip("`") or "$"
    missing = _MISSING_FIELD.fullmatch(allowed)
    if missing:
        return f"{path}.{missing[1]}", "a value, for the field is required"
    return path, allowed.removeprefix("Expected ").partition(", got ")[0]


def _describe_value(value: Any, path: str) -> str:
    """Return the value at a path such as ``$.hosts[2].peer_port``, as text."""
    for step in path.replace("]", "").replace("[", ".").split(".")[1:]:
        try:
            value = value[int(step)] if isinstance(value, list) else value[step]
        except (KeyError, IndexError, TypeError, ValueError):
            return "nothing"
    return repr(value)[:80]


@cache
def _get_hints(schema: type) -> dict[str, Any]:
    """Return a schema's fields and types, cached for the entries of large lists."""
    return get_type_hints(schema)


def _reject_unknown_keys(schema: Any, value: Any, path: str) -> None:
    if get_origin(schema) is list and isinstance(value, list):
        for index, item in enumerate(value):
            _reject_unknown_keys(get_args(schema)[0], item, f"{path}[{index}]")
    if not is_typeddict(schema) or not isinstance(value, dict):
        return
    hints = _get_hints(schema)
    for key, item in value.items():
        if key not in hints:
            known = ", ".join(sorted(hints))
            raise SettingsError(f"{path}.{key}", "an unknown key", f"one of: {known}")
        _reject_unknown_keys(hints[key], item, f"{path}.{key}")
