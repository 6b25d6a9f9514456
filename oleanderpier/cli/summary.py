"""The ``summary`` command: counts how requests ended, by cause."""

import re
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

import click

from oleanderpier.cli.logs import LogLine, add_files_argument, read_log_lines
from oleanderpier.cli.tables import print_json, print_table

__all__ = ["CauseRow", "count_causes", "summary"]

# Numbers and server ids differ between requests that have the same cause.
_VARIABLE_PART = re.compile(r"i-[0-9a-f]+|[0-9]+(\.[0-9]+)?")


class CauseRow(NamedTuple):
    """The number of requests that ended with the same code, status and cause.

    Attributes:
        code: The result code.
        name: The name of the result code.
        status: The HTTP status.
        cause: The logged reason, with numbers and server ids replaced by ``#``.
        requests: Number of requests.
        example: The id of the first of these requests.
    """

    code: int
    name: str
    status: int
    cause: str
    requests: int
    example: str


def count_causes(lines: Iterable[LogLine]) -> list[CauseRow]:
    """Return the counts of requests by cause, the most frequent first."""
    counts: Counter[tuple] = Counter()
    examples: dict[tuple, str] = {}
    for line in lines:
        if line["event"] != "request:end":
            continue
        cause = _VARIABLE_PART.sub("#", line.get("reason", ""))
        key = (line["code"], line["name"], line["status"], cause)
        counts[key] += 1
        examples.setdefault(key, line.get("request", ""))
    return [CauseRow(*key, count, examples[key]) for key, count in counts.most_common()]


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@add_files_argument
def summary(as_json: bool, files) -> None:
    """Count how the requests in the logs in FILES ended, by cause.

    Without FILES the logs are read from standard input.
    """
    rows = count_causes(read_log_lines(files))
    if as_json:
        print_json(rows)
    else:
        print_table(["CODE", "NAME", "STATUS", "CAUSE", "REQUESTS", "EXAMPLE"], rows)
