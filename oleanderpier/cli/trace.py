"""The command that tells what happened to one request."""

from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

import click

from oleanderpier.cli.logs import LogLine, add_files, read_lines
from oleanderpier.cli.tables import print_json, print_table

__all__ = ["Story", "find_story", "trace"]

# Beliefs of a host that changed up to so long before the request are shown.
BEFORE_S = 10.0
# Changes of beliefs that are kept while the logs are read.
MOST_BELIEFS = 50_000
HIDDEN = frozenset({"time", "process", "event", "request"})
NOT_FOUND_STATUS = 1


class Story(NamedTuple):
    """What the logs hold of a request.

    Attributes:
        steps: Its own lines, and the changes of beliefs about its servers on
            its host shortly before, in order of time.
        cause: The code, status and reason of its end; empty if none is known.
    """

    steps: list[LogLine]
    cause: str


def find_story(lines: Iterable[LogLine], identity: str) -> Story:
    """Return what log lines hold of a request.

    Args:
        lines: Lines of any hosts, in any order between hosts.
        identity: The request's id.
    """
    own: list[LogLine] = []
    beliefs: deque[LogLine] = deque(maxlen=MOST_BELIEFS)
    for line in lines:
        if line.get("request") == identity:
            own.append(line)
        elif "request" not in line:
            beliefs.append(line)
    if not own:
        return Story([], "")
    own.sort(key=lambda line: line["time"])
    steps = [*own, *(line for line in beliefs if _concerns(line, own))]
    steps.sort(key=lambda line: line["time"])
    return Story(steps, _tell_cause(own))


def _concerns(belief: LogLine, own: list[LogLine]) -> bool:
    """Return whether a belief is of the request's host and about its servers."""
    if belief["process"] not in {line["process"] for line in own}:
        return False
    if not own[0]["time"] - BEFORE_S <= belief["time"] <= own[-1]["time"]:
        return False
    servers = {line["server"] for line in own if line.get("server")}
    about = belief.get("identity")
    return about in servers or belief["event"].startswith("node:")


def _tell_cause(own: list[LogLine]) -> str:
    ends = [line for line in own if line["event"] == "request:end"]
    if not ends:
        return "its caller left" if len(own) > 1 else ""
    end = ends[-1]
    reason = f": {end['reason']}" if end.get("reason") else ""
    return f"{end['code']} {end['name']}, status {end['status']}{reason}"


def _format(line: LogLine) -> list[Any]:
    details = " ".join(
        f"{key}={value}" for key, value in line.items() if key not in HIDDEN
    )
    return [f"{line['time']:.4f}", line["process"], line["event"], details]


@click.command()
@click.argument("identity")
@click.option("--json", "as_json", is_flag=True, help="Print JSON for programs.")
@add_files
def trace(identity: str, as_json: bool, files) -> None:
    """Tell what happened to the request IDENTITY, from the logs in FILES.

    Without FILES the logs are read from standard input. Exit status 1 if no
    line names the request.
    """
    story = find_story(read_lines(files), identity)
    if as_json:
        print_json(story)
    elif story.steps:
        print_table(
            ["TIME", "HOST", "EVENT", "DETAILS"], [_format(s) for s in story.steps]
        )
        click.echo(f"cause: {story.cause}")
    else:
        click.echo(f"no line names {identity}", err=True)
    if not story.steps:
        raise SystemExit(NOT_FOUND_STATUS)
