"""Routes, services, workspaces and backend servers, as routing sees them."""

from enum import Enum
from typing import NamedTuple

__all__ = [
    "CallerLimits",
    "PromptPart",
    "PromptPrefix",
    "RequestKind",
    "Route",
    "RoutingTable",
    "ServerEntry",
    "ServiceShare",
    "WorkspaceEntry",
]


class RequestKind(Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """A service's part of a route's requests.

    Attributes:
        service: The service's name.
        weight: Its part, relative to the other shares of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests for a host name and a path go.

    Attributes:
        name: The route's name.
        host_name: The host name that callers ask for.
        prefix: Begins every path of the route.
        kind: What may be repeated.
        resumable: Whether a stream may go on at another backend server.
        timeout_s: The longest time until the final answer.
        target_s: The latency target; of a stream, for its first event.
        gap_target_s: The longest pause between two events that is on time.
        priority: Its rank; 0 goes first.
        shares: The services that serve it.
        max_attempts: To how many backend servers one request may be sent.
        public: Whether it needs no credential.
        sticky: Whether requests carry a prompt whose parts are cached.
    """

    name: str
    host_name: str
    prefix: str
    kind: RequestKind
    resumable: bool
    timeout_s: float
    target_s: float
    gap_target_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    public: bool
    sticky: bool

    @property
    def repeatable(self) -> bool:
        """Whether a second run of a request does no harm."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.resumable
        )


class WorkspaceEntry(NamedTuple):
    """A workspace that a credential belongs to.

    Attributes:
        name: The workspace's name.
        priority: Goes before the route's; None leaves the route's in place.
    """

    name: str
    priority: int | None


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send.

    Attributes:
        max_body_bytes: The largest request body.
    """

    max_body_bytes: int


class RoutingTable(NamedTuple):
    """One published configuration.

    Attributes:
        version: Its version.
        routes: All routes.
        credentials: The workspace of each credential; None if the
            configuration has no workspaces, and no request needs one.
        limits: Bounds for callers.
    """

    version: int
    routes: tuple[Route, ...]
    credentials: dict[str, WorkspaceEntry] | None
    limits: CallerLimits


class ServerEntry(NamedTuple):
    """A backend server as it registered itself.

    Attributes:
        identity: Its unique id.
        service: The service it belongs to.
        address: IP number and port, ``10.0.0.7:80``.
        failure_domain: Where it stands.
        leaving: Whether it takes no new requests.
        born_ms: Unix milliseconds of its start, 0 if unknown.
    """

    identity: str
    service: str
    address: str
    failure_domain: str
    leaving: bool
    born_ms: int


class PromptPrefix(NamedTuple):
    """The start of a prompt that other requests begin with as well.

    Attributes:
        key: Names the part that ends it; equal keys follow equal parts.
        tokens: Its length from the prompt's start.
    """

    key: str
    tokens: int


class PromptPart(NamedTuple):
    """A part of a prompt, which engines cache.

    Attributes:
        identity: Names its content; equal parts have equal names.
        tokens: Its length.
    """

    identity: str
    tokens: int
