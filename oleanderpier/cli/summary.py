"""The command that counts how requests ended, by cause."""

import re
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

import click

from oleanderpier.cli.logs import LogLine, add_files_argument, read_log_lines
from oleanderpier.cli.tables import print_json, print_table

__all__ = ["CauseRow", "count_causes", "summary"]

# Numbers and ids differ between requests with one cause.
_VARIABLE_PART = re.compile(r"i-[0-9a-f]+|[0-9]+(\.[0-9]+)?")


class CauseRow(NamedTuple):
    """How often requests ended in one way.

    Attributes:
        code: The result code.
        name: Its name.
        status: The HTTP status.
        cause: Why, with what varies between requests left out.
        requests: How many.
        example: The id of one.
    """

    code: int
    name: str
    status: int
    cause: str
    requests: int
    example: str


def count_causes(lines: Iterable[LogLine]) -> list[CauseRow]:
    """Return how requests ended, the most frequent way first."""
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
@click.option("--json", "as_json", is_flag=True, help="Print JSON for programs.")
@add_files_argument
def summary(as_json: bool, files) -> None:
    """Count how the requests in the logs of FILES ended, by cause.

    Without FILES the logs are read from standard input.
    """
    rows = count_causes(read_log_lines(files))
    if as_json:
        print_json(rows)
    else:
        print_table(["CODE", "NAME", "STATUS", "CAUSE", "REQUESTS", "EXAMPLE"], rows)
