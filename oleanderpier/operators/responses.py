"""JSON responses of the operators' interface, one ``TypedDict`` for each path.

Fields named ``_s`` are in seconds. A measured time is None as long as there are no
samples.
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
    "ConfigurationResponse",
    "DocumentVersion",
    "Documents",
    "EventRow",
    "EventsResponse",
    "ExplainResponse",
    "MemberRow",
    "RefusedDocument",
    "StatusResponse",
    "TargetsResponse",
    "make_event_row",
    "make_events_response",
    "parse_event_row",
]


class DocumentVersion(TypedDict):
    """The version of a document that is in force on the host.

    Attributes:
        version: The version that the document states.
        digest: Hash of the document's content, in hexadecimal digits.
    """

    version: int
    digest: str


class RefusedDocument(TypedDict):
    """A document that was refused since the last valid one of its name.

    Attributes:
        name: The document's name.
        version: The version that it states; None if that could not be read.
        text: The field's path, what was found and what is allowed.
    """

    name: str
    version: int | None
    text: str


class MemberRow(TypedDict):
    """The host's record of another host.

    Attributes:
        host: The other host's name.
        state: Its membership state in lower case, such as ``live`` or ``suspect``.
    """

    host: str
    state: str


class BackendServerRow(TypedDict):
    """The host's record of a backend server.

    Attributes:
        name: The backend server's name.
        state: Its state in lower case, such as ``live`` or ``leaving``.
        in_flight: Number of this host's requests that it is processing.
    """

    name: str
    state: str
    in_flight: int


class StatusResponse(TypedDict):
    """The response to ``GET /v1/status``: the state of the host.

    Attributes:
        host: The host's name.
        incarnation: The number of this start of the daemon on the host.
        failure_domain: The host's failure domain.
        state: The state of the daemon.
        started_s: Wall-clock time of the start, in seconds since 1970.
        versions: The versions in force, by document name; a document without a
            version in force is absent.
        refused_documents: The documents that this host refused.
        members: The host's records of other hosts.
        backend_servers: The host's records of backend servers.
        in_progress: Number of callers' requests and calls in progress.
    """

    host: str
    incarnation: int
    failure_domain: str
    state: Literal["starting", "ready", "draining"]
    started_s: float
    versions: dict[str, DocumentVersion]
    refused_documents: list[RefusedDocument]
    members: list[MemberRow]
    backend_servers: list[BackendServerRow]
    in_progress: int


class ClassRow(TypedDict):
    """The targets of a class of work, and this host's measurements.

    Percentiles cover the last one to two minutes, counts the time since the start of
    the daemon.

    Attributes:
        name: The name of the class.
        first_token_s: Target for the time to the first token.
        first_token_p95_s: 95th percentile of the time to the first token.
        between_tokens_s: Target for the time between two tokens.
        between_tokens_p95_s: 95th percentile of the time between two tokens.
        whole_s: Target for the time to the end of the response.
        whole_p95_s: 95th percentile of the time to the end of the response.
        requests: Number of requests.
        refused: Number of these requests that were not run.
        late: Number of these requests that missed a target.
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


class TargetsResponse(TypedDict):
    """The response to ``GET /v1/targets``: targets and measurements by class.

    Attributes:
        host: The host's name.
        classes: One row for each class of work.
    """

    host: str
    classes: list[ClassRow]


class Documents(TypedDict, total=False):
    """The documents in force; a document without a version in force is absent."""

    configuration: ConfigurationDocument
    hosts: HostsDocument
    backend_servers: BackendServersDocument


class ConfigurationResponse(TypedDict):
    """The response to ``GET /v1/configuration``: the documents in force.

    Attributes:
        host: The host's name.
        versions: The versions in force, by document name.
        documents: The documents in force, by document name.
        refused_documents: The documents that this host refused.
    """

    host: str
    versions: dict[str, DocumentVersion]
    documents: Documents
    refused_documents: list[RefusedDocument]


class EventRow(TypedDict):
    """An event in JSON: the fields of ``Event``, with those of its stamp inlined."""

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


class EventsResponse(TypedDict):
    """The response to ``GET /v1/events?after=N&limit=M``.

    Attributes:
        host: The host's name.
        incarnation: The number of this start of the daemon on the host; sequence
            numbers start again with each.
        events: The newest M events with a sequence number above N, oldest first.
        lost: Number of events above N that the host no longer keeps.
        last: The highest sequence number assigned so far, 0 if none.
        horizon: A stamp that every later event of this host exceeds.
    """

    host: str
    incarnation: int
    events: list[EventRow]
    lost: int
    last: int
    horizon: Stamp


class ChoiceRow(TypedDict):
    """A backend server that is a candidate for a chat.

    Attributes:
        backend_server: The backend server's name.
        rank: Position in the order of preference, from 1.
        in_flight: Number of requests that it is processing, as the owner knows it.
        state: Whether it can be used.
        reason: Why it is or is not chosen.
    """

    backend_server: str
    rank: int
    in_flight: int
    state: str
    reason: str


class ExplainResponse(TypedDict):
    """The response to ``GET /v1/explain?chat=C&class=K``: the placement of a chat.

    Attributes:
        chat: The chat's id.
        work_class: The name of the class of work.
        pool: The model or operation that the class needs.
        owner: The host that admits the chat's requests.
        choices: The candidates; empty if the host does not know them, since only the
            owner does.
        chosen: The backend server that a request would be sent to now; None if the
            owner would refuse the request, or if this host does not know it.
    """

    chat: str
    work_class: str
    pool: str
    owner: str
    choices: list[ChoiceRow]
    chosen: str | None


def make_event_row(event: Event) -> EventRow:
    """Return an event in the form that responses have."""
    fields = event._asdict()
    stamp = fields.pop("stamp")
    return EventRow(**fields, **stamp._asdict())


def make_events_response(
    ring: EventBuffer, after: int, limit: int | None
) -> EventsResponse:
    """Return the response to ``GET /v1/events``.

    Args:
        ring: The events of this host.
        after: The last sequence number that the client already has; 0 for all.
        limit: Maximum number of events, the newest are preferred; None for no limit.
    """
    tail = ring.list_after(after, limit)
    rows = [make_event_row(event) for event in tail.events]
    return EventsResponse(
        host=ring.host,
        incarnation=ring.incarnation,
        events=rows,
        lost=tail.lost,
        last=tail.last,
        horizon=tail.horizon,
    )


def parse_event_row(row: EventRow) -> Event:
    """Return the event of a row; the inverse of ``make_event_row``."""
    fields = dict(row)
    stamp = Stamp(fields.pop("time_us"), fields.pop("count"))
    return Event(**fields, stamp=stamp)
