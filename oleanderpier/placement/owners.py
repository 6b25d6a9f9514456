"""Which host owns which pool, by rendezvous hashing over the live hosts."""

from collections.abc import Iterable
from typing import NamedTuple

from oleanderpier.utils import hash_text, rank_candidates

__all__ = ["OwnerChange", "OwnerTable"]


class OwnerChange(NamedTuple):
    """A pool whose owner is another host than before; "" is none."""

    pool: int
    before: str
    after: str


class OwnerTable:
    """The owners of all pools as one host believes them to be.

    A change of the live hosts is worked out from the difference, since
    ranking all hosts for all pools anew takes seconds in a large fleet.

    Examples:
        >>> table = OwnerTable()
        >>> table.update([7], ["h1"])
        [OwnerChange(pool=7, before='', after='h1')]
        >>> table.find_owner(7)
        'h1'
    """

    def __init__(self) -> None:
        self._hosts: frozenset[str] = frozenset()
        self._best: dict[int, tuple[int, str]] = {}

    @property
    def hosts(self) -> frozenset[str]:
        """The hosts believed to be alive."""
        return self._hosts

    def find_owner(self, pool: int) -> str:
        """Return the owner of a pool, or "" if there is none."""
        return self._best.get(pool, (0, ""))[1]

    def rank_owners(self, pool: int) -> list[str]:
        """Return all live hosts, the owner first."""
        return rank_candidates(str(pool), self._hosts)

    def update(self, pools: Iterable[int], hosts: Iterable[str]) -> list[OwnerChange]:
        """Take new lists of pools and of live hosts.

        Returns:
            The pools whose owner changed, also those that are new or gone.
        """
        alive = frozenset(hosts)
        joined = alive - self._hosts
        self._hosts = alive
        before, self._best = self._best, {}
        for pool in pools:
            best = before.get(pool)
            if best is None or best[1] not in alive:
                best = self._find_best(pool, alive)
            elif joined:
                best = min(best, self._find_best(pool, joined))
            if best is not None:
                self._best[pool] = best
        return [
            OwnerChange(pool, before.get(pool, (0, ""))[1], self.find_owner(pool))
            for pool in dict.fromkeys([*before, *self._best])
            if before.get(pool) != self._best.get(pool)
        ]

    def _find_best(self, pool: int, hosts: frozenset[str]) -> tuple[int, str] | None:
        scores = ((hash_text(f"{pool}|{host}"), host) for host in hosts)
        return min(scores, default=None)
