"""The ``trace`` command: the log lines of one request and its host's state changes."""

from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

import click

from oleanderpier.cli.decisions import describe_decision
from oleanderpier.cli.logs import LogLine, add_files_argument, read_log_lines
from oleanderpier.cli.tables import print_json, print_table

__all__ = ["RequestTrace", "collect_trace", "trace"]

# State changes of the request's host are shown from this long before the request.
CONTEXT_BEFORE_S = 10.0
# Limit on the lines without a request id that are kept while the logs are read.
MAX_CONTEXT_LINES = 50_000
# Fields that the table shows in columns of their own, or that are the same in each row.
HIDDEN_FIELDS = frozenset({"time", "process", "event", "request"})
NOT_FOUND_EXIT_STATUS = 1
QUARANTINE_EVENT = "poison:quarantine"


class RequestTrace(NamedTuple):
    """The log lines that explain a request.

    Attributes:
        steps: The request's own lines, and its host's state changes about the
            request's servers shortly before it, ordered by time.
        cause: Code, status and reason of the request's end, or that its end was not
            logged; empty if nothing is known.
        decisions: What moved, delayed or refused the request, in order.
    """

    steps: list[LogLine]
    cause: str
    decisions: list[str]


def collect_trace(lines: Iterable[LogLine], identity: str) -> RequestTrace:
    """Return the trace of a request; without steps if no line names the request.

    Args:
        lines: Lines of any hosts; lines of different hosts in any order.
        identity: The request's id.
    """
    request_lines: list[LogLine] = []
    context: deque[LogLine] = deque(maxlen=MAX_CONTEXT_LINES)
    for line in lines:
        if line.get("request") == identity:
            request_lines.append(line)
        elif "request" not in line:
            context.append(line)
    if not request_lines:
        return RequestTrace([], "", [])
    request_lines.sort(key=lambda line: line["time"])
    steps = [
        *request_lines,
        *(line for line in context if _is_relevant(line, request_lines)),
    ]
    steps.sort(key=lambda line: line["time"])
    descriptions = (describe_decision(line) for line in request_lines)
    decisions = [text for text in descriptions if text is not None]
    return RequestTrace(steps, _describe_cause(request_lines), decisions)


def _is_relevant(line: LogLine, request_lines: list[LogLine]) -> bool:
    """Return whether a line of no request belongs to the context of a request.

    It does if the request's host wrote it shortly before or during the request, and
    it concerns one of the request's servers or the host as a whole. A quarantine that
    is the reason of the request's end may be older.
    """
    if line["process"] not in {each["process"] for each in request_lines}:
        return False
    if line["event"] == QUARANTINE_EVENT and line["time"] <= request_lines[-1]["time"]:
        reasons = [each.get("reason", "").split() for each in request_lines]
        return any(line["part"] in words for words in reasons)
    if (
        not request_lines[0]["time"] - CONTEXT_BEFORE_S
        <= line["time"]
        <= request_lines[-1]["time"]
    ):
        return False
    servers = {each["server"] for each in request_lines if each.get("server")}
    identity = line.get("identity")
    return identity in servers or line["event"].startswith("node:")


def _describe_cause(request_lines: list[LogLine]) -> str:
    """Return the code, status and reason of the last ``request:end`` line."""
    ends = [line for line in request_lines if line["event"] == "request:end"]
    if not ends:
        return "its caller left" if len(request_lines) > 1 else ""
    end = ends[-1]
    reason = f": {end['reason']}" if end.get("reason") else ""
    return f"{end['code']} {end['name']}, status {end['status']}{reason}"


def _make_row(line: LogLine) -> list[Any]:
    """Return the table row of a log line."""
    details = " ".join(
        f"{key}={value}" for key, value in line.items() if key not in HIDDEN_FIELDS
    )
    return [f"{line['time']:.4f}", line["process"], line["event"], details]


@click.command()
@click.argument("identity")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@add_files_argument
def trace(identity: str, as_json: bool, files) -> None:
    """Show what happened to the request IDENTITY, from the logs in FILES.

    The lines of the request are shown together with the state changes of its
    host that concern the request's servers, and what moved, delayed or refused
    it. Without FILES the logs are read
    from standard input. Exit status 1 means that no line names the request.
    """
    request_trace = collect_trace(read_log_lines(files), identity)
    if as_json:
        print_json(request_trace)
    elif request_trace.steps:
        print_table(
            ["TIME", "HOST", "EVENT", "DETAILS"],
            [_make_row(line) for line in request_trace.steps],
        )
        for decision in request_trace.decisions:
            click.echo(f"decision: {decision}")
        click.echo(f"cause: {request_trace.cause}")
    else:
        click.echo(f"no log line names the request {identity}", err=True)
    if not request_trace.steps:
        raise SystemExit(NOT_FOUND_EXIT_STATUS)
