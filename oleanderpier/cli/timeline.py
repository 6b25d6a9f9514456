"""The ``events`` command: the merged time line of the events of all hosts."""

import asyncio
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import NamedTuple

import click
import msgspec
from aiohttp import ClientSession

from oleanderpier.cli.queries import (
    QueryOptions,
    UnansweredHost,
    add_query_options,
    exit_with_status,
    list_unanswered_hosts,
    list_unknown_hosts,
    load_directory,
    open_session,
    print_unanswered_hosts,
)
from oleanderpier.cli.tables import print_json, print_table
from oleanderpier.events import Event, ReorderBuffer, Stamp, merge_events
from oleanderpier.operators import (
    EventsResponse,
    HostDirectory,
    OperatorEndpoint,
    QueryOutcome,
    make_event_row,
    map_endpoints,
    parse_event_row,
    query_host,
)
from oleanderpier.results import Code
from oleanderpier.utils import run_coroutine

__all__ = ["events"]

HEADERS = ["TIME", "HOST", "KIND", "SUBJECT", "CODE", "TEXT"]
FOLLOW_INTERVAL_S = 1.0
MAX_EVENT_LIMIT = 100_000


class EventFilter(NamedTuple):
    """Selects the events to show.

    Attributes:
        kind: Prefix that the event kind must have; empty for all kinds.
        subject: Subject that the event must have; None for all subjects.
        limit: Maximum number of events; the newest are kept.
    """

    kind: str
    subject: str | None
    limit: int

    def select(self, merged: Iterable[Event]) -> list[Event]:
        """Return the newest matching events, oldest first.

        Args:
            merged: Events in causal order.
        """
        matching = [
            event
            for event in merged
            if event.kind.startswith(self.kind)
            and self.subject in (None, event.subject)
        ]
        return matching[-self.limit :]

    def get_per_host_limit(self) -> int | None:
        """Return how many events to request from each host; None for all.

        Hosts do not filter, so that a filter on kind or subject needs all events.
        """
        filtered = self.kind or self.subject is not None
        return None if filtered else self.limit


class EventGap(NamedTuple):
    """Events that a host discarded before they were read.

    Attributes:
        host: The host's name.
        lost: Number of discarded events.
    """

    host: str
    lost: int


class EventBatch(NamedTuple):
    """The result of one round of queries to all hosts.

    Attributes:
        events: The new events, in causal order.
        horizon: A stamp that all later events of the hosts that responded exceed.
        gaps: The hosts that discarded events before they were read.
        unanswered: The hosts that sent no valid response.
    """

    events: list[Event]
    horizon: Stamp
    gaps: list[EventGap]
    unanswered: list[UnansweredHost]


class EventReader:
    """Polls hosts for events and returns each event once.

    Args:
        session: The HTTP session; its timeout applies to each request.
        directory: The hosts to query.
        limit: Maximum number of events of one host in a round; None for no limit.
    """

    def __init__(
        self, session: ClientSession, directory: HostDirectory, limit: int | None
    ) -> None:
        self._session = session
        self._directory = directory
        self._query = {} if limit is None else {"limit": limit}
        # For each host: its incarnation and the last sequence number read.
        self._positions: dict[OperatorEndpoint, tuple[int, int]] = {}

    async def read_batch(self) -> EventBatch:
        """Query all hosts for the events since the previous round."""
        outcomes = await map_endpoints(
            self._read_host_events, self._directory.endpoints
        )
        responses = [
            outcome.result.ok for outcome in outcomes if outcome.result.is_ok()
        ]
        host_events = [
            map(parse_event_row, response["events"]) for response in responses
        ]
        gaps = [EventGap(response["host"], response["lost"]) for response in responses]
        return EventBatch(
            merge_events(host_events),
            min((response["horizon"] for response in responses), default=Stamp(0, 0)),
            [gap for gap in gaps if gap.lost],
            list_unanswered_hosts(outcomes + list_unknown_hosts(self._directory)),
        )

    async def _read_host_events(self, endpoint: OperatorEndpoint) -> QueryOutcome:
        """Query one host for new events; all its events if it was restarted.

        Sequence numbers start again with each incarnation, so that the position of
        the previous incarnation does not apply.
        """
        incarnation, last = self._positions.get(endpoint, (None, 0))
        outcome = await self._fetch_events(endpoint, last)
        if outcome.result.is_ok() and incarnation not in (
            None,
            outcome.result.ok["incarnation"],
        ):
            outcome = await self._fetch_events(endpoint, 0)
        if outcome.result.is_ok():
            response = outcome.result.ok
            self._positions[endpoint] = (response["incarnation"], response["last"])
        return outcome

    async def _fetch_events(
        self, endpoint: OperatorEndpoint, after: int
    ) -> QueryOutcome:
        """Query one host for the events after a sequence number."""
        return await query_host(
            self._session,
            endpoint,
            "/v1/events",
            EventsResponse,
            after=after,
            **self._query,
        )


