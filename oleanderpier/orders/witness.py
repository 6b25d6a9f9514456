"""What a witness remembers of each subject's lease, and what it grants."""

from typing import NamedTuple

from oleanderpier.claims import MAX_CLOCK_SKEW_S, HostLists, RoundId
from oleanderpier.orders.limits import (
    FENCE_LIFE_S,
    FENCE_SPAN,
    LEASE_S,
    START_WAIT_S,
    SWEEP_LEASES_S,
)
from oleanderpier.orders.messages import (
    LeaseDenial,
    LeaseGranted,
    LeaseHeld,
    LeaseQuery,
    LeaseRefused,
    LeaseRelease,
)
from oleanderpier.utils import Timers

__all__ = ["LeaseRecord", "LeaseWitness", "read_fence_time"]

MILLISECONDS_PER_S = 1000


class LeaseRecord(NamedTuple):
    """The newest grant of a subject's lease.

    Attributes:
        round_id: The round to which it was granted.
        fence: The first fencing token of that round.
        granted_s: When, by the monotonic clock.
        released: Whether the holder gave it up.
    """

    round_id: RoundId
    fence: int
    granted_s: float
    released: bool


def read_fence_time(wall_s: float) -> int:
    """Return the fencing token that belongs to a wall clock.

    Examples:
        >>> read_fence_time(1_700_000_000.25)
        1700000000250
    """
    return int(wall_s * MILLISECONDS_PER_S)


class LeaseWitness:
    """Grants each subject's lease to one process at a time, from memory.

    A process that has just started grants nothing until every lease that its
    predecessor may have granted has ended.

    Args:
        timers: The timer service.
        lists: The host lists that this host knows.
    """

    def __init__(self, timers: Timers, lists: HostLists):
        self._timers = timers
        self._lists = lists
        self._started_s = timers.now()
        self._records: dict[str, LeaseRecord] = {}
        timers.subscribe(SWEEP_LEASES_S, self.drop_expired)

    @property
    def ready(self) -> bool:
        """Whether every lease that a predecessor granted has ended."""
        return self._timers.now() - self._started_s >= START_WAIT_S

    def grant(self, ask: LeaseQuery) -> LeaseGranted | LeaseHeld | LeaseRefused:
        """Grant a lease, or say why not."""
        now = self._timers.now()
        record = self._records.get(ask.subject)
        reason = self._find_denial(ask)
        if reason is not None:
            return self._refuse(ask, reason)
        if record is not None and _is_held(record, ask.round_id, now):
            remaining_s = record.granted_s + LEASE_S - now
            holder = record.round_id.host
            return LeaseHeld(*self._address(ask), holder, remaining_s)
        reason = self._find_fence_denial(ask, record)
        if reason is not None:
            return self._refuse(ask, reason)
        granted = LeaseRecord(ask.round_id, ask.fence, now, False)
        self._records[ask.subject] = granted
        return LeaseGranted(*self._address(ask))

    def release(self, release: LeaseRelease) -> None:
        """Take back a grant whose holder gave it up; the fence is kept."""
        record = self._records.get(release.subject)
        if record is None or record.round_id.process != release.round_id.process:
            return
        if record.round_id.sequence <= release.round_id.sequence:
            released = record._replace(round_id=release.round_id, released=True)
            self._records[release.subject] = released

    def drop_expired(self) -> None:
        """Forget grants so old that every clock is past their fences."""
        oldest_s = self._timers.now() - FENCE_LIFE_S
        for subject, record in list(self._records.items()):
            if record.granted_s < oldest_s:
                del self._records[subject]

    def _find_denial(self, ask: LeaseQuery) -> LeaseDenial | None:
        checks = {
            LeaseDenial.OLD_LIST: ask.list_version < self._lists.highest_version,
            LeaseDenial.NOT_READY: not (self.ready and self._lists.ready),
        }
        return next((reason for reason, applies in checks.items() if applies), None)

    def _find_fence_denial(
        self, ask: LeaseQuery, record: LeaseRecord | None
    ) -> LeaseDenial | None:
        ahead_s = self._timers.wall() + MAX_CLOCK_SKEW_S
        checks = {
            LeaseDenial.OLD_ROUND: record is not None
            and _is_old_round(record, ask.round_id),
            LeaseDenial.FENCE_OLD: record is not None
            and ask.fence < _find_lowest(record, ask.round_id),
            LeaseDenial.FENCE_AHEAD: ask.fence > read_fence_time(ahead_s),
        }
        return next((reason for reason, applies in checks.items() if applies), None)

    def _address(self, ask: LeaseQuery) -> tuple[str, RoundId, int]:
        return (ask.subject, ask.round_id, self._lists.highest_version)

    def _refuse(self, ask: LeaseQuery, reason: LeaseDenial) -> LeaseRefused:
        age_s = self._timers.now() - self._started_s
        retry_after_s = max(START_WAIT_S - age_s, 0.0)
        record = self._records.get(ask.subject)
        fence = record.fence if record is not None else 0
        return LeaseRefused(*self._address(ask), reason, fence, retry_after_s)


def _is_held(record: LeaseRecord, round_id: RoundId, now: float) -> bool:
    """Whether another process has the lease."""
    if record.released or record.round_id.process == round_id.process:
        return False
    return now < record.granted_s + LEASE_S


def _is_old_round(record: LeaseRecord, round_id: RoundId) -> bool:
    """Whether a process's ask arrives after a later round or a release."""
    if record.round_id.process != round_id.process:
        return False
    last = record.round_id.sequence
    return round_id.sequence < last or (record.released and round_id.sequence == last)


def _find_lowest(record: LeaseRecord, round_id: RoundId) -> int:
    """Return the lowest fence that may follow a grant."""
    if record.round_id.process == round_id.process:
        return record.fence
    return record.fence + FENCE_SPAN
