"""The command that shows targets against what was measured."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import click

from oleanderpier.cli.queries import (
    QueryOptions,
    add_query_options,
    exit_with_status,
    list_responses,
    list_unanswered_hosts,
    print_unanswered_hosts,
    query_fleet,
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


class TargetSummary(NamedTuple):
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
    first_token: TargetSummary
    between_tokens: TargetSummary
    whole: TargetSummary
    requests: int
    refused: int
    late: int
    met: bool | None


class HostClassRow(NamedTuple):
    """A class of work on one host."""

    host: str
    row: ClassRow


@click.command()
@click.option("--class", "work_class", help="Show just this class of work.")
@add_query_options
def targets(options: QueryOptions, work_class: str | None) -> None:
    """Show each class of work: its targets against what was measured.

    A cell holds the target and, after a slash, the 95th percentile on the
    host where it is worst. MET is "no" where that is above a target.
    """
    outcomes = query_fleet(options, "/v1/targets", TargetsResponse)
    unanswered = list_unanswered_hosts(outcomes)
    summaries = summarize_classes(list_responses(outcomes))
    if work_class is not None:
        summaries = [each for each in summaries if each.name == work_class]
    if options.as_json:
        print_json({"classes": summaries, "unanswered": unanswered})
        exit_with_status(unanswered)
    print_table(HEADERS, [make_row(summary) for summary in summaries])
    print_unanswered_hosts(unanswered)
    exit_with_status(unanswered)


def summarize_classes(responses: Iterable[TargetsResponse]) -> list[ClassSummary]:
    """Return one summary for each class of work, by name."""
    rows: dict[str, list[HostClassRow]] = defaultdict(list)
    for answer in responses:
        for row in answer["classes"]:
            rows[row["name"]].append(HostClassRow(answer["host"], row))
    return [summarize_class(name, rows[name]) for name in sorted(rows)]


def summarize_class(name: str, rows: Sequence[HostClassRow]) -> ClassSummary:
    """Return the summary of a class over the hosts that answered."""
    target_summaries = [summarize_target(measure, rows) for measure in MEASURES]
    counts = [
        sum(each.row[field] for each in rows)
        for field in ("requests", "refused", "late")
    ]
    return ClassSummary(
        name, *target_summaries, *counts, met=are_targets_met(target_summaries)
    )


def summarize_target(measure: str, rows: Sequence[HostClassRow]) -> TargetSummary:
    """Return one target of a class beside the worst host's percentile."""
    percentiles = [
        (each.row[f"{measure}_p95_s"], each.host)
        for each in rows
        if each.row[f"{measure}_p95_s"] is not None
    ]
    worst_p95_s, worst_host = max(percentiles, default=(None, None))
    targets_s = sorted({each.row[f"{measure}_s"] for each in rows})
    return TargetSummary(targets_s, worst_p95_s, worst_host)


def are_targets_met(target_summaries: Sequence[TargetSummary]) -> bool | None:
    """Return whether each target that was measured is met; None if none was."""
    measured = [each for each in target_summaries if each.worst_p95_s is not None]
    if not measured:
        return None
    return all(each.worst_p95_s <= min(each.targets_s) for each in measured)


def make_row(summary: ClassSummary) -> list[str | int]:
    """Return a class's row in the table."""
    cells = [
        format_target_cell(getattr(summary, measure), summary.met)
        for measure in MEASURES
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


def format_target_cell(target: TargetSummary, met: bool | None) -> str:
    """Return a table cell; it names the host where the target is not met."""
    targets = ",".join(map(format_seconds, target.targets_s))
    cell = f"{targets} / {format_seconds(target.worst_p95_s)}"
    missed = met is False and (target.worst_p95_s or 0.0) > min(target.targets_s)
    return f"{cell} on {target.worst_host}" if missed else cell
