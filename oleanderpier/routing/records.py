"""Routes, services, workspaces and backend servers in the form that routing uses."""

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
    "ServiceEntry",
    "ServiceShare",
    "WorkspaceEntry",
]


class RequestKind(Enum):
    """Whether and how a request may be retried.

    An idempotent request may be retried after any failure, one that runs at most
    once only if it certainly has not run, and a stream if its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """The share of a route's requests that goes to one service.

    Attributes:
        service: The service's name.
        weight: Its share, relative to the weights of the route's other services.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for a host name and a path prefix are served.

    Attributes:
        name: The route's name.
        host_name: The host name in callers' requests, in lower case.
        prefix: The prefix of every path of the route; ends with a slash.
        kind: Whether and how its requests may be retried.
        resumable: Whether another backend server can resume a stream.
        timeout_s: Longest time until the end of the response, in seconds.
        target_s: Latency target in seconds; for a stream, until its first event.
        gap_target_s: Target for the gap between two events of a stream, in seconds.
        priority: The priority of its requests; 0 is the highest.
        shares: The services that serve it, with their shares.
        max_attempts: How many backend servers one request may be sent to.
        public: Whether its requests need no credential.
        sticky: Whether its requests name the parts of a prompt, which are cached.
        allowed_regions: The only regions whose servers its requests may reach; empty
            if all.
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
    allowed_regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request may safely run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.resumable
        )


class WorkspaceEntry(NamedTuple):
    """The workspace that a credential belongs to.

    Attributes:
        name: The workspace's name.
        priority: Overrides the route's priority; None keeps the route's.
        allowed_regions: The only regions whose servers its requests may reach; empty
            if all.
    """

    name: str
    priority: int | None
    allowed_regions: tuple[str, ...] = ()


class CallerLimits(NamedTuple):
    """Limits on callers' requests.

    Attributes:
        max_body_bytes: Largest request body.
    """

    max_body_bytes: int


class ServiceEntry(NamedTuple):
    """A service whose servers tolerate few requests while they are cold.

    Attributes:
        name: The service's name.
        cold_start_s: How long a server is cold after it has started, in seconds.
        cold_per_s: The requests per second that a cold server tolerates, of all hosts
            together.
        kv_token_bytes: Bytes of a cached prompt token, 0 if unknown.
        link_mbps: Rate of the link between its servers in Mbit/s, 0 if unknown.
    """

    name: str
    cold_start_s: float
    cold_per_s: float
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0


class RoutingTable(NamedTuple):
    """One published version of the routing configuration.

    Attributes:
        version: Its version number.
        routes: All routes.
        credentials: The workspace of each credential; None if the configuration
            has no workspaces, and no request needs a credential.
        limits: Limits on callers' requests.
        services: The services whose cold servers tolerate few requests.
    """

    version: int
    routes: tuple[Route, ...]
    credentials: dict[str, WorkspaceEntry] | None
    limits: CallerLimits
    services: tuple[ServiceEntry, ...] = ()


class ServerEntry(NamedTuple):
    """A backend server's registration.

    Attributes:
        identity: Its unique id.
        service: The service that it belongs to.
        address: IP address and port, such as ``10.0.0.7:80``.
        failure_domain: The failure domain that it runs in.
        leaving: Whether it accepts no new requests.
        born_ms: Start time in Unix milliseconds, 0 if unknown.
        cold_remaining_s: How long it was still cold when it wrote its registration, in
            seconds.
    """

    identity: str
    service: str
    address: str
    failure_domain: str
    leaving: bool
    born_ms: int
    cold_remaining_s: float = 0.0


class PromptPrefix(NamedTuple):
    """A prefix of a prompt that other requests share.

    Attributes:
        key: The id of its last part, which identifies the whole prefix: equal ids
            only follow equal parts.
        tokens: Its length in tokens.
    """

    key: str
    tokens: int


class PromptPart(NamedTuple):
    """One part of a prompt; engines cache prompts part by part.

    Attributes:
        identity: The id of its content; equal parts have equal ids.
        tokens: Its length in tokens.
    """

    identity: str
    tokens: int
