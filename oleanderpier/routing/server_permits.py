"""Permits for requests to backend servers, granted by one owner for each server.

The module answers this load pattern: many hosts share few servers, and what the hosts
know about each other's load is older than a request takes. Several of them then send
to the same free slot, and the server rejects requests, or serves those first that came
first instead of the most urgent ones. One host, the owner, therefore counts the
requests of all hosts to a server exactly, and queues those that may wait.

The state is that of one owner, for all servers that it owns. All times are arguments,
in seconds on the monotonic clock; nothing is read or sent here. The caller

- sends each decision other than ``QUEUED`` to the host that asked;
- sends those that the other methods return to the hosts of the holders;
- calls ``remove_expired`` about every ``TICK_S``, since queued requests are also
  decided because time has passed.
"""

from oleanderpier.routing.permit_records import (
    DecidedPermits,
    PermitDecision,
    PermitDemand,
    PermitHolder,
    PermitRate,
    ServerKey,
    StatedLoad,
)

__all__ = ["TICK_S", "ServerPermits", "compute_cold_rate", "compute_cold_share_per_s"]

# Hosts wait 0.1 s beyond the longest wait for the reply, so that a decision that is
# one interval late still arrives in time.
TICK_S = 0.02


class ServerPermits:
    """The permits of the servers that a host owns."""

    def request(
        self, server_key: ServerKey, query: PermitDemand, now_s: float
    ) -> PermitDecision:
        """Decide on a query, or queue it.

        A query that is repeated with the same holder gets the same permit or place in
        the queue.

        Args:
            server_key: The server.
            query: The query.
            now_s: The time.
        """
        raise NotImplementedError

    def release(
        self, holder: PermitHolder, now_s: float, load: StatedLoad | None = None
    ) -> DecidedPermits:
        """Remove a permit whose request has ended, or a query whose caller has left.

        An unknown holder is ignored.

        Args:
            holder: The holder of the permit.
            now_s: The time.
            load: What the server stated last, None if nothing.

        Returns:
            The queued requests that are decided now.
        """
        raise NotImplementedError

    def end_prefill(self, holder: PermitHolder, now_s: float) -> DecidedPermits:
        """Record that the first event of a response has arrived.

        Args:
            holder: The holder of the permit.
            now_s: The time.

        Returns:
            The queued requests that are decided now.
        """
        raise NotImplementedError

    def remove_host(self, host: str, now_s: float) -> DecidedPermits:
        """Remove the permits and queries of a host that is gone.

        Args:
            host: The name of the host.
            now_s: The time.

        Returns:
            The queued requests of other hosts that are decided now.
        """
        raise NotImplementedError

    def remove_expired(self, now_s: float) -> DecidedPermits:
        """Remove permits that have expired, and decide what time has decided.

        Args:
            now_s: The time.

        Returns:
            The queued requests that are decided now.
        """
        raise NotImplementedError

    def assume_in_flight(
        self, server_key: ServerKey, in_flight: int, until_s: float
    ) -> None:
        """Count at least some requests to a server, whose permits are not known here.

        A host that has just become the owner does not know the permits of the previous
        one.

        Args:
            server_key: The server.
            in_flight: The requests in flight that hosts report.
            until_s: Until when they count.
        """
        raise NotImplementedError

    def count_in_flight(self, server_key: ServerKey, now_s: float) -> int:
        """Return the requests that count as in flight at a server."""
        raise NotImplementedError

    def count_queued(self) -> int:
        """Return the requests that wait for a permit of any server."""
        raise NotImplementedError


def compute_cold_rate(per_s: float) -> PermitRate:
    """Return the rate that the owner of a cold server grants.

    Args:
        per_s: The requests per second that the server takes from all hosts.
    """
    raise NotImplementedError


def compute_cold_share_per_s(per_s: float, hosts: int) -> float:
    """Return the requests per second that a host sends to a cold server unasked.

    Args:
        per_s: The requests per second that the server takes from all hosts.
        hosts: The number of hosts.
    """
    raise NotImplementedError
