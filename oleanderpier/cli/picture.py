"""The command that draws load, refusals and events over time from logs."""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import click

from oleanderpier.cli.logs import LogLine, add_files, read_lines
from oleanderpier.results import Code, Fate, describe_code

__all__ = ["Curves", "count_curves", "picture"]

# The picture has so many points at most, each at least a second long.
MOST_POINTS = 120
LEAST_STEP_S = 1
LABELS = 12

_FATES = {
    Fate.DONE: "served",
    Fate.NOT_RUN: "refused, not run",
    Fate.MAY_HAVE_RUN: "failed, may have run",
}
_EVENTS = {
    "fleet:host_silent": "hosts fell silent",
    "health:server_backs_off": "servers left out",
    "replication:platform_failed": "calls to the platform failed",
    "node:configuration": "configurations adopted",
}


class Curves(NamedTuple):
    """Counts over time.

    Attributes:
        start_s: Unix seconds of the first point.
        step_s: The length of a point, in seconds.
        requests: How requests ended, a count for each point, by fate.
        events: What hosts noted, a count for each point, by kind.
    """

    start_s: int
    step_s: int
    requests: dict[str, list[int]]
    events: dict[str, list[int]]


def count_curves(lines: Iterable[LogLine]) -> Curves | None:
    """Return how requests ended and what hosts noted over time.

    Args:
        lines: Lines of any hosts, in any order.

    Returns:
        The counts; None where no line tells of a request or an event.
    """
    counts: Counter[tuple[str, int]] = Counter()
    for line in lines:
        name = _EVENTS.get(line["event"])
        if line["event"] == "request:end":
            name = _FATES[describe_code(Code(line["code"])).fate]
        if name is not None:
            counts[name, int(line["time"])] += 1
    if not counts:
        return None
    seconds = [at_s for _, at_s in counts]
    start_s, length_s = min(seconds), max(seconds) - min(seconds) + 1
    step_s = max(LEAST_STEP_S, -(-length_s // MOST_POINTS))
    points = -(-length_s // step_s)
    curves = {name: [0] * points for name in (*_FATES.values(), *_EVENTS.values())}
    for (name, at_s), count in counts.items():
        curves[name][(at_s - start_s) // step_s] += count
    return Curves(
        start_s,
        step_s,
        {name: curves[name] for name in _FATES.values()},
        {name: curves[name] for name in _EVENTS.values()},
    )


def draw(curves: Curves) -> bytes:
    """Return an SVG picture: requests on the left axis, events on the right."""
    import pygal

    points = len(next(iter(curves.requests.values())))
    chart = pygal.Line(
        title=f"Requests and events for each {curves.step_s} s",
        x_title="seconds from the first line",
        show_dots=False,
        show_minor_x_labels=False,
        x_labels_major_count=LABELS,
        js=[],
    )
    chart.x_labels = [str(point * curves.step_s) for point in range(points)]
    for name, values in curves.requests.items():
        chart.add(name, values, fill=name == _FATES[Fate.DONE])
    for name, values in curves.events.items():
        chart.add(name, values, secondary=True, stroke_style={"dasharray": "4, 4"})
    return chart.render()


@click.command()
@click.option(
    "--out",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="The SVG file to write.",
)
@add_files
def picture(out: Path, files) -> None:
    """Draw load, refusals and events over time from the logs of FILES.

    Without FILES the logs are read from standard input.
    """
    curves = count_curves(read_lines(files))
    if curves is None:
        raise click.ClickException("no line tells of a request or an event")
    out.write_bytes(draw(curves))
