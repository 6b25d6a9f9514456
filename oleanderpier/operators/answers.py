"""Answers of the operators' interface, one ``TypedDict`` for each path.

Times named ``_s`` are seconds. A measured time is None where nothing was
measured yet.
"""

from typing import Literal, TypedDict

from oleanderpier.configuration import (
    BackendServersDocument,
    ConfigurationDocument,
    HostsDocument,
)
from oleanderpier.events import Event, EventBuffer, Stamp

__all__ = [
    "BackendServerRow",
    "ChoiceRow",
    "ClassRow",
    "ConfigurationAnswer",
    "Documents",
    "EventRow",
    "EventsAnswer",
    "ExplainAnswer",
    "InForce",
    "MemberRow",
    "RefusedDocument",
    "StatusAnswer",
    "TargetsAnswer",
    "make_event",
    "make_event_row",
    "make_events_answer",
]


class InForce(TypedDict):
    """Which version of a document is in force on the host."""

    version: int
    digest: str


class RefusedDocument(TypedDict):
    """The newest value of a document that was refused, if any since.

    Attributes:
        text: The field's path, what was found and what is allowed.
    """

    name: str
    version: int | None
    text: str


class MemberRow(TypedDict):
    """What the host believes of another host."""

    host: str
    state: str


class BackendServerRow(TypedDict):
    """What the host believes of a backend server.

    Attributes:
        in_flight: Requests of this host that run there now.
    """

    name: str
    state: str
    in_flight: int


class StatusAnswer(TypedDict):
    """``GET /v1/status``.

    Attributes:
        incarnation: Which start of the daemon on this host.
        started_s: Wall clock at the start, seconds since 1970.
        versions: What is in force, by document name; names with nothing in
            force are absent.
        in_progress: Requests and calls of callers under way.
    """

    host: str
    incarnation: int
    failure_domain: str
    state: Literal["starting", "ready", "draining"]
    started_s: float
    versions: dict[str, InForce]
    refused_documents: list[RefusedDocument]
    members: list[MemberRow]
    backend_servers: list[BackendServerRow]
    in_progress: int


class ClassRow(TypedDict):
    """A class of work: its targets, and what was measured on this host.

    Attributes:
        first_token_p95_s: 95th percentile over the last minute or two; so are
            the others.
        requests: Requests that arrived.
        refused: Of these, those that were not run.
        late: Of these, those that missed a target.
    """

    name: str
    first_token_s: float
    first_token_p95_s: float | None
    between_tokens_s: float
    between_tokens_p95_s: float | None
    whole_s: float
    whole_p95_s: float | None
    requests: int
    refused: int
    late: int


class TargetsAnswer(TypedDict):
    """``GET /v1/targets``."""

    host: str
    classes: list[ClassRow]


class Documents(TypedDict, total=False):
    """The documents in force; one with nothing in force is absent."""

    configuration: ConfigurationDocument
    hosts: HostsDocument
    backend_servers: BackendServersDocument


class ConfigurationAnswer(TypedDict):
    """``GET /v1/configuration``: the documents in force."""

    host: str
    versions: dict[str, InForce]
    documents: Documents
    refused_documents: list[RefusedDocument]


class EventRow(TypedDict):
    """An event in JSON; the fields are those of ``Event`` and its stamp."""

    host: str
    incarnation: int
    sequence: int
    time_us: int
    count: int
    wall_s: float
    kind: str
    subject: str
    code: int
    text: str


class EventsAnswer(TypedDict):
    """``GET /v1/events?after=N&limit=M``.

    Attributes:
        events: The newest M with a sequence above N, oldest first.
        lost: How many above N are no longer kept.
        last: The last sequence that was given out, 0 for none.
        horizon: Time in microseconds and count of a stamp that every later
            event of this host exceeds.
    """

    host: str
    incarnation: int
    events: list[EventRow]
    lost: int
    last: int
    horizon: Stamp


class ChoiceRow(TypedDict):
    """A backend server that could take a chat.

    Attributes:
        rank: Place in the order of preference, from 1.
        reason: Why it was or was not chosen.
    """

    backend_server: str
    rank: int
    in_flight: int
    state: str
    reason: str


class ExplainAnswer(TypedDict):
    """``GET /v1/explain?chat=C&class=K``: where a chat would go now.

    Attributes:
        pool: What the class needs, a model or an operation.
        owner: The host that admits the chat.
        choices: Empty where only the owner knows them.
        chosen: The backend server; None if the owner would refuse the request,
            or if only the owner knows.
    """

    chat: str
    work_class: str
    pool: str
    owner: str
    choices: list[ChoiceRow]
    chosen: str | None


def make_event_row(event: Event) -> EventRow:
    """Return an event as it stands in an answer."""
    fields = event._asdict()
    stamp = fields.pop("stamp")
    return EventRow(**fields, **stamp._asdict())


def make_events_answer(
    ring: EventBuffer, after: int, limit: int | None
) -> EventsAnswer:
    """Return the answer to ``GET /v1/events``.

    Args:
        ring: The events of this host.
        after: The last sequence that the reader has; 0 for all.
        limit: How many of the newest are wanted; None for all.
    """
    tail = ring.list_after(after, limit)
    rows = [make_event_row(event) for event in tail.events]
    return EventsAnswer(
        host=ring.host,
        incarnation=ring.incarnation,
        events=rows,
        lost=tail.lost,
        last=tail.last,
        horizon=tail.horizon,
    )


def make_event(row: EventRow) -> Event:
    """Return the event that ``make_event_row`` made a row of."""
    fields = dict(row)
    stamp = Stamp(fields.pop("time_us"), fields.pop("count"))
    return Event(**fields, stamp=stamp)
