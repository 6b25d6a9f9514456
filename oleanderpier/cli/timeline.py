"""The command that shows the merged time line of all hosts."""

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
    """Which events are shown.

    Attributes:
        kind: Start of the kind; empty for all.
        subject: The subject; None for all.
        limit: How many of the newest.
    """

    kind: str
    subject: str | None
    limit: int

    def select(self, merged: Iterable[Event]) -> list[Event]:
        """Return the newest events that match, oldest first."""
        matching = [
            event
            for event in merged
            if event.kind.startswith(self.kind)
            and self.subject in (None, event.subject)
        ]
        return matching[-self.limit :]

    def get_per_host_limit(self) -> int | None:
        """Return how many events of one host are enough; None for all."""
        filtered = self.kind or self.subject is not None
        return None if filtered else self.limit


class EventGap(NamedTuple):
    """Events of a host that it no longer keeps."""

    host: str
    lost: int


class EventBatch(NamedTuple):
    """What one round of asking all hosts brought.

    Attributes:
        horizon: What comes later from the hosts that answered has a later
            stamp.
    """

    events: list[Event]
    horizon: Stamp
    gaps: list[EventGap]
    unanswered: list[UnansweredHost]


class EventReader:
    """Reads the events of hosts round by round, each event once.

    Args:
        session: Has the timeout that holds.
        directory: Whom to ask.
        limit: How many events of one host are wanted a round; None for all.
    """

    def __init__(
        self, session: ClientSession, directory: HostDirectory, limit: int | None
    ) -> None:
        self._session = session
        self._directory = directory
        self._query = {} if limit is None else {"limit": limit}
        self._positions: dict[OperatorEndpoint, tuple[int, int]] = {}

    async def read_batch(self) -> EventBatch:
        """Ask all hosts for what is new since the last round."""
        replies = await map_endpoints(self._read_host_events, self._directory.endpoints)
        answers = [reply.result.ok for reply in replies if reply.result.is_ok()]
        lists = [map(parse_event_row, answer["events"]) for answer in answers]
        gaps = [EventGap(answer["host"], answer["lost"]) for answer in answers]
        return EventBatch(
            merge_events(lists),
            min((answer["horizon"] for answer in answers), default=Stamp(0, 0)),
            [gap for gap in gaps if gap.lost],
            list_unanswered_hosts(replies + list_unknown_hosts(self._directory)),
        )

    async def _read_host_events(self, operator: OperatorEndpoint) -> QueryOutcome:
        """Ask one host; one that was restarted is read from its start."""
        incarnation, last = self._positions.get(operator, (None, 0))
        reply = await self._fetch_events(operator, last)
        if reply.result.is_ok() and incarnation not in (
            None,
            reply.result.ok["incarnation"],
        ):
            reply = await self._fetch_events(operator, 0)
        if reply.result.is_ok():
            answer = reply.result.ok
            self._positions[operator] = (answer["incarnation"], answer["last"])
        return reply

    async def _fetch_events(
        self, operator: OperatorEndpoint, after: int
    ) -> QueryOutcome:
        return await query_host(
            self._session,
            operator,
            "/v1/events",
            EventsResponse,
            after=after,
            **self._query,
        )


@click.command()
@click.option("--kind", default="", help="Just kinds that start so, as 'claims:'.")
@click.option("--subject", help="Just events of this subject.")
@click.option(
    "--limit",
    type=click.IntRange(1, MAX_EVENT_LIMIT),
    default=200,
    show_default=True,
    help="How many of the newest events.",
)
@click.option("--follow", is_flag=True, help="Go on until interrupted.")
@add_query_options
def events(
    options: QueryOptions, kind: str, subject: str | None, limit: int, follow: bool
) -> None:
    """Show the events of all hosts as one time line.

    An event stands after each one that may have caused it, also where the
    hosts' wall clocks differ; TIME is the wall clock of the host itself.
    Hosts keep a bounded number of events, and what is lost is told.
    With --follow and --json each line is one event.
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
    """Print one batch of events, or batch after batch until interrupted."""
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
    """Print all of one batch."""
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
    """Print a line for each event that the batch lets be shown."""
    for gap in batch.gaps:
        click.echo(f"{gap.host} lost {gap.lost} events", err=True)
    for unanswered in batch.unanswered:
        click.echo(f"{unanswered.host}: {unanswered.text}", err=True)
    for event in event_filter.select(buffer.release(batch.events, batch.horizon)):
        line = msgspec.json.encode(make_event_row(event)).decode()
        click.echo(line if as_json else "  ".join(make_row(event)))


def make_row(event: Event) -> list[str]:
    """Return an event's row in the table."""
    return [
        datetime.fromtimestamp(event.wall_s, UTC).isoformat(timespec="milliseconds"),
        event.host,
        event.kind,
        event.subject,
        format_code(event.code),
        event.text,
    ]


def format_code(code: int) -> str:
    """Return a result code with its name, where it is known.

    Examples:
        >>> format_code(110), format_code(0), format_code(999)
        ('110 KEY_VOID', '', '999')
    """
    if code == 0:
        return ""
    name = Code(code).name if code in list(Code) else ""
    return f"{code} {name}".rstrip()
