"""Reads log lines from files of many hosts."""

import os
import sys
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

import click
import msgspec

__all__ = ["LogLine", "add_files_argument", "read_log_lines"]

# Minimum total size of the files for which a progress bar is shown.
MIN_PROGRESS_BYTES = 10 << 20
# Lines between two updates of the progress bar.
PROGRESS_STEP_LINES = 10_000

LogLine = dict[str, Any]


def add_files_argument(command):
    """Add an argument for log files, ``files``, to a command."""
    return click.argument("files", nargs=-1, type=click.File("r", errors="replace"))(
        command
    )


def read_log_lines(files: Iterable[TextIO]) -> Iterator[LogLine]:
    """Yield the decoded log lines of files; other lines are skipped.

    Text before a line's JSON is ignored, since log collectors may add a prefix.

    Args:
        files: The files; standard input is read if there are none.
    """
    for text in _iterate_with_progress(list(files) or [sys.stdin]):
        json_start = text.find("{")
        if json_start < 0:
            continue
        try:
            line = msgspec.json.decode(text[json_start:].strip())
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict) and "event" in line and "process" in line:
            yield line


def _iterate_with_progress(files: list[TextIO]) -> Iterator[str]:
    """Yield the text lines of files, with a progress bar for large files.

    The progress bar is on standard error, so that it does not mix with the output.
    """
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
    """Return a file's size in bytes; 0 if it has none, such as a pipe or terminal."""
    try:
        return os.fstat(file.fileno()).st_size
    except OSError:
        # Streams without a file descriptor have no size and no progress bar.
        return 0
