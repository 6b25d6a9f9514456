"""The ``picture`` command: draws requests and events over time from logs."""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import click

from oleanderpier.cli.logs import LogLine, add_files_argument, read_log_lines
from oleanderpier.results import Code, Fate, describe_code

__all__ = ["TimeSeries", "count_time_series", "picture"]

# Longer logs have longer points, so that the size of the chart is bounded.
MAX_POINTS = 120
MIN_STEP_S = 1
MAJOR_LABEL_COUNT = 12

_FATE_LABELS = {
    Fate.DONE: "served",
    Fate.NOT_RUN: "refused, not run",
    Fate.MAY_HAVE_RUN: "failed, may have run",
}
_EVENT_LABELS = {
    "fleet:host_silent": "hosts that became silent",
    "health:server_backs_off": "servers backed off from",
    "replication:platform_failed": "failed calls to the platform",
    "node:configuration": "configurations applied",
}


class TimeSeries(NamedTuple):
    """Counts of requests and events over time.

    Attributes:
        start_s: Start of the first point, in Unix seconds.
        step_s: Length of a point, in seconds.
        requests: Requests that ended in each point, by the label of their fate.
        events: Events in each point, by the label of their kind.
    """

    start_s: int
    step_s: int
    requests: dict[str, list[int]]
    events: dict[str, list[int]]


def count_time_series(lines: Iterable[LogLine]) -> TimeSeries | None:
    """Count the ends of requests and the events in log lines over time.

    Args:
        lines: Lines of any hosts, in any order.

    Returns:
        The counts; None if no line is the end of a request or one of the events.
    """
    counts: Counter[tuple[str, int]] = Counter()
    for line in lines:
        name = _EVENT_LABELS.get(line["event"])
        if line["event"] == "request:end":
            name = _FATE_LABELS[describe_code(Code(line["code"])).fate]
        if name is not None:
            counts[name, int(line["time"])] += 1
    if not counts:
        return None
    seconds = [at_s for _, at_s in counts]
    start_s, length_s = min(seconds), max(seconds) - min(seconds) + 1
    step_s = max(MIN_STEP_S, -(-length_s // MAX_POINTS))
    points = -(-length_s // step_s)
    series = {
        name: [0] * points for name in (*_FATE_LABELS.values(), *_EVENT_LABELS.values())
    }
    for (name, at_s), count in counts.items():
        series[name][(at_s - start_s) // step_s] += count
    return TimeSeries(
        start_s,
        step_s,
        {name: series[name] for name in _FATE_LABELS.values()},
        {name: series[name] for name in _EVENT_LABELS.values()},
    )


def render_svg(series: TimeSeries) -> bytes:
    """Return an SVG chart: requests on the left axis, events on the right."""
    import pygal

    points = len(next(iter(series.requests.values())))
    chart = pygal.Line(
        title=f"Requests and events for each {series.step_s} s",
        x_title="seconds since the first line",
        show_dots=False,
        show_minor_x_labels=False,
        x_labels_major_count=MAJOR_LABEL_COUNT,
        js=[],
    )
    chart.x_labels = [str(point * series.step_s) for point in range(points)]
    for name, values in series.requests.items():
        chart.add(name, values, fill=name == _FATE_LABELS[Fate.DONE])
    for name, values in series.events.items():
        chart.add(name, values, secondary=True, stroke_style={"dasharray": "4, 4"})
    return chart.render()


@click.command()
@click.option(
    "--out",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="The SVG file to write.",
)
@add_files_argument
def picture(out: Path, files) -> None:
    """Draw requests and events over time, from the logs in FILES, as SVG.

    Without FILES the logs are read from standard input.
    """
    series = count_time_series(read_log_lines(files))
    if series is None:
        raise click.ClickException(
            "nothing to draw: the logs have no line with the end of a request and "
            "none of the events that the chart shows"
        )
    out.write_bytes(render_svg(series))
