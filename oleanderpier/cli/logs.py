"""Reads the logs of many hosts, line by line."""

import sys
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

import click
import msgspec

__all__ = ["LogLine", "add_files", "read_lines"]

LogLine = dict[str, Any]


def add_files(command):
    """Let a command take log files, standard input if there are none."""
    return click.argument("files", nargs=-1, type=click.File("r", errors="replace"))(
        command
    )


def read_lines(files: Iterable[TextIO]) -> Iterator[LogLine]:
    """Yield the log lines of files; what is no log line is passed over.

    A line may have words before its JSON, such as a collector puts there.

    Args:
        files: The files; standard input if there are none.
    """
    for file in list(files) or [sys.stdin]:
        for text in file:
            at = text.find("{")
            if at < 0:
                continue
            try:
                line = msgspec.json.decode(text[at:].strip())
            except msgspec.DecodeError:
                continue
            if isinstance(line, dict) and "event" in line and "process" in line:
                yield line
