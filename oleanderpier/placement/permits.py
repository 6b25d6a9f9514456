"""The granted permits of one pool, by entry host, and the hosts' leases."""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from oleanderpier.placement.loads import PoolLoads

__all__ = ["GrantedPermit", "PermitTable"]

LEASE_DURATION_S = 20.0
# A permit younger than this may still be on its way to the entry host.
MAX_GRANT_DELIVERY_S = 2.0


class GrantedPermit(NamedTuple):
    """A permit as recorded by the pool's owner.

    Attributes:
        backend_server: The server that runs the request.
        chat: The hash of the chat's id; 0 if the request belongs to no chat.
        workspace: The hash of the workspace's name.
        granted_s: The monotonic time of the grant, in seconds.
    """

    backend_server: str
    chat: int
    workspace: int
    granted_s: float


class PermitTable:
    """The permits of a pool, each counted once by host, workspace and server.

    Args:
        loads: The pool's loads, updated with each permit added or removed.

    Attributes:
        in_flight_by_workspace: The number of permits by hash of the workspace.
        migration_requested_s: The monotonic time at which the entry host was
            asked to move a stream to another server, by host and permit
            number.

    Examples:
        >>> permits = PermitTable(PoolLoads())
        >>> permits.add("h1", 7, GrantedPermit("e1", 0, 3, 0.0))
        >>> permits.in_flight_by_workspace[3]
        1
        >>> permits.remove("h1", 7).backend_server
        'e1'
    """

    def __init__(self, loads: PoolLoads):
        self.in_flight_by_workspace: Counter[int] = Counter()
        self.migration_requested_s: dict[tuple[str, int], float] = {}
        self._loads = loads
        self._permits: dict[str, dict[int, GrantedPermit]] = {}
        self._renewed_s: dict[str, float] = {}

    def __iter__(self) -> Iterator[tuple[str, int, GrantedPermit]]:
        for host, held in self._permits.items():
            for number, permit in held.items():
                yield host, number, permit

    def list_numbers(self, host: str) -> list[int]:
        """Return the numbers of a host's permits."""
        return list(self._permits.get(host, ()))

    def add(self, host: str, number: int, permit: GrantedPermit) -> None:
        """Add a permit; a host's first permit starts the host's lease."""
        self.remove(host, number)
        held = self._permits.setdefault(host, {})
        if not held:
            self._renewed_s[host] = permit.granted_s
        held[number] = permit
        self.in_flight_by_workspace[permit.workspace] += 1
        self._loads.add_permit(permit.backend_server)

    def remove(self, host: str, number: int) -> GrantedPermit | None:
        """Remove a permit; return it, or None if there is no such permit."""
        permit = self._permits.get(host, {}).pop(number, None)
        if permit is None:
            return None
        self.migration_requested_s.pop((host, number), None)
        self.in_flight_by_workspace[permit.workspace] -= 1
        if not self.in_flight_by_workspace[permit.workspace]:
            del self.in_flight_by_workspace[permit.workspace]
        self._loads.remove_permit(permit.backend_server, permit.granted_s)
        return permit

    def remove_host(self, host: str) -> None:
        """Remove all permits of a host and its lease."""
        for number in self.list_numbers(host):
            self.remove(host, number)
        self._permits.pop(host, None)
        self._renewed_s.pop(host, None)

    def renew(self, host: str, held_numbers: set[int], now: float) -> None:
        """Renew a host's lease and remove the permits that it no longer holds.

        A permit granted within the last MAX_GRANT_DELIVERY_S is kept: it may
        not have reached the host when the host listed its permits.

        Args:
            host: The entry host.
            held_numbers: The numbers of all permits that the host holds.
            now: The monotonic time in seconds.
        """
        self._renewed_s[host] = now
        for number, permit in list(self._permits.get(host, {}).items()):
            if (
                number not in held_numbers
                and now - permit.granted_s > MAX_GRANT_DELIVERY_S
            ):
                self.remove(host, number)

    def list_expired_hosts(self, now: float) -> list[str]:
        """Return the hosts whose lease has expired."""
        return [
            host
            for host, renewed_s in self._renewed_s.items()
            if self._permits.get(host) and now - renewed_s > LEASE_DURATION_S
        ]

    def recount_servers(self) -> None:
        """Recompute the requests in flight after the pool's servers changed."""
        for load in self._loads.servers.values():
            load.in_flight = 0
        for _, _, permit in self:
            self._loads.add_permit(permit.backend_server)
