"""Proofs that claims under an older host list can no longer win.

A proof names hosts of the older list that all had a newer list at one instant.
From then on these hosts refuse claims under the older list. If they include a
majority of a key's witnesses, the older list is closed for that key, provided
that the key was made after the instant.
"""

from typing import NamedTuple

from oleanderpier.claims.limits import MAX_CLOCK_SKEW_S, MAX_PROOF_COUNT, WITNESS_COUNT
from oleanderpier.claims.messages import SupersessionProof
from oleanderpier.claims.version_observations import VersionObservations
from oleanderpier.claims.witness_sets import HostList, WitnessSet, count_majority

__all__ = ["SupersessionProofs"]


class _Proof(NamedTuple):
    """A proof in memory, with its holders as a set of names.

    Attributes:
        version: The newer version that the holders had.
        at_s: Wall-clock time of the common instant, in seconds since 1970.
        holders: Names of the hosts that had the newer version.
    """

    version: int
    at_s: float
    holders: frozenset[str]


class SupersessionProofs:
    """Keeps the proofs about each older list.

    Own proofs follow from what hosts reported; others come from peers.

    Examples:
        >>> from oleanderpier.claims.messages import ListedHost
        >>> proofs, observations = SupersessionProofs(), VersionObservations()
        >>> older = HostList(1, tuple(ListedHost(n, "duluth") for n in "abc"))
        >>> for host in "ab":
        ...     observations.record_version(host, "i1", 2, 100.0)
        ...     observations.record_alive(host, "i1", 102.0)
        >>> proofs.add_own(older, 2, observations)
        >>> proofs.is_closed_for_all(older, 2, key_time=104.5)
        True
    """

    def __init__(self) -> None:
        self._proofs: dict[int, list[_Proof]] = {}

    def add_own(
        self, older: HostList, following: int, observations: VersionObservations
    ) -> None:
        """Add a proof from what hosts reported, if it beats all kept ones.

        Args:
            older: The list that the proof is about.
            following: The next newer version that is known.
            observations: Which versions the hosts knew of, and when.
        """
        if self.covers_every_key(older, following):
            return
        at_s, holders = observations.find_common_instant(older.names, following)
        proved = self.count_holders(older.version)
        if len(holders) >= max(count_majority(len(older.hosts)), proved + 1):
            self._add(older.version, _Proof(following, at_s, frozenset(holders)))

    def add_received(self, older: HostList, received: SupersessionProof) -> None:
        """Add a proof that a peer made, unless it is kept already."""
        bits = int.from_bytes(received.holders, "little")
        names = [name for i, name in enumerate(older.names) if bits >> i & 1]
        proof = _Proof(received.version, received.at_s, frozenset(names))
        if proof not in self._list_proofs(older):
            self._add(older.version, proof)

    def pack_proofs(self, older: HostList) -> list[SupersessionProof]:
        """Return the proofs about a list in the form in which peers get them."""
        return [
            SupersessionProof(version, at_s, _pack_names(older.names, holders))
            for version, at_s, holders in self._list_proofs(older)
        ]

    def count_holders(self, version: int) -> int:
        """Return the largest number of holders that a proof about a list names."""
        proofs = self._proofs.get(version, [])
        return max((len(proof.holders) for proof in proofs), default=0)

    def covers_every_key(self, older: HostList, following: int) -> bool:
        """Whether a proof closes the list for every key made after its instant.

        The key has to be later by the margin for clock skew.

        Args:
            older: The list.
            following: The version that the holders must have had, or a newer one.
        """
        return any(
            _covers_every_key(proof, older, following)
            for proof in self._list_proofs(older)
        )

    def is_closed_for_all(
        self, older: HostList, following: int, key_time: float
    ) -> bool:
        """Whether no key made at a time or later can be won under a list.

        Args:
            older: The list.
            following: The version that the holders must have had, or a newer one.
            key_time: When the oldest of the keys was made, in seconds since 1970.
        """
        return any(
            _precedes(proof, key_time) and _covers_every_key(proof, older, following)
            for proof in self._list_proofs(older)
        )

    def is_closed_for(
        self, witnesses: WitnessSet, following: int, key_time: float
    ) -> bool:
        """Whether one key can no longer be won under a list.

        Args:
            witnesses: The key's witnesses under the list.
            following: The version that the holders must have had, or a newer one.
            key_time: When the key was made, in seconds since 1970.
        """
        majority = count_majority(len(witnesses.hosts))
        return any(
            proof.version >= following
            and _precedes(proof, key_time)
            and len(proof.holders.intersection(witnesses.hosts)) >= majority
            for proof in self._proofs.get(witnesses.version, [])
        )

    def drop_proofs(self, version: int) -> None:
        """Forget the proofs about a list."""
        self._proofs.pop(version, None)

    def _list_proofs(self, older: HostList) -> list[_Proof]:
        return self._proofs.get(older.version, [])

    def _add(self, version: int, proof: _Proof) -> None:
        """Add a proof, and drop old ones but for the first.

        The first proof has the earliest instant, and so covers the oldest keys.
        """
        kept = self._proofs.setdefault(version, [])
        kept.append(proof)
        del kept[1:-MAX_PROOF_COUNT]


def _precedes(proof: _Proof, key_time: float) -> bool:
    """Whether no holder can have granted a key of this time before the instant.

    A holder grants keys that are up to the clock skew ahead of its own clock, which
    can itself be ahead of the clock that timed the instant by as much.
    """
    return key_time > proof.at_s + 2 * MAX_CLOCK_SKEW_S


def _covers_every_key(proof: _Proof, older: HostList, following: int) -> bool:
    """Whether the holders include a majority of the witnesses of any key."""
    size = len(older.hosts)
    minority = (min(size, WITNESS_COUNT) - 1) // 2
    return proof.version >= following and size - len(proof.holders) <= minority


def _pack_names(names: list[str], holders: frozenset[str]) -> bytes:
    """Return a bit set of the holders; the lowest bit stands for the first name."""
    bits = sum(1 << index for index, name in enumerate(names) if name in holders)
    return bits.to_bytes((len(names) + 7) // 8, "little")
