"""The command that shows targets against what was measured."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import click

from oleanderpier.cli.questions import (
    Question,
    add_options,
    ask,
    end,
    list_answers,
    list_unanswered,
    print_unanswered,
)
from oleanderpier.cli.tables import format_seconds, print_json, print_table
from oleanderpier.operators import ClassRow, TargetsResponse

__all__ = ["targets"]

MEASURES = ("first_token", "between_tokens", "whole")
HEADERS = [
    "CLASS",
    *(f"{measure.upper()}_S" for measure in MEASURES),
    "REQUESTS",
    "REFUSED",
    "LATE",
    "MET",
]


class Measured(NamedTuple):
    """A target beside the worst 95th percentile of any host.

    Percentiles of hosts cannot be averaged; the worst bounds them all.

    Attributes:
        targets_s: The targets that hosts hold; more than one while a new
            configuration spreads.
    """

    targets_s: list[float]
    worst_p95_s: float | None
    worst_host: str | None


class ClassSummary(NamedTuple):
    """A class of work over all hosts that answered."""

    name: str
    first_token: Measured
    between_tokens: Measured
    whole: Measured
    requests: int
    refused: int
    late: int
    met: bool | None


class HostRow(NamedTuple):
    """A class of work on one host."""

    host: str
    row: ClassRow


@click.command()
@click.option("--class", "work_class", help="Show just this class of work.")
@add_options
def targets(question: Question, work_class: str | None) -> None:
    """Show each class of work: its targets against what was measured.

    A cell holds the target and, after a slash, the 95th percentile on the
    host where it is worst. MET is "no" where that is above a target.
    """
    replies = ask(question, "/v1/targets", TargetsResponse)
    unanswered = list_unanswered(replies)
    summaries = summarize_classes(list_answers(replies))
    if work_class is not None:
        summaries = [each for each in summaries if each.name == work_class]
    if question.as_json:
        print_json({"classes": summaries, "unanswered": unanswered})
        end(unanswered)
    print_table(HEADERS, [make_row(summary) for summary in summaries])
    print_unanswered(unanswered)
    end(unanswered)


def summarize_classes(answers: Iterable[TargetsResponse]) -> list[ClassSummary]:
    """Return one summary for each class of work, by name."""
    rows: dict[str, list[HostRow]] = defaultdict(list)
    for answer in answers:
        for row in answer["classes"]:
            rows[row["name"]].append(HostRow(answer["host"], row))
    return [summarize_class(name, rows[name]) for name in sorted(rows)]


def summarize_class(name: str, rows: Sequence[HostRow]) -> ClassSummary:
    """Return the summary of a class over the hosts that answered."""
    measured = [summarize_measure(measure, rows) for measure in MEASURES]
    counts = [
        sum(each.row[field] for each in rows)
        for field in ("requests", "refused", "late")
    ]
    return ClassSummary(name, *measured, *counts, met=is_met(measured))


def summarize_measure(measure: str, rows: Sequence[HostRow]) -> Measured:
    """Return one target of a class beside the worst host's percentile."""
    seen = [
        (each.row[f"{measure}_p95_s"], each.host)
        for each in rows
        if each.row[f"{measure}_p95_s"] is not None
    ]
    worst_p95_s, worst_host = max(seen, default=(None, None))
    held = sorted({each.row[f"{measure}_s"] for each in rows})
    return Measured(held, worst_p95_s, worst_host)


def is_met(measured: Sequence[Measured]) -> bool | None:
    """Return whether each target that was measured is met; None if none was."""
    known = [each for each in measured if each.worst_p95_s is not None]
    if not known:
        return None
    return all(each.worst_p95_s <= min(each.targets_s) for each in known)


def make_row(summary: ClassSummary) -> list[str | int]:
    """Return a class's row in the table."""
    cells = [
        format_measured(getattr(summary, measure), summary.met) for measure in MEASURES
    ]
    met = {True: "yes", False: "no", None: "-"}[summary.met]
    return [
        summary.name,
        *cells,
        summary.requests,
        summary.refused,
        summary.late,
        met,
    ]


def format_measured(measured: Measured, met: bool | None) -> str:
    """Return a table cell; it names the host where the target is not met."""
    held = ",".join(map(format_seconds, measured.targets_s))
    cell = f"{held} / {format_seconds(measured.worst_p95_s)}"
    missed = met is False and (measured.worst_p95_s or 0.0) > min(measured.targets_s)
    return f"{cell} on {measured.worst_host}" if missed else cell
