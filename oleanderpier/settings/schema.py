"""The schema of a settings file, with the meaning and default of each field."""

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
    """Where the platform's configuration service listens."""

    address: Annotated[Address, Meta(description="IP number of the platform.")]
    port: Annotated[Port, Meta(description="TCP port of the platform.")]


class SeedPeer(TypedDict):
    """A host to ask first, before any list of hosts is known."""

    name: Annotated[Name, Meta(description="Name of the peer's host.")]
    address: Annotated[Address, Meta(description="IP number of the peer.")]
    peer_port: Annotated[Port, Meta(description="TCP port for peers there.")]


class Limits(TypedDict):
    """Bounds on what the process waits for and keeps."""

    max_body_bytes: NotRequired[
        Annotated[
            int,
            Meta(
                ge=1024,
                le=1 << 26,
                description="Bytes of the largest request body taken from a caller.",
            ),
        ]
    ]
    events_kept: NotRequired[
        Annotated[
            int,
            Meta(ge=1, le=1 << 17, description="Events kept in memory."),
        ]
    ]
    address_keep_s: NotRequired[
        Annotated[
            Seconds,
            Meta(description="Seconds for which callers may keep a list of addresses."),
        ]
    ]
    drain_s: NotRequired[
        Annotated[
            Seconds,
            Meta(
                description="Seconds from SIGTERM to exit at the latest; "
                "not less than address_keep_s."
            ),
        ]
    ]


class Settings(TypedDict):
    """What one process is told at its start.

    Everything else, above all the targets, is published by the platform.
    """

    host: Annotated[Name, Meta(description="Name of this host.")]
    failure_domain: Annotated[
        Name, Meta(description="Failure domain in which this host stands.")
    ]
    region: Annotated[Name, Meta(description="Region of the failure domain.")]
    address: Annotated[
        Address, Meta(description="IP number to listen on and to be reached at.")
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
