"""Records of permits for requests to backend servers."""

from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "DecidedPermits",
    "PermitDecision",
    "PermitDemand",
    "PermitHolder",
    "PermitOutcome",
    "PermitRate",
    "PermitStatus",
    "ServerKey",
    "StatedLoad",
]


class ServerKey(NamedTuple):
    """One run of a backend server.

    Attributes:
        identity: The id of the server.
        born_ms: When it started, in Unix milliseconds.
    """

    identity: str
    born_ms: int


class PermitHolder(NamedTuple):
    """The request that asks for a permit or has one; unique in the fleet.

    Attributes:
        host: The host that asks.
        number: The number of its query.
    """

    host: str
    number: int


class PermitRate(NamedTuple):
    """The requests per second that a server's owner grants.

    Attributes:
        per_s: The tokens that are added per second; above 0.
        burst: The tokens that the bucket holds at most; at least 1.
    """

    per_s: float
    burst: float


class PermitDemand(NamedTuple):
    """A host's query for a permit.

    Attributes:
        holder: Names the permit in all later calls.
        slots: How many requests the server runs at a time, 0 if unknown.
        rate: What the owner is to grant per second, None without a limit; see
            ``compute_cold_rate`` for cold servers.
        urgency: 0 to 9; 0 is the most urgent.
        workspace: The name of the workspace, empty without one.
        is_repeat: Whether it is a retry, a hedged request, or was refused before.
        uncached_tokens: Prompt tokens that are not cached at the server, as far as the
            host knows.
        max_wait_s: How long the request may wait at the owner; 0 to decide now.
        expires_after_s: When a permit without a release expires, in seconds after it
            was granted.
    """

    holder: PermitHolder
    slots: int
    rate: PermitRate | None
    urgency: int
    workspace: str
    is_repeat: bool
    uncached_tokens: int
    max_wait_s: float
    expires_after_s: float


class PermitOutcome(IntEnum):
    """What the owner of a server has decided.

    Attributes:
        GRANTED: The request may be sent.
        FULL: The server has no room, and the request may not wait.
        PREFILLING: The server has room, but is busy with long prompts.
        USED_UP: The server has room, but its rate limit is used up. Such a request is
            never queued.
        QUEUED: The request waits at the owner. It is not sent to the host.
        WAIT_TOO_LONG: There would be no room within the time that the request may wait.
        NOT_OWNER: The host that was asked takes another one for the owner. Never
            returned by ``ServerPermits``.
    """

    GRANTED = 0
    FULL = 1
    PREFILLING = 2
    USED_UP = 3
    QUEUED = 4
    WAIT_TOO_LONG = 5
    NOT_OWNER = 6


class PermitDecision(NamedTuple):
    """The decision on a query.

    Attributes:
        outcome: What was decided.
        wait_s: Expected seconds until there is room for this request; 0 if granted.
        in_flight: The permits of the server that are held, with this one if granted.
    """

    outcome: PermitOutcome
    wait_s: float
    in_flight: int


class StatedLoad(NamedTuple):
    """What a server stated last about its load.

    Attributes:
        running: The requests that it runs, None if unknown.
        waiting: The requests that wait at it, None if unknown.
        slots: How many it runs at a time, None if unknown.
        slow_factor: How long work takes there; 1 is usual. None if unknown.
    """

    running: int | None
    waiting: int | None
    slots: int | None
    slow_factor: float | None


class PermitStatus(NamedTuple):
    """What the decisions on the permits of a server are based on, for logs and gauges.

    Attributes:
        in_flight: The requests that count as in flight.
        queued: The requests that wait for a permit.
        room: How many permits may be held, infinite if the slots are unknown.
        slots: How many requests the server runs at a time, 0 if unknown.
        slow_factor: How long work takes there, 1 if that is unknown or too old.
        slow_factor_age_s: How old the last slow factor is, infinite without one.
        slot_s: The mean time for which a request uses a slot.
        prefill_tokens: The tokens of the prompts in prefill.
    """

    in_flight: int
    queued: int
    room: float
    slots: int
    slow_factor: float
    slow_factor_age_s: float
    slot_s: float
    prefill_tokens: int


# Queued requests that were decided, in the order of the decisions.
DecidedPermits = list[tuple[PermitHolder, PermitDecision]]
