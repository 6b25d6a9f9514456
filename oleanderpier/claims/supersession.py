"""Proofs that claims under an older list can't win any more.

A proof names hosts of the older list that all had a newer one at one instant.
"""

from typing import NamedTuple

from oleanderpier.claims.limits import MAX_CLOCK_SKEW_S, MAX_PROOF_COUNT, WITNESS_COUNT
from oleanderpier.claims.messages import SupersessionProof
from oleanderpier.claims.version_observations import VersionObservations
from oleanderpier.claims.witness_sets import HostList, WitnessSet, count_majority

__all__ = ["SupersessionProofs"]


class _Proof(NamedTuple):
    """A proof whose holders can be looked up fast."""

    version: int
    at_s: float
    holders: frozenset[str]


class SupersessionProofs:
    """Keeps, for each older list, the instants at which its hosts had a newer one.

    Examples:
        >>> from oleanderpier.claims.messages import ListedHost
        >>> superseded, versions = SupersessionProofs(), VersionObservations()
        >>> known = HostList(1, tuple(ListedHost(n, "duluth") for n in "abc"))
        >>> for host in "ab":
        ...     versions.record_version(host, "i1", 2, 100.0)
        ...     versions.record_alive(host, "i1", 102.0)
        >>> superseded.add_own(known, 2, versions)
        >>> superseded.is_closed_for_all(known, 2, key_time=104.5)
        True
    """

    def __init__(self) -> None:
        self._proofs: dict[int, list[_Proof]] = {}

    def add_own(
        self, known: HostList, following: int, list_versions: VersionObservations
    ) -> None:
        """Look for an instant at which more hosts of a list had a newer one.

        Args:
            known: The older list.
            following: The next newer version that is known.
            list_versions: What hosts said.
        """
        if self.covers_every_key(known, following):
            return
        at_s, holders = list_versions.find_common_instant(known.names, following)
        proved = self.count_holders(known.version)
        if len(holders) >= max(count_majority(len(known.hosts)), proved + 1):
            self._add(known.version, _Proof(following, at_s, frozenset(holders)))

    def add_received(self, known: HostList, proof: SupersessionProof) -> None:
        """Keep a proof that another host made."""
        bits = int.from_bytes(proof.holders, "little")
        names = [name for i, name in enumerate(known.names) if bits >> i & 1]
        closed = _Proof(proof.version, proof.at_s, frozenset(names))
        if closed not in self._list_proofs(known):
            self._add(known.version, closed)

    def pack_proofs(self, known: HostList) -> list[SupersessionProof]:
        """Return the proofs about a list, for another host."""
        return [
            SupersessionProof(version, at_s, _pack_names(known.names, holders))
            for version, at_s, holders in self._list_proofs(known)
        ]

    def count_holders(self, version: int) -> int:
        """Return how many hosts the best proof about a list names."""
        closed = self._proofs.get(version, [])
        return max((len(proof.holders) for proof in closed), default=0)

    def covers_every_key(self, known: HostList, following: int) -> bool:
        """Whether a proof covers every key, once it is old enough."""
        return any(
            _covers_every_key(closed, known, following)
            for closed in self._list_proofs(known)
        )

    def is_closed_for_all(
        self, known: HostList, following: int, key_time: float
    ) -> bool:
        """Whether no key of this time, or later, can be won under the list."""
        return any(
            _precedes(closed, key_time) and _covers_every_key(closed, known, following)
            for closed in self._list_proofs(known)
        )

    def is_closed_for(
        self, witnesses: WitnessSet, following: int, key_time: float
    ) -> bool:
        """Whether the key with these witnesses can't be won under their list."""
        majority = count_majority(len(witnesses.hosts))
        return any(
            closed.version >= following
            and _precedes(closed, key_time)
            and len(closed.holders.intersection(witnesses.hosts)) >= majority
            for closed in self._proofs.get(witnesses.version, [])
        )

    def drop_proofs(self, version: int) -> None:
        """Forget the proofs about a list."""
        self._proofs.pop(version, None)

    def _list_proofs(self, known: HostList) -> list[_Proof]:
        return self._proofs.get(known.version, [])

    def _add(self, version: int, closed: _Proof) -> None:
        """Add a proof; the first one serves the oldest keys."""
        kept = self._proofs.setdefault(version, [])
        kept.append(closed)
        del kept[1:-MAX_PROOF_COUNT]


def _precedes(closed: _Proof, key_time: float) -> bool:
    """Whether no holder can have granted a key of this time before."""
    return key_time > closed.at_s + 2 * MAX_CLOCK_SKEW_S


def _covers_every_key(closed: _Proof, known: HostList, following: int) -> bool:
    """Whether the holders include a majority of any key's witnesses."""
    size = len(known.hosts)
    spare = (min(size, WITNESS_COUNT) - 1) // 2
    return closed.version >= following and size - len(closed.holders) <= spare


def _pack_names(names: list[str], holders: frozenset[str]) -> bytes:
    """Return one bit for each name, the first name's lowest."""
    bits = sum(1 << index for index, name in enumerate(names) if name in holders)
    return bits.to_bytes((len(names) + 7) // 8, "little")
