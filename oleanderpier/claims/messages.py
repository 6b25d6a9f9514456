"""Messages between hosts about claims and host lists."""

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
    """Why a witness refuses a claim although no other attempt holds the key."""

    OLD_LIST = 1
    NOT_READY = 2
    KEY_TOO_OLD = 3
    KEY_AHEAD = 4
    RELEASED = 5


class RoundId(NamedTuple):
    """Identifies one round of queries that a process sends to witnesses.

    Attributes:
        host: Name of the host that asks.
        incarnation: Id of its process; never used twice.
        sequence: Number of the round, increasing within the process.
    """

    host: str
    incarnation: str
    sequence: int

    @property
    def process(self) -> tuple[str, str]:
        """Host and incarnation of the process that asks."""
        return (self.host, self.incarnation)


class ListedHost(NamedTuple):
    """A host of a published list.

    Attributes:
        name: The host's name.
        failure_domain: The failure domain that it belongs to.
    """

    name: str
    failure_domain: str


class SupersessionProof(NamedTuple):
    """A proof that hosts of a list all had a newer version at one instant.

    Attributes:
        version: The newer version; the holders refuse claims under older ones.
        at_s: Wall-clock time of the instant, in seconds since 1970.
        holders: Bit set of the holders, by their positions in the older list;
            the lowest bit of the first byte stands for the first host.
    """

    version: int
    at_s: float
    holders: bytes


@register_message(60)
class Claim(NamedTuple):
    """Asks a witness to grant a key to an attempt.

    Attributes:
        key: The key's 16 bytes.
        claim_id: The attempt.
        list_version: Version of the newest list of the host that claims.
    """

    key: bytes
    claim_id: RoundId
    list_version: int


@register_message(61)
class Granted(NamedTuple):
    """Replies to ``Claim``: the key is granted to this attempt and no other.

    Attributes:
        key: The key's 16 bytes.
        claim_id: The attempt.
        list_version: Newest list version that the witness knows of.
    """

    key: bytes
    claim_id: RoundId
    list_version: int


@register_message(62)
class Held(NamedTuple):
    """Replies to ``Claim``: the key was granted to another attempt before.

    Attributes:
        key: The key's 16 bytes.
        claim_id: The attempt that asked.
        list_version: Newest list version that the witness knows of.
        code: Result code of the earlier attempt; None while it is unknown.
        body: The response, if the code is ``DONE`` and the response was small
            enough to keep; empty otherwise.
    """

    key: bytes
    claim_id: RoundId
    list_version: int
    code: int | None
    body: bytes


@register_message(63)
class Refused(NamedTuple):
    """Replies to ``Claim``: not granted, though no other attempt holds the key.

    Attributes:
        key: The key's 16 bytes.
        claim_id: The attempt that asked.
        list_version: Newest list version that the witness knows of.
        reason: Why the witness grants nothing.
    """

    key: bytes
    claim_id: RoundId
    list_version: int
    reason: Refusal


@register_message(64)
class Release(NamedTuple):
    """Informs a witness that this attempt and earlier ones were abandoned.

    Attributes:
        key: The key's 16 bytes.
        claim_id: The last attempt of the process that was abandoned.
    """

    key: bytes
    claim_id: RoundId


@register_message(65)
class Settle(NamedTuple):
    """Informs a witness of the result of the request with a key.

    Attributes:
        key: The key's 16 bytes.
        claim_id: The attempt that won the key.
        code: The result code.
        body: The response, if it is small enough to keep; empty otherwise.
    """

    key: bytes
    claim_id: RoundId
    code: int
    body: bytes


@register_message(66)
class Probe(NamedTuple):
    """Asks the process that holds a key whether its attempt is still valid.

    It replies with ``Release`` if it is not, and with ``Settle`` if the result
    is known.

    Attributes:
        key: The key's 16 bytes.
        claim_id: The attempt to which the witness granted the key.
    """

    key: bytes
    claim_id: RoundId


@register_message(67)
class KeyQuery(NamedTuple):
    """Asks a witness for its record of a key, without claiming the key.

    Attributes:
        key: The key's 16 bytes.
    """

    key: bytes


@register_message(68)
class KeyReply(NamedTuple):
    """Replies to ``KeyQuery`` with what a witness knows of a key.

    Attributes:
        key: The key's 16 bytes.
        known: Whether the witness granted the key or received its result.
        code: The result code; None while it is unknown.
        body: The response, if it was kept; empty otherwise.
    """

    key: bytes
    known: bool
    code: int | None
    body: bytes


@register_message(70)
class HistoryQuery(NamedTuple):
    """Asks a host which host lists it knows.

    Attributes:
        incarnation: The process that asks.
        list_version: Newest list version that the process knows of.
    """

    incarnation: str
    list_version: int


@register_message(71)
class HistoryReply(NamedTuple):
    """Replies to ``HistoryQuery`` with the host lists that a process knows.

    Attributes:
        requester: Incarnation of the process that asked; its successors must
            ignore the reply.
        incarnation: The process that replies.
        established_version: Newest version when the process first became ready;
            0 if it never was ready, and so knows no history of its own.
        seen_versions: Versions from the floor on that were at some time the
            newest that the process knew of.
        stored_versions: Versions whose lists the process has.
        skipped_versions: Versions under which nobody can claim.
        floor: Oldest version in use; 0 if it is unknown.
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
    """Asks a host for one host list.

    Attributes:
        version: The list's version.
    """

    version: int


@register_message(73)
class ListReply(NamedTuple):
    """Replies to ``ListQuery`` with a host list.

    Attributes:
        version: The list's version.
        hosts: The hosts, in the order of the list.
        proofs: Proofs that hosts of the list had a newer one.
    """

    version: int
    hosts: list[ListedHost]
    proofs: list[SupersessionProof]


class OpenList(NamedTuple):
    """A list that may still grant some keys, as far as a host can prove.

    Attributes:
        version: The list's version.
        holder_count: Number of hosts in the host's best proof about the list.
    """

    version: int
    holder_count: int


@register_message(74)
class ProofQuery(NamedTuple):
    """Reports the newest list version of a process and asks for proofs.

    Attributes:
        incarnation: The process that asks.
        list_version: Newest list version that the process knows of.
        echoed_s: Wall clock of the receiver in its last ``ProofReply``, in
            seconds since 1970; 0 if there was none. It shows the receiver that
            the process lived at that time.
        open_lists: Older lists for which a better proof is needed.
    """

    incarnation: str
    list_version: int
    echoed_s: float
    open_lists: list[OpenList]


class ListProofs(NamedTuple):
    """Proofs about one list.

    Attributes:
        version: The list's version.
        proofs: Proofs that hosts of the list had a newer one.
    """

    version: int
    proofs: list[SupersessionProof]


@register_message(75)
class ProofReply(NamedTuple):
    """Replies to ``ProofQuery``.

    Attributes:
        at_s: Wall clock of the host that replies, in seconds since 1970.
        lists: Proofs that name more hosts than those of the host that asked.
    """

    at_s: float
    lists: list[ListProofs]
