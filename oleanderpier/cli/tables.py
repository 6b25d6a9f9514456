"""Output of the commands: text tables and JSON."""

from collections.abc import Iterable, Sequence
from functools import singledispatch
from typing import Any

import click
import msgspec

__all__ = ["convert_named_tuples", "format_seconds", "print_json", "print_table"]


def print_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows under headers, each column as wide as its widest cell."""
    lines = [headers, *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    data = msgspec.json.encode(convert_named_tuples(value))
    click.echo(msgspec.json.format(data, indent=2).decode())


@singledispatch
def convert_named_tuples(value: Any) -> Any:
    """Return a copy of a value with each ``NamedTuple`` as a mapping, recursively.

    Examples:
        >>> from oleanderpier.events import Stamp
        >>> convert_named_tuples([Stamp(1, 2)])
        [{'time_us': 1, 'count': 2}]
    """
    return value


@convert_named_tuples.register
def _(value: dict) -> dict:
    return {key: convert_named_tuples(item) for key, item in value.items()}


@convert_named_tuples.register
def _(value: list) -> list:
    return [convert_named_tuples(item) for item in value]


@convert_named_tuples.register
def _(value: tuple) -> dict | list:
    if hasattr(value, "_asdict"):
        return convert_named_tuples(value._asdict())
    return convert_named_tuples(list(value))


def format_seconds(seconds: float | None) -> str:
    """Return a duration with three significant digits; ``-`` for None.

    Examples:
        >>> format_seconds(0.049), format_seconds(1.6), format_seconds(None)
        ('0.049', '1.6', '-')
    """
    return "-" if seconds is None else f"{seconds:.3g}"
