"""What an entry host is told at its start."""

from typing import NamedTuple

from oleanderpier.routing import BudgetLimits

__all__ = ["EntrySettings"]


class EntrySettings(NamedTuple):
    """The settings of one process; addresses are ``IP:PORT``.

    Attributes:
        host: The name of this host, for people.
        failure_domain: Where it stands.
        caller_address: Where callers connect.
        ready_address: Where the platform asks whether this host is ready.
        peer_address: Where other hosts connect; names this host among them.
        directory_address: Where callers ask for addresses.
        metrics_address: Where metrics are served, None for nowhere.
        platform_address: Where the platform's store is.
        seeds: Peer addresses of some hosts, which may be gone.
        grace_s: From SIGTERM to the end of the process.
        budget: The retry budget of all hosts together.
        longest_keep_s: How long callers may keep a list of addresses at most.
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
