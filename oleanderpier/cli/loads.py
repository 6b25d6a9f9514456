"""The ``loads`` command: sends to overloaded servers, from the logs of all hosts."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

import click

from oleanderpier.cli.logs import LogLine, add_files_argument, read_log_lines
from oleanderpier.cli.tables import print_json, print_table
from oleanderpier.routing import DEFAULT_LOAD_LIMIT_FACTOR, LOAD_LIMIT_OFFSET

__all__ = ["LoadReport", "OverloadedSend", "ServiceWindow", "loads", "measure_loads"]

# The users count sends over the limit in windows of this length.
WINDOW_S = 5.0


class OverloadedSend(NamedTuple):
    """A send to a server over the limit, and what its host believed.

    Attributes:
        time: When it was sent, in Unix seconds.
        request: The request's id.
        process: The host that sent it.
        server: The server's id.
        load: Requests in flight there, of all hosts, without this one.
        mean_load: Requests in flight per server of the service.
        believed_load: The host's own value of ``load``.
        believed_mean: The host's own value of ``mean_load``.
        load_age_s: Age of the loads that the host had, in seconds.
        other_sends: Sends of other hosts to the server during that time.
        server_state: The last change of the server's registration, as known there.
        server_state_age_s: Seconds since then.
        why: The reason for the choice.
    """

    time: float
    request: str
    process: str
    server: str
    load: int
    mean_load: float
    believed_load: int
    believed_mean: float
    load_age_s: float
    other_sends: int
    server_state: str
    server_state_age_s: float
    why: str


class ServiceWindow(NamedTuple):
    """The sends to one service within ``WINDOW_S`` seconds.

    Attributes:
        service: The service.
        start: The start of the window, in Unix seconds.
        sends: Number of sends.
        over: How many of them went to servers over the limit.
    """

    service: str
    start: float
    sends: int
    over: int


class LoadReport(NamedTuple):
    """The loads of all services.

    Attributes:
        windows: The windows with sends, by service and time.
        overloaded: The sends to servers over the limit, by time.
    """

    windows: list[ServiceWindow]
    overloaded: list[OverloadedSend]


def measure_loads(
    lines: Iterable[LogLine], limit_factor: float = DEFAULT_LOAD_LIMIT_FACTOR
) -> LoadReport:
    """Count the requests in flight at each server as seen by all hosts together.

    Args:
        lines: Lines of all hosts, in any order. Lines ``forward:send`` without the
            time that the attempt took are skipped.
        limit_factor: The load limit, as a multiple of the mean of the service; to
            it ``LOAD_LIMIT_OFFSET`` requests are added.
    """
    sends: dict[str, list[LogLine]] = defaultdict(list)
    registrations: dict[str, dict[str, list[float]]] = defaultdict(dict)
    services: dict[str, str] = {}
    for line in lines:
        if line["event"] == "forward:send" and "took_s" in line:
            sends[line["service"]].append(line)
        elif line["event"] == "roster:server":
            services[line["identity"]] = line["service"]
            span = registrations[line["service"]].setdefault(
                line["identity"], [line["time"], float("inf")]
            )
            span[0] = min(span[0], line["time"])
        elif line["event"] == "roster:server_gone":
            identity = line["identity"]
            if identity in services:
                span = registrations[services[identity]][identity]
                span[1] = min(span[1], line["time"])
    windows: list[ServiceWindow] = []
    overloaded: list[OverloadedSend] = []
    for service, lines_of_service in sorted(sends.items()):
        measured = _measure_service(
            service, lines_of_service, registrations[service], limit_factor
        )
        windows += measured.windows
        overloaded += measured.overloaded
    overloaded.sort(key=lambda send: send.time)
    return LoadReport(windows, overloaded)


def _measure_service(
    service: str,
    lines: list[LogLine],
    registrations: dict[str, list[float]],
    limit_factor: float,
) -> LoadReport:
    """Return the loads of one service; see ``measure_loads``."""
    starts = {id(line): line["time"] - line["took_s"] for line in lines}
    by_server: dict[str, list[tuple[float, str]]] = defaultdict(list)
    changes = [(line["time"], -1, line) for line in lines]
    for line in lines:
        changes.append((starts[id(line)], 1, line))
        by_server[line["server"]].append((starts[id(line)], line["process"]))
        # A server without a logged registration counts while it gets requests.
        registrations.setdefault(line["server"], [starts[id(line)], float("inf")])
    for server_sends in by_server.values():
        server_sends.sort()
    changes.sort(key=lambda change: change[:2])
    in_flight: dict[str, int] = defaultdict(int)
    counts: dict[float, list[int]] = defaultdict(lambda: [0, 0])
    overloaded = []
    for time, step, line in changes:
        server = line["server"]
        if step > 0:
            count = max(1, _count_registered(registrations, time))
            mean = sum(in_flight.values()) / count
            over = in_flight[server] > limit_factor * mean + LOAD_LIMIT_OFFSET
            window = counts[time // WINDOW_S * WINDOW_S]
            window[0] += 1
            window[1] += over
            if over:
                send = _describe_send(line, time, in_flight[server], mean, by_server)
                overloaded.append(send)
        in_flight[server] += step
    windows = [
        ServiceWindow(service, start, *count) for start, count in sorted(counts.items())
    ]
    return LoadReport(windows, overloaded)


def _count_registered(registrations: dict[str, list[float]], time: float) -> int:
    return sum(first <= time < last for first, last in registrations.values())


def _describe_send(
    line: LogLine,
    time: float,
    load: int,
    mean_load: float,
    by_server: dict[str, list[tuple[float, str]]],
) -> OverloadedSend:
    sends = by_server[line["server"]]
    first = bisect_left(sends, (time - line["load_age_s"], ""))
    last = bisect_left(sends, (time, ""))
    others = [process for _, process in sends[first:last]]
    return OverloadedSend(
        time,
        line["request"],
        line["process"],
        line["server"],
        load,
        round(mean_load, 2),
        line["load"],
        line["mean_load"],
        line["load_age_s"],
        len([process for process in others if process != line["process"]]),
        line["server_state"],
        line["server_state_age_s"],
        line["why"],
    )


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of tables.")
@click.option(
    "--limit-factor",
    type=click.FloatRange(min=1.0),
    default=DEFAULT_LOAD_LIMIT_FACTOR,
    show_default=True,
    help="The load limit, as a multiple of the mean.",
)
@add_files_argument
def loads(as_json: bool, limit_factor: float, files) -> None:
    """Show sends to servers over the load limit, from the logs of all hosts in FILES.

    The limit is a multiple of the mean of the server's service, plus three. Clocks
    of the hosts have to agree within the time that a request takes. Without FILES the
    logs are read from standard input.
    """
    report = measure_loads(read_log_lines(files), limit_factor)
    if as_json:
        print_json(report._asdict())
        return
    print_table(
        ["SERVICE", "START", "SENDS", "OVER", "SHARE"],
        [
            [w.service, f"{w.start:.0f}", w.sends, w.over, f"{w.over / w.sends:.4f}"]
            for w in report.windows
        ],
    )
    if report.overloaded:
        click.echo()
        headers = [field.upper() for field in OverloadedSend._fields]
        rows = [[f"{s.time:.4f}", *s[1:]] for s in report.overloaded]
        print_table(headers, rows)
