"""The command that tells what happened to one request."""

from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

import click

from oleanderpier.cli.logs import LogLine, add_files_argument, read_log_lines
from oleanderpier.cli.tables import print_json, print_table

__all__ = ["RequestTrace", "collect_trace", "trace"]

# Beliefs of a host that changed up to so long before the request are shown.
CONTEXT_BEFORE_S = 10.0
# Changes of beliefs that are kept while the logs are read.
MAX_CONTEXT_LINES = 50_000
HIDDEN_FIELDS = frozenset({"time", "process", "event", "request"})
NOT_FOUND_EXIT_STATUS = 1


class RequestTrace(NamedTuple):
    """What the logs hold of a request.

    Attributes:
        steps: Its own lines, and the changes of beliefs about its servers on
            its host shortly before, in order of time.
        cause: The code, status and reason of its end; empty if none is known.
    """

    steps: list[LogLine]
    cause: str


def collect_trace(lines: Iterable[LogLine], identity: str) -> RequestTrace:
    """Return what log lines hold of a request.

    Args:
        lines: Lines of any hosts, in any order between hosts.
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
        return RequestTrace([], "")
    request_lines.sort(key=lambda line: line["time"])
    steps = [
        *request_lines,
        *(line for line in context if _is_relevant(line, request_lines)),
    ]
    steps.sort(key=lambda line: line["time"])
    return RequestTrace(steps, _describe_cause(request_lines))


def _is_relevant(line: LogLine, request_lines: list[LogLine]) -> bool:
    """Return whether a belief is of the request's host and about its servers."""
    if line["process"] not in {line["process"] for line in request_lines}:
        return False
    if (
        not request_lines[0]["time"] - CONTEXT_BEFORE_S
        <= line["time"]
        <= request_lines[-1]["time"]
    ):
        return False
    servers = {line["server"] for line in request_lines if line.get("server")}
    identity = line.get("identity")
    return identity in servers or line["event"].startswith("node:")


def _describe_cause(request_lines: list[LogLine]) -> str:
    ends = [line for line in request_lines if line["event"] == "request:end"]
    if not ends:
        return "its caller left" if len(request_lines) > 1 else ""
    end = ends[-1]
    reason = f": {end['reason']}" if end.get("reason") else ""
    return f"{end['code']} {end['name']}, status {end['status']}{reason}"


def _make_row(line: LogLine) -> list[Any]:
    details = " ".join(
        f"{key}={value}" for key, value in line.items() if key not in HIDDEN_FIELDS
    )
    return [f"{line['time']:.4f}", line["process"], line["event"], details]


@click.command()
@click.argument("identity")
@click.option("--json", "as_json", is_flag=True, help="Print JSON for programs.")
@add_files_argument
def trace(identity: str, as_json: bool, files) -> None:
    """Tell what happened to the request IDENTITY, from the logs in FILES.

    Without FILES the logs are read from standard input. Exit status 1 if no
    line names the request.
    """
    request_trace = collect_trace(read_log_lines(files), identity)
    if as_json:
        print_json(request_trace)
    elif request_trace.steps:
        print_table(
            ["TIME", "HOST", "EVENT", "DETAILS"],
            [_make_row(s) for s in request_trace.steps],
        )
        click.echo(f"cause: {request_trace.cause}")
    else:
        click.echo(f"no line names {identity}", err=True)
    if not request_trace.steps:
        raise SystemExit(NOT_FOUND_EXIT_STATUS)
