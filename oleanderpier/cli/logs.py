"""Reads the logs of many hosts, line by line."""

import os
import sys
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

import click
import msgspec

__all__ = ["LogLine", "add_files_argument", "read_log_lines"]

# Files of so many bytes together show how far they are read.
MIN_PROGRESS_BYTES = 10 << 20
# Between two updates of the bar.
PROGRESS_STEP_LINES = 10_000

LogLine = dict[str, Any]


def add_files_argument(command):
    """Let a command take log files, standard input if there are none."""
    return click.argument("files", nargs=-1, type=click.File("r", errors="replace"))(
        command
    )


def read_log_lines(files: Iterable[TextIO]) -> Iterator[LogLine]:
    """Yield the log lines of files; what is no log line is passed over.

    A line may have words before its JSON, such as a collector puts there.

    Args:
        files: The files; standard input if there are none.
    """
    for text in _iterate_with_progress(list(files) or [sys.stdin]):
        at = text.find("{")
        if at < 0:
            continue
        try:
            line = msgspec.json.decode(text[at:].strip())
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict) and "event" in line and "process" in line:
            yield line


def _iterate_with_progress(files: list[TextIO]) -> Iterator[str]:
    """Yield the text lines of files, with a bar on standard error for large ones."""
    size = sum(_get_size_bytes(file) for file in files)
    if size < MIN_PROGRESS_BYTES:
        for file in files:
            yield from file
        return
    with click.progressbar(length=size, label="reading", file=sys.stderr) as bar:
        read = lines = 0
        for file in files:
            for text in file:
                read += len(text)
                lines += 1
                if lines % PROGRESS_STEP_LINES == 0:
                    bar.update(read)
                    read = 0
                yield text
        bar.update(read)


def _get_size_bytes(file: TextIO) -> int:
    """Return a file's size in bytes, 0 for a pipe or a terminal."""
    try:
        return os.fstat(file.fileno()).st_size
    except OSError:
        # Nothing that has no descriptor, or no size, can show progress.
        return 0
