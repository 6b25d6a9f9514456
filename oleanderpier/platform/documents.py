"""Decodes the platform's documents: configurations and server entries."""

import ipaddress
from typing import Annotated, Any, NotRequired, TypedDict

import msgspec
from msgspec import Meta

from oleanderpier.exception import SettingsError
from oleanderpier.routing import (
    CallerLimits,
    RequestKind,
    Route,
    RoutingTable,
    ServerEntry,
    ServiceEntry,
    ServiceShare,
    WorkspaceEntry,
)
from oleanderpier.utils import convert_mapping

__all__ = [
    "REQUEST_KINDS",
    "ConfigurationDocument",
    "EngineDocument",
    "decode_configuration",
    "decode_json",
    "decode_server",
]

MILLISECONDS_PER_S = 1000.0
MAX_PORT = 65535
# Without brackets the port could not be told from the address.
IP_VERSION_IN_BRACKETS = 6
# The largest integer that messages between hosts can hold.
MAX_INTEGER = (1 << 63) - 1

_Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
_NonNegative = Annotated[float, Meta(ge=0)]
# The kinds of routes, by their names in a configuration.
REQUEST_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ONCE,
    "streaming": RequestKind.STREAM,
}


class _Share(TypedDict):
    Service: str
    Weight: float


class _Route(TypedDict):
    Name: str
    Host: str
    Prefix: str
    RouteKind: str
    TimeoutMs: float
    # The latency target of the response; of a stream, of its first event.
    TargetLatencyMs: NotRequired[float]
    # The target for the time between two events of a stream.
    TargetGapMs: NotRequired[float | None]
    Priority: NotRequired[int | None]
    # Either one service or several with weights.
    Service: NotRequired[str | None]
    TrafficSplit: NotRequired[list[_Share] | None]
    # Upper bound of the attempts at servers per request of a caller.
    MaxAttempts: NotRequired[int | None]
    Public: NotRequired[bool | None]
    # Whether requests carry prompt parts, so that servers' caches matter.
    Sticky: NotRequired[bool | None]
    Resumable: NotRequired[bool | None]
    # The regions whose servers may get its requests; all if there are none.
    AllowedRegions: NotRequired[list[str] | None]


class _Limits(TypedDict):
    MaxBodyBytes: int


class _Tenant(TypedDict):
    Name: str
    ApiKeys: list[str]
    Priority: NotRequired[int | None]
    AllowedRegions: NotRequired[list[str] | None]


class EngineDocument(TypedDict):
    """The engine of a service in a configuration."""

    # What a copy of cached prompt tokens from server to server needs.
    KvTokenBytes: NotRequired[_NonNegative | None]
    LinkMbps: NotRequired[_NonNegative | None]


class _Service(TypedDict):
    Name: str
    ColdStartS: NotRequired[_NonNegative | None]
    # Requests per second that a cold server tolerates from all hosts together.
    ColdPerS: NotRequired[_NonNegative | None]
    # An ``EngineDocument``. It is read only of services with limits for cold servers.
    Engine: NotRequired[Any]


class ConfigurationDocument(TypedDict):
    """The configuration that operators publish."""

    Version: int
    Routes: list[_Route]
    Limits: _Limits
    Tenants: NotRequired[list[_Tenant] | None]
    Services: NotRequired[list[_Service] | None]


class _Server(TypedDict):
    # An entry that lacks a field, or has one of another type, is another writer's.
    Service: str
    Address: str
    Zone: str
    Version: str | int
    Slots: _Count
    State: str
    ColdRemainingMs: Annotated[float, Meta(ge=0)]
    Sequence: _Count
    # When the server started, in milliseconds since the Unix epoch.
    born: NotRequired[_Count | None]


# The states of a server, and whether it gets no new requests.
_LEAVING_BY_STATE = {"ready": False, "draining": True}


