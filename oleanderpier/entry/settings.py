"""The settings of an entry host."""

from typing import NamedTuple

from oleanderpier.connections import CallerBounds, derive_bounds
from oleanderpier.routing import DEFAULT_LOAD_LIMIT_FACTOR, BudgetLimits

__all__ = ["EntrySettings"]


class EntrySettings(NamedTuple):
    """The settings of one process; addresses are ``IP:PORT``.

    Attributes:
        host: The display name of this host.
        failure_domain: The failure domain of this host.
        caller_address: Accepts the requests of callers.
        ready_address: Serves the platform's readiness checks.
        peer_address: Accepts streams of other hosts; also the name by which
            hosts identify each other.
        directory_address: Serves the address list to callers.
        metrics_address: Serves metrics; None to disable them.
        platform_address: The address of the platform's store.
        seeds: The peer addresses of some hosts, which may no longer exist.
        grace_s: The seconds from SIGTERM until the process is killed.
        budget: The retry budget of the whole fleet.
        longest_keep_s: Upper bound of the time for which callers may use an
            address list, in seconds.
        load_limit_factor: Limit on the requests in flight at a backend server, as a
            multiple of the mean of its service.
        evacuate_s: Time within which evacuations take effect, in seconds; None if they
            are not read.
        contact_s: Time within which hosts that are gone are known to be, in seconds,
            None without a bound.
        regions: The region of each failure domain, as pairs.
        capacity_permits: Whether services that ask for it are under permits. Rates of
            cold servers hold in any case.
        caller_bounds: The limits on what callers may take of this process.
        server_leave_s: Time within which servers that leave get no requests, in
            seconds, None if unknown.
    """

    host: str
    failure_domain: str
    caller_address: str
    ready_address: str
    peer_address: str
    directory_address: str
    metrics_address: str | None
    platform_address: str
    seeds: tuple[str, ...]
    grace_s: float
    budget: BudgetLimits
    longest_keep_s: float
    load_limit_factor: float = DEFAULT_LOAD_LIMIT_FACTOR
    evacuate_s: float | None = None
    contact_s: float | None = None
    regions: tuple[tuple[str, str], ...] = ()
    capacity_permits: bool = False
    caller_bounds: CallerBounds = derive_bounds(None, None)
    server_leave_s: float | None = None