@click.command()
@click.option("--kind", default="", help="Only kinds with this prefix, as 'claims:'.")
@click.option("--subject", help="Only events with this subject.")
@click.option(
    "--limit",
    type=click.IntRange(1, MAX_EVENT_LIMIT),
    default=200,
    show_default=True,
    help="Maximum number of events; the newest are shown.",
)
@click.option("--follow", is_flag=True, help="Poll for new events until interrupted.")
@add_query_options
def events(
    options: QueryOptions, kind: str, subject: str | None, limit: int, follow: bool
) -> None:
    """Show the events of all hosts in one causally ordered time line.

    An event follows every event that may have caused it, even if the hosts'
    wall clocks differ; TIME is the wall clock of the event's host. Hosts keep
    a bounded number of events; the output states how many older ones are
    missing. With --follow and --json, each line is one event.
    """
    event_filter = EventFilter(kind, subject, limit)
    try:
        unanswered = run_coroutine(show_events(options, event_filter, follow))
    except KeyboardInterrupt:
        unanswered = []
    exit_with_status(unanswered)


async def show_events(
    options: QueryOptions, event_filter: EventFilter, follow: bool
) -> list[UnansweredHost]:
    """Print the current events, or new events until interrupted.

    Returns:
        The hosts that sent no valid response.
    """
    async with open_session(options) as session:
        directory = await load_directory(session, options)
        reader = EventReader(session, directory, event_filter.get_per_host_limit())
        batch = await reader.read_batch()
        if not follow:
            print_batch(batch, event_filter, options.as_json)
            return batch.unanswered
        buffer = ReorderBuffer()
        while True:
            print_new_events(batch, buffer, event_filter, options.as_json)
            await asyncio.sleep(FOLLOW_INTERVAL_S)
            batch = await reader.read_batch()


def print_batch(batch: EventBatch, event_filter: EventFilter, as_json: bool) -> None:
    """Print the matching events of one batch, its gaps and missing hosts."""
    selected = event_filter.select(batch.events)
    if as_json:
        rows = list(map(make_event_row, selected))
        print_json({"events": rows, "gaps": batch.gaps, "unanswered": batch.unanswered})
        return
    print_table(HEADERS, map(make_row, selected))
    for gap in batch.gaps if len(selected) < event_filter.limit else []:
        click.echo(f"{gap.host} no longer keeps {gap.lost} older events")
    print_unanswered_hosts(batch.unanswered)


def print_new_events(
    batch: EventBatch, buffer: ReorderBuffer, event_filter: EventFilter, as_json: bool
) -> None:
    """Print a line for each event whose possible causes have all been read.

    Gaps and hosts without a valid response go to standard error.
    """
    for gap in batch.gaps:
        click.echo(f"{gap.host} discarded {gap.lost} unread events", err=True)
    for unanswered in batch.unanswered:
        click.echo(f"{unanswered.host}: {unanswered.text}", err=True)
    for event in event_filter.select(buffer.release(batch.events, batch.horizon)):
        line = msgspec.json.encode(make_event_row(event)).decode()
        click.echo(line if as_json else "  ".join(make_row(event)))


def make_row(event: Event) -> list[str]:
    """Return the table row of an event."""
    return [
        datetime.fromtimestamp(event.wall_s, UTC).isoformat(timespec="milliseconds"),
        event.host,
        event.kind,
        event.subject,
        format_code(event.code),
        event.text,
    ]


def format_code(code: int) -> str:
    """Return a result code with its name if it is known; empty for code 0.

    Examples:
        >>> format_code(110), format_code(0), format_code(999)
        ('110 KEY_VOID', '', '999')
    """
    if code == 0:
        return ""
    name = Code(code).name if code in list(Code) else ""
    return f"{code} {name}".rstrip()
