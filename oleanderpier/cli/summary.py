"""The ``summary`` command: counts how requests ended, by cause."""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

import click

from oleanderpier.cli.decisions import label_decision
from oleanderpier.cli.logs import LogLine, add_files_argument, read_log_lines
from oleanderpier.cli.tables import print_json, print_table

__all__ = ["CauseRow", "count_causes", "summary"]

HEADERS = ["CODE", "NAME", "STATUS", "CAUSE", "REQUESTS", "EXAMPLE", "DECISIONS"]
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
        decisions: How many of them were moved, delayed or refused by each kind of
            decision.
    """

    code: int
    name: str
    status: int
    cause: str
    requests: int
    example: str
    decisions: dict[str, int]


def count_causes(lines: Iterable[LogLine]) -> list[CauseRow]:
    """Return the counts of requests by cause, the most frequent first."""
    counts: Counter[tuple] = Counter()
    examples: dict[tuple, str] = {}
    decisions: dict[tuple, Counter[str]] = defaultdict(Counter)
    # The decisions on requests that have not ended yet.
    open_decisions: dict[tuple, set[str]] = defaultdict(set)
    for line in lines:
        request = (line["process"], line.get("request", ""))
        label = label_decision(line)
        if label is not None:
            open_decisions[request].add(label)
        if line["event"] != "request:end":
            continue
        cause = _VARIABLE_PART.sub("#", line.get("reason", ""))
        key = (line["code"], line["name"], line["status"], cause)
        counts[key] += 1
        examples.setdefault(key, line.get("request", ""))
        decisions[key].update(open_decisions.pop(request, ()))
    return [
        CauseRow(*key, count, examples[key], dict(decisions[key].most_common()))
        for key, count in counts.most_common()
    ]


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@add_files_argument
def summary(as_json: bool, files) -> None:
    """Count how the requests in the logs in FILES ended, by cause.

    If decisions moved, delayed or refused some of them, the last column counts these.
    Without FILES the logs are read from standard input.
    """
    rows = count_causes(read_log_lines(files))
    if as_json:
        print_json(rows)
    else:
        has_decisions = any(row.decisions for row in rows)
        print_table(
            HEADERS if has_decisions else HEADERS[:-1],
            [_make_row(row, has_decisions) for row in rows],
        )


def _make_row(row: CauseRow, has_decisions: bool) -> tuple:
    """Return the table row of a cause, with its decisions as text if there are any."""
    text = ", ".join(f"{label} {count}" for label, count in row.decisions.items())
    return (*row[:-1], text) if has_decisions else row[:-1]
