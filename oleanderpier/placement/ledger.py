"""The permits of one pool, by entry host, with their leases."""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from oleanderpier.placement.loads import PoolLoads

__all__ = ["GrantedPermit", "PermitLedger"]

LEASE_S = 20.0
RENEWAL_RACE_S = 2.0


class GrantedPermit(NamedTuple):
    """A permit as its owner counts it."""

    backend_server: str
    chat: int
    workspace: int
    granted_s: float


class PermitLedger:
    """Counts every permit once, by host, workspace and backend server.

    Args:
        loads: The pool's loads, which are kept in step.

    Attributes:
        workspaces: Permits in flight by workspace.
        migrating: When the holder was asked to resume a stream elsewhere, by
            host and number.

    Examples:
        >>> ledger = PermitLedger(PoolLoads())
        >>> ledger.add("h1", 7, GrantedPermit("e1", 0, 3, 0.0))
        >>> ledger.workspaces[3], ledger.drop("h1", 7).backend_server
        (1, 'e1')
    """

    def __init__(self, loads: PoolLoads):
        self.workspaces: Counter[int] = Counter()
        self.migrating: dict[tuple[str, int], float] = {}
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
        """Count a permit; a host's first one begins its lease."""
        self.drop(host, number)
        held = self._permits.setdefault(host, {})
        if not held:
            self._renewed_s[host] = permit.granted_s
        held[number] = permit
        self.workspaces[permit.workspace] += 1
        self._loads.add(permit.backend_server)

    def drop(self, host: str, number: int) -> GrantedPermit | None:
        """Count a permit no longer; return it if it was counted."""
        permit = self._permits.get(host, {}).pop(number, None)
        if permit is None:
            return None
        self.migrating.pop((host, number), None)
        self.workspaces[permit.workspace] -= 1
        if not self.workspaces[permit.workspace]:
            del self.workspaces[permit.workspace]
        self._loads.remove(permit.backend_server, permit.granted_s)
        return permit

    def drop_host(self, host: str) -> None:
        """Count no permit of a host any longer."""
        for number in self.list_numbers(host):
            self.drop(host, number)
        self._permits.pop(host, None)
        self._renewed_s.pop(host, None)

    def renew(self, host: str, numbers: set[int], now: float) -> None:
        """Renew a host's lease, and drop what it does not name.

        A permit that was given just now may not have reached the host when it
        listed its permits, and is kept.
        """
        self._renewed_s[host] = now
        for number, permit in list(self._permits.get(host, {}).items()):
            if number not in numbers and now - permit.granted_s > RENEWAL_RACE_S:
                self.drop(host, number)

    def list_expired(self, now: float) -> list[str]:
        """Return the hosts whose lease is over."""
        return [
            host
            for host, renewed_s in self._renewed_s.items()
            if self._permits.get(host) and now - renewed_s > LEASE_S
        ]

    def recount_servers(self) -> None:
        """Count anew what is in flight on servers that came or went."""
        for load in self._loads.servers.values():
            load.in_flight = 0
        for _, _, permit in self:
            self._loads.add(permit.backend_server)
