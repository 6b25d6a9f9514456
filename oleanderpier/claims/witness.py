"""The witness of keys: grants each key to one attempt at a time."""

from typing import NamedTuple

from oleanderpier.claims.host_lists import HostLists
from oleanderpier.claims.limits import (
    KEY_LIFETIME_S,
    MAX_CLOCK_SKEW_S,
    RECORD_LIFETIME_S,
    START_MARGIN_S,
)
from oleanderpier.claims.messages import (
    Claim,
    Granted,
    Held,
    KeyReply,
    Refusal,
    Refused,
    Release,
    RoundId,
    Settle,
)
from oleanderpier.results import Code, Fate, describe_code
from oleanderpier.utils import Timers, read_key_time

__all__ = ["KeyRecord", "Witness", "is_more_certain"]

_CERTAINTY = {None: 0, Fate.MAY_HAVE_RUN: 1, Fate.NOT_RUN: 2, Fate.DONE: 2}


class KeyRecord(NamedTuple):
    """What a witness keeps of a key that was granted or whose result it received.

    Attributes:
        claim_id: The attempt that holds the key.
        code: The result code; None while it is unknown.
        body: The response, if it is small enough to keep; empty otherwise.
    """

    claim_id: RoundId
    code: int | None
    body: bytes


def is_more_certain(code: int, known: int | None) -> bool:
    """Return whether a result code is more certain than the one known so far.

    No code is least certain, then a code of fate may-have-run, then done or not-run.

    Examples:
        >>> is_more_certain(Code.DONE, Code.ANSWER_LOST)
        True
        >>> is_more_certain(Code.KEY_VOID, Code.DONE)
        False
    """
    return _get_certainty(code) > _get_certainty(known)


def _get_certainty(code: int | None) -> int:
    return _CERTAINTY[None if code is None else describe_code(Code(code)).fate]


class Witness:
    """Grants each key to one attempt at a time; keeps its records in memory only.

    A process grants only keys made after its own start, with a margin for clock
    skew. So it needs no record of the keys that the host's previous process granted.

    Args:
        timers: The timer service.
        lists: The host lists that this host knows.
    """

    def __init__(self, timers: Timers, lists: HostLists):
        self._timers = timers
        self._lists = lists
        self._started_s = timers.wall()
        self._records: dict[bytes, KeyRecord] = {}
        # Sequence number of the last released attempt, by key and process.
        self._released: dict[bytes, dict[tuple[str, str], int]] = {}

    @property
    def ready(self) -> bool:
        """Whether the process is old enough to grant a key that a caller makes now."""
        age_s = self._timers.wall() - self._started_s
        return age_s > START_MARGIN_S + MAX_CLOCK_SKEW_S

    def find_record(self, key: bytes) -> KeyRecord | None:
        """Return the record of a key, if there is one."""
        return self._records.get(key)

    def grant(self, claim: Claim) -> Granted | Held | Refused:
        """Return the reply to a claim, and record the key if it is granted.

        The reply to a repeated claim of the attempt that holds the key is the
        same grant.
        """
        record = self._records.get(claim.key)
        refusal = self._find_refusal(claim)
        if record is None and refusal is None:
            record = self._records[claim.key] = KeyRecord(claim.claim_id, None, b"")
        common_fields = (claim.key, claim.claim_id, self._lists.highest_version)
        if record is None:
            return Refused(*common_fields, refusal)
        if record.claim_id == claim.claim_id and record.code is None:
            return Granted(*common_fields)
        return Held(*common_fields, record.code, record.body)

    def release(self, release: Release) -> None:
        """Withdraw the grant to an abandoned attempt, and refuse the attempt.

        Earlier attempts of the same process for the key are abandoned too. The
        refusal matters where messages overtake each other: a late claim of the
        attempt must not get the key.
        """
        claim_id = release.claim_id
        released = self._released.setdefault(release.key, {})
        process = claim_id.process
        released[process] = max(claim_id.sequence, released.get(process, 0))
        record = self._records.get(release.key)
        if (
            record is not None
            and record.code is None
            and self._is_released(release.key, record.claim_id)
        ):
            del self._records[release.key]

    def settle(self, settle: Settle) -> None:
        """Record the result of a key, unless the known one is as certain."""
        record = self._records.get(settle.key)
        if record is None or is_more_certain(settle.code, record.code):
            record = KeyRecord(settle.claim_id, settle.code, settle.body)
            self._records[settle.key] = record

    def make_key_reply(self, key: bytes) -> KeyReply:
        """Return the reply to a query about a key."""
        record = self._records.get(key)
        if record is None:
            return KeyReply(key, False, None, b"")
        return KeyReply(key, True, record.code, record.body)

    def list_keys(self) -> list[bytes]:
        """Return every key with a record or a released attempt."""
        return [*self._records, *self._released]

    def drop_expired(self) -> None:
        """Forget keys that are so old that every host refuses them."""
        oldest_s = self._timers.wall() - RECORD_LIFETIME_S
        for entries in (self._records, self._released):
            for key in [key for key in entries if read_key_time(key) < oldest_s]:
                del entries[key]

    def _find_refusal(self, claim: Claim) -> Refusal | None:
        """Return the first reason not to grant a key that nobody holds."""
        key_time = read_key_time(claim.key)
        wall_s = self._timers.wall()
        checks = {
            Refusal.OLD_LIST: claim.list_version < self._lists.highest_version,
            Refusal.NOT_READY: not self._lists.ready,
            Refusal.KEY_TOO_OLD: key_time <= self._started_s + START_MARGIN_S
            or key_time < wall_s - KEY_LIFETIME_S,
            Refusal.KEY_AHEAD: key_time > wall_s + MAX_CLOCK_SKEW_S,
            Refusal.RELEASED: self._is_released(claim.key, claim.claim_id),
        }
        return next((reason for reason, applies in checks.items() if applies), None)

    def _is_released(self, key: bytes, claim_id: RoundId) -> bool:
        released = self._released.get(key, {})
        return claim_id.sequence <= released.get(claim_id.process, 0)
