"""The ``targets`` command: latency targets and measurements by class of work."""

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

# Prefixes of the fields of a class row that hold a target and its percentile.
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
    """A latency target and the highest 95th percentile of all hosts.

    The highest percentile is used because percentiles of different hosts cannot be
    averaged, while their maximum is an upper bound for all hosts together.

    Attributes:
        targets_s: The distinct targets in force on hosts, in seconds; more than one
            while a new configuration is being disseminated.
        worst_p95_s: The highest 95th percentile, in seconds; None without samples.
        worst_host: The host with that percentile; None without samples.
    """

    targets_s: list[float]
    worst_p95_s: float | None
    worst_host: str | None


class ClassSummary(NamedTuple):
    """A class of work, summarized over all hosts that responded.

    Attributes:
        name: The name of the class.
        first_token: Time to the first token.
        between_tokens: Time between two tokens.
        whole: Time to the end of the response.
        requests: Number of requests.
        refused: Number of these requests that were not run.
        late: Number of these requests that missed a target.
        met: Whether every target with samples is met; None without samples.
    """

    name: str
    first_token: TargetSummary
    between_tokens: TargetSummary
    whole: TargetSummary
    requests: int
    refused: int
    late: int
    met: bool | None


class HostClassRow(NamedTuple):
    """The row of a class of work in one host's response.

    Attributes:
        host: The host's name.
        row: The row.
    """

    host: str
    row: ClassRow


@click.command()
@click.option("--class", "work_class", help="Show only this class of work.")
@add_query_options
def targets(options: QueryOptions, work_class: str | None) -> None:
    """Show the latency targets and measurements of each class of work.

    A cell shows the target and, after a slash, the highest 95th percentile
    of all hosts, in seconds. MET is "no" if one of them is above its target;
    the cell then names the host.
    """
    outcomes = query_fleet(options, "/v1/targets", TargetsResponse)
    unanswered = list_unanswered_hosts(outcomes)
    summaries = summarize_classes(list_responses(outcomes))
    if work_class is not None:
        summaries = [summary for summary in summaries if summary.name == work_class]
    if options.as_json:
        print_json({"classes": summaries, "unanswered": unanswered})
        exit_with_status(unanswered)
    print_table(HEADERS, [make_row(summary) for summary in summaries])
    print_unanswered_hosts(unanswered)
    exit_with_status(unanswered)


def summarize_classes(responses: Iterable[TargetsResponse]) -> list[ClassSummary]:
    """Return one summary for each class of work, sorted by name."""
    rows: dict[str, list[HostClassRow]] = defaultdict(list)
    for response in responses:
        for row in response["classes"]:
            rows[row["name"]].append(HostClassRow(response["host"], row))
    return [summarize_class(name, rows[name]) for name in sorted(rows)]


def summarize_class(name: str, rows: Sequence[HostClassRow]) -> ClassSummary:
    """Return the summary of a class over the rows of all hosts."""
    target_summaries = [summarize_target(measure, rows) for measure in MEASURES]
    counts = [
        sum(each.row[field] for each in rows)
        for field in ("requests", "refused", "late")
    ]
    return ClassSummary(
        name, *target_summaries, *counts, met=are_targets_met(target_summaries)
    )


def summarize_target(measure: str, rows: Sequence[HostClassRow]) -> TargetSummary:
    """Return the target and the highest percentile of one measure of a class.

    Args:
        measure: One of ``MEASURES``.
        rows: The class's rows of all hosts.
    """
    percentiles = [
        (each.row[f"{measure}_p95_s"], each.host)
        for each in rows
        if each.row[f"{measure}_p95_s"] is not None
    ]
    worst_p95_s, worst_host = max(percentiles, default=(None, None))
    targets_s = sorted({each.row[f"{measure}_s"] for each in rows})
    return TargetSummary(targets_s, worst_p95_s, worst_host)


def are_targets_met(target_summaries: Sequence[TargetSummary]) -> bool | None:
    """Return whether every target with samples is met; None without any samples."""
    measured = [each for each in target_summaries if each.worst_p95_s is not None]
    if not measured:
        return None
    return all(each.worst_p95_s <= min(each.targets_s) for each in measured)


def make_row(summary: ClassSummary) -> list[str | int]:
    """Return the table row of a class."""
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
    """Return a cell such as ``1.6 / 2 on h2``; a missed target names the host.

    Args:
        target: The target and its highest percentile.
        met: Whether every target of the class is met.
    """
    targets = ",".join(map(format_seconds, target.targets_s))
    cell = f"{targets} / {format_seconds(target.worst_p95_s)}"
    missed = met is False and (target.worst_p95_s or 0.0) > min(target.targets_s)
    return f"{cell} on {target.worst_host}" if missed else cell
