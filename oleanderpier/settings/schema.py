"""Schema of a settings file, with the description and default of each field."""

from typing import Annotated, NotRequired, TypedDict

from msgspec import Meta

__all__ = ["DEFAULT_LIMITS", "Limits", "PlatformAddress", "SeedPeer", "Settings"]

NAME_PATTERN = "^[a-zA-Z0-9._-]{1,64}$"
ADDRESS_PATTERN = "^[0-9a-fA-F.:]+$"

Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]


class PlatformAddress(TypedDict):
    """Address of the platform's configuration service."""

    address: Annotated[Address, Meta(description="IP address of the platform.")]
    port: Annotated[Port, Meta(description="TCP port of the platform.")]


class SeedPeer(TypedDict):
    """A host to contact at the start, before a list of hosts is known."""

    name: Annotated[Name, Meta(description="Name of the peer's host.")]
    address: Annotated[Address, Meta(description="IP address of the peer.")]
    peer_port: Annotated[
        Port, Meta(description="TCP port of the peer for other hosts.")
    ]


class Limits(TypedDict):
    """Limits of sizes and times. Missing ones have the defaults below."""

    max_body_bytes: NotRequired[
        Annotated[
            int,
            Meta(
                ge=1024,
                le=1 << 26,
                description="Largest request body from a caller, in bytes.",
            ),
        ]
    ]
    events_kept: NotRequired[
        Annotated[
            int,
            Meta(ge=1, le=1 << 17, description="Number of events kept in memory."),
        ]
    ]
    address_keep_s: NotRequired[
        Annotated[
            Seconds,
            Meta(description="Seconds for which callers may use a list of addresses."),
        ]
    ]
    drain_s: NotRequired[
        Annotated[
            Seconds,
            Meta(
                description="Longest time from SIGTERM to exit, in seconds; "
                "at least address_keep_s."
            ),
        ]
    ]


class Settings(TypedDict):
    """Settings that one process reads at its start.

    Everything else, such as the latency targets, is published by the platform.
    """

    host: Annotated[Name, Meta(description="Name of this host.")]
    failure_domain: Annotated[
        Name, Meta(description="Failure domain that this host is in.")
    ]
    region: Annotated[Name, Meta(description="Region of the failure domain.")]
    address: Annotated[
        Address, Meta(description="IP address to listen on and to be reached at.")
    ]
    caller_port: Annotated[Port, Meta(description="TCP port for callers.")]
    peer_port: Annotated[Port, Meta(description="TCP port for other hosts.")]
    operator_port: Annotated[Port, Meta(description="TCP port for operators.")]
    platform: PlatformAddress
    seed_peers: list[SeedPeer]
    limits: NotRequired[Limits]


DEFAULT_LIMITS = Limits(
    max_body_bytes=1 << 20,
    events_kept=4096,
    address_keep_s=30.0,
    drain_s=600.0,
)
