"""What hosts say to each other about claims and host lists."""

from enum import IntEnum
from typing import NamedTuple

from oleanderpier.utils import register_message

__all__ = [
    "Claim",
    "Granted",
    "Held",
    "HistoryQuery",
    "HistoryReply",
    "KeyQuery",
    "KeyReply",
    "ListProofs",
    "ListQuery",
    "ListReply",
    "ListedHost",
    "OpenList",
    "Probe",
    "ProofQuery",
    "ProofReply",
    "Refusal",
    "Refused",
    "Release",
    "RoundId",
    "Settle",
    "SupersessionProof",
]


class Refusal(IntEnum):
    """Why a witness grants nothing."""

    OLD_LIST = 1
    NOT_READY = 2
    KEY_TOO_OLD = 3
    KEY_AHEAD = 4
    RELEASED = 5


class RoundId(NamedTuple):
    """One round in which a process asks witnesses for something.

    Attributes:
        host: The asking host.
        incarnation: Which process of that host.
        sequence: Rises with each round of the process.
    """

    host: str
    incarnation: str
    sequence: int

    @property
    def process(self) -> tuple[str, str]:
        """The process that asks."""
        return (self.host, self.incarnation)


class ListedHost(NamedTuple):
    """A host of a published list."""

    name: str
    failure_domain: str


class SupersessionProof(NamedTuple):
    """A proof that hosts of one list had a newer list at the same time.

    Attributes:
        version: Every holder refuses claims under lists older than this.
        at_s: Wall clock at which all of them held it, in seconds.
        holders: A bit for each host of the older list, the first one's lowest.
    """

    version: int
    at_s: float
    holders: bytes


@register_message(60)
class Claim(NamedTuple):
    """Asks a witness to grant a key to an attempt."""

    key: bytes
    claim_id: RoundId
    list_version: int


@register_message(61)
class Granted(NamedTuple):
    """The witness granted the key to this attempt, and to no other."""

    key: bytes
    claim_id: RoundId
    list_version: int


@register_message(62)
class Held(NamedTuple):
    """The witness granted the key to another attempt before.

    Attributes:
        code: What came of it; None while that is not known.
        body: The answer, if it is small and the code is done.
    """

    key: bytes
    claim_id: RoundId
    list_version: int
    code: int | None
    body: bytes


@register_message(63)
class Refused(NamedTuple):
    """The witness neither granted the key nor knows of another attempt."""

    key: bytes
    claim_id: RoundId
    list_version: int
    reason: Refusal


@register_message(64)
class Release(NamedTuple):
    """The claimant gave up this attempt and all earlier ones, for good."""

    key: bytes
    claim_id: RoundId


@register_message(65)
class Settle(NamedTuple):
    """The holder of a key says what came of it."""

    key: bytes
    claim_id: RoundId
    code: int
    body: bytes


@register_message(66)
class Probe(NamedTuple):
    """A witness asks a claimant whether its attempt still stands."""

    key: bytes
    claim_id: RoundId


@register_message(67)
class KeyQuery(NamedTuple):
    """Asks a witness what it knows of a key, without claiming it."""

    key: bytes


@register_message(68)
class KeyReply(NamedTuple):
    """What a witness knows of a key.

    Attributes:
        known: Whether it granted the key or was told what came of it.
        code: What came of it; None while that is not known.
    """

    key: bytes
    known: bool
    code: int | None
    body: bytes


@register_message(70)
class HistoryQuery(NamedTuple):
    """Asks a host which host lists it knows.

    Attributes:
        list_version: The newest version that the asking host has heard of.
    """

    incarnation: str
    list_version: int


@register_message(71)
class HistoryReply(NamedTuple):
    """Which host lists a host knows.

    Attributes:
        requester: The process that asked; no other may go by the answer.
        established_version: The version under which its process was first ready to
            grant; 0 if it never was, and so does not answer from memory.
        seen_versions: Versions that were the newest it had heard of, from its floor on.
        stored_versions: Versions whose hosts it knows.
        skipped_versions: Versions under which nobody can claim.
        floor: Older versions are out of use; 0 if it does not know.
    """

    requester: str
    incarnation: str
    established_version: int
    seen_versions: list[int]
    stored_versions: list[int]
    skipped_versions: list[int]
    floor: int


@register_message(72)
class ListQuery(NamedTuple):
    """Asks a host for one host list."""

    version: int


@register_message(73)
class ListReply(NamedTuple):
    """One host list, with the proofs that its hosts had a newer one."""

    version: int
    hosts: list[ListedHost]
    proofs: list[SupersessionProof]


class OpenList(NamedTuple):
    """A list that is not proved closed for every key.

    Attributes:
        holders: How many of its hosts are known to have had a newer one.
    """

    version: int
    holder_count: int


@register_message(74)
class ProofQuery(NamedTuple):
    """A process has a list, and asks for proofs that older ones are closed.

    Attributes:
        list_version: The newest version that it has heard of.
        echoed_s: What the asked host's clock was when it last answered; or 0.
        open_lists: Those for which a better proof is of use.
    """

    incarnation: str
    list_version: int
    echoed_s: float
    open_lists: list[OpenList]


class ListProofs(NamedTuple):
    """The proofs that the hosts of one list had a newer one."""

    version: int
    proofs: list[SupersessionProof]


@register_message(75)
class ProofReply(NamedTuple):
    """Answers ``ProofQuery``.

    Attributes:
        at_s: The wall clock of the answering host.
        lists: Proofs that are better than those that the asking host has.
    """

    at_s: float
    lists: list[ListProofs]
