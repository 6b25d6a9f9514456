"""What a witness remembers of each key, and what it grants."""

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
    """A granted key.

    Attributes:
        claim_id: The attempt that has it.
        code: What came of it; None while that is not known.
        body: The answer, if it is small and the code is done.
    """

    claim_id: RoundId
    code: int | None
    body: bytes


def is_more_certain(code: int, known: int | None) -> bool:
    """Return whether a code says more of a key than what is known.

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
    """Grants each key to one attempt at a time, from memory.

    A process grants only keys made after its own start, with a margin for the
    clocks, so a grant that a predecessor gave is never given again.

    Args:
        timers: The timer service.
        lists: The host lists that this host knows.
    """

    def __init__(self, timers: Timers, lists: HostLists):
        self._timers = timers
        self._lists = lists
        self._started_s = timers.wall()
        self._records: dict[bytes, KeyRecord] = {}
        self._released: dict[bytes, dict[tuple[str, str], int]] = {}

    @property
    def ready(self) -> bool:
        """Whether a key that a caller makes now is young enough to grant."""
        age_s = self._timers.wall() - self._started_s
        return age_s > START_MARGIN_S + MAX_CLOCK_SKEW_S

    def find_record(self, key: bytes) -> KeyRecord | None:
        """Return what is remembered of a key."""
        return self._records.get(key)

    def grant(self, claim: Claim) -> Granted | Held | Refused:
        """Answer a claim, and remember the key if it is granted."""
        record = self._records.get(claim.key)
        refusal = self._find_refusal(claim)
        if record is None and refusal is None:
            record = self._records[claim.key] = KeyRecord(claim.claim_id, None, b"")
        answered = (claim.key, claim.claim_id, self._lists.highest_version)
        if record is None:
            return Refused(*answered, refusal)
        if record.claim_id == claim.claim_id and record.code is None:
            return Granted(*answered)
        return Held(*answered, record.code, record.body)

    def release(self, release: Release) -> None:
        """Forget an attempt that was given up, and refuse it from now on."""
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
        """Remember what came of a key, unless more is known of it."""
        record = self._records.get(settle.key)
        if record is None or is_more_certain(settle.code, record.code):
            record = KeyRecord(settle.claim_id, settle.code, settle.body)
            self._records[settle.key] = record

    def make_key_reply(self, key: bytes) -> KeyReply:
        """Return what is remembered of a key, for a host that asks."""
        record = self._records.get(key)
        if record is None:
            return KeyReply(key, False, None, b"")
        return KeyReply(key, True, record.code, record.body)

    def list_keys(self) -> list[bytes]:
        """Return every key that anything is remembered of."""
        return [*self._records, *self._released]

    def drop_expired(self) -> None:
        """Forget keys that every host refuses for their age."""
        oldest_s = self._timers.wall() - RECORD_LIFETIME_S
        for entries in (self._records, self._released):
            for key in [key for key in entries if read_key_time(key) < oldest_s]:
                del entries[key]

    def _find_refusal(self, claim: Claim) -> Refusal | None:
        """Return the first reason not to grant a key that is free."""
        key_time = read_key_time(claim.key)
        wall = self._timers.wall()
        checks = {
            Refusal.OLD_LIST: claim.list_version < self._lists.highest_version,
            Refusal.NOT_READY: not self._lists.ready,
            Refusal.KEY_TOO_OLD: key_time <= self._started_s + START_MARGIN_S
            or key_time < wall - KEY_LIFETIME_S,
            Refusal.KEY_AHEAD: key_time > wall + MAX_CLOCK_SKEW_S,
            Refusal.RELEASED: self._is_released(claim.key, claim.claim_id),
        }
        return next((reason for reason, applies in checks.items() if applies), None)

    def _is_released(self, key: bytes, claim_id: RoundId) -> bool:
        released = self._released.get(key, {})
        return claim_id.sequence <= released.get(claim_id.process, 0)