def decode_configuration(data: bytes) -> RoutingTable:
    """Decode a published configuration into a routing table.

    Args:
        data: The JSON document.

    Raises:
        SettingsError: The document is malformed.
    """
    value = convert_mapping(ConfigurationDocument, decode_json(data))
    tenants = value.get("Tenants")
    return RoutingTable(
        version=value["Version"],
        routes=tuple(_make_route(route) for route in value["Routes"]),
        credentials=None if tenants is None else _index_credentials(tenants),
        limits=CallerLimits(value["Limits"]["MaxBodyBytes"]),
        services=tuple(
            _make_service(service)
            for service in value.get("Services") or ()
            if service.get("ColdPerS")
        ),
    )


def decode_server(identity: str, data: bytes) -> ServerEntry:
    """Decode the entry of a server.

    Args:
        identity: The server's id, which is part of the entry's key.
        data: The JSON document. Other programs write to the same key space, so
            it may be no server entry.

    Raises:
        SettingsError: The document is malformed or no server entry.
    """
    value = convert_mapping(_Server, decode_json(data))
    if value["State"] not in _LEAVING_BY_STATE:
        raise SettingsError("$.State", value["State"], " or ".join(_LEAVING_BY_STATE))
    if not _is_address(value["Address"]):
        allowed = f"IP:PORT with a port from 1 to {MAX_PORT}"
        raise SettingsError("$.Address", value["Address"][:80], allowed)
    if not (identity.isascii() and identity.isprintable() and identity.split()):
        raise SettingsError("the entry's id", repr(identity), "printable ASCII")
    return ServerEntry(
        identity=identity,
        service=value["Service"],
        address=value["Address"],
        failure_domain=value["Zone"],
        leaving=_LEAVING_BY_STATE[value["State"]],
        born_ms=value.get("born") or 0,
        cold_remaining_s=value["ColdRemainingMs"] / MILLISECONDS_PER_S,
    )


def _is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port."""
    host, _, port = text.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    # A scope is an interface of the host that wrote it.
    if "%" in host or is_bracketed != (address.version == IP_VERSION_IN_BRACKETS):
        return False
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    return is_number and 1 <= int(port) <= MAX_PORT


def decode_json(data: bytes) -> Any:
    """Decode a JSON document.

    Raises:
        SettingsError: It is malformed.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError("$", str(error), "JSON") from error


def _make_service(service: _Service) -> ServiceEntry:
    engine = convert_mapping(EngineDocument, service.get("Engine") or {})
    return ServiceEntry(
        service["Name"],
        service.get("ColdStartS") or 0.0,
        service["ColdPerS"],
        engine.get("KvTokenBytes") or 0.0,
        engine.get("LinkMbps") or 0.0,
    )


def _make_route(route: _Route) -> Route:
    if route["RouteKind"] not in REQUEST_KINDS:
        raise SettingsError(
            "$.Routes.RouteKind", route["RouteKind"], str(list(REQUEST_KINDS))
        )
    shares = route.get("TrafficSplit") or []
    single = route.get("Service")
    if single:
        shares = [_Share(Service=single, Weight=1.0)]
    timeout_s = route["TimeoutMs"] / MILLISECONDS_PER_S
    target_s = (route.get("TargetLatencyMs") or route["TimeoutMs"]) / MILLISECONDS_PER_S
    return Route(
        name=route["Name"],
        host_name=route["Host"].lower(),
        prefix=route["Prefix"],
        kind=REQUEST_KINDS[route["RouteKind"]],
        resumable=bool(route.get("Resumable")),
        timeout_s=timeout_s,
        target_s=target_s,
        gap_target_s=(route.get("TargetGapMs") or 0.0) / MILLISECONDS_PER_S,
        priority=route.get("Priority") or 0,
        shares=tuple(
            ServiceShare(share["Service"], share["Weight"]) for share in shares
        ),
        max_attempts=route.get("MaxAttempts") or 1,
        public=bool(route.get("Public")),
        sticky=bool(route.get("Sticky")),
        allowed_regions=tuple(route.get("AllowedRegions") or ()),
    )


def _index_credentials(tenants: list[_Tenant]) -> dict[str, WorkspaceEntry]:
    return {
        key: WorkspaceEntry(
            tenant["Name"],
            tenant.get("Priority"),
            tuple(tenant.get("AllowedRegions") or ()),
        )
        for tenant in tenants
        for key in tenant["ApiKeys"]
    }
