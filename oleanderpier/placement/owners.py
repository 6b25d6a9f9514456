"""The owner host of each pool, by rendezvous hashing over the live hosts."""

from collections.abc import Iterable
from typing import NamedTuple

from oleanderpier.utils import hash_text, rank_candidates

__all__ = ["OwnerChange", "OwnerTable"]


class OwnerChange(NamedTuple):
    """A change of a pool's owner.

    Attributes:
        pool: The pool's number.
        before: The previous owner, or "" if the pool had none.
        after: The new owner, or "" if the pool has none.
    """

    pool: int
    before: str
    after: str


class OwnerTable:
    """The owners of all pools, computed from one host's list of live hosts.

    Updates are incremental: ranking all hosts for all pools takes seconds in a
    large fleet.

    Examples:
        >>> table = OwnerTable()
        >>> table.update([7], ["h1"])
        [OwnerChange(pool=7, before='', after='h1')]
        >>> table.find_owner(7)
        'h1'
    """

    def __init__(self) -> None:
        self._hosts: frozenset[str] = frozenset()
        self._owners: dict[int, tuple[int, str]] = {}

    @property
    def hosts(self) -> frozenset[str]:
        """The live hosts of the last update."""
        return self._hosts

    def find_owner(self, pool: int) -> str:
        """Return the owner of a pool, or "" if there is none."""
        return self._owners.get(pool, (0, ""))[1]

    def rank_owners(self, pool: int) -> list[str]:
        """Return all live hosts in rendezvous order; the first owns the pool."""
        return rank_candidates(str(pool), self._hosts)

    def update(self, pools: Iterable[int], hosts: Iterable[str]) -> list[OwnerChange]:
        """Apply new lists of pools and of live hosts.

        Returns:
            One entry for each pool whose owner changed, including pools that
            were added or removed.
        """
        live_hosts = frozenset(hosts)
        joined = live_hosts - self._hosts
        self._hosts = live_hosts
        before, self._owners = self._owners, {}
        for pool in pools:
            owner = before.get(pool)
            if owner is None or owner[1] not in live_hosts:
                owner = self._find_lowest_score(pool, live_hosts)
            elif joined:
                owner = min(owner, self._find_lowest_score(pool, joined))
            if owner is not None:
                self._owners[pool] = owner
        return [
            OwnerChange(pool, before.get(pool, (0, ""))[1], self.find_owner(pool))
            for pool in dict.fromkeys([*before, *self._owners])
            if before.get(pool) != self._owners.get(pool)
        ]

    def _find_lowest_score(
        self, pool: int, hosts: frozenset[str]
    ) -> tuple[int, str] | None:
        scores = ((hash_text(f"{pool}|{host}"), host) for host in hosts)
        return min(scores, default=None)
