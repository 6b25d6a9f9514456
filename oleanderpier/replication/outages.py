"""Outages of the platform, as calls to it show them."""

from collections.abc import Callable

from eliot import log_message

from oleanderpier.replication.messages import PLATFORM, ReplicaSummary
from oleanderpier.replication.replica import Replica
from oleanderpier.utils import Timers

__all__ = ["OutageDetector"]

# An entry is renewed every 1.2 s and expires after three such intervals without a
# renewal, so no sooner than 2.4 s after the beginning of an outage. 0.4 s is for the
# age of the last response before it.
MIN_OUTAGE_S = 2.0
# For how long a host reports an outage that has ended.
REPORTED_S = 3.0
# Ends that differ by less are of the same outage.
SAME_END_S = 0.5
OUTAGE_SUFFIX = ":outage"


class OutageDetector:
    """Finds the times in which the platform answered no host that asked it.

    Entries of the platform expire in an outage because their writers cannot renew
    them. A platform that turns this host away but answers others renews entries, so
    what counts is the time for which a replica was not confirmed, by this host or by
    a report of another.

    That time alone shows no outage: the hosts that ask the platform may have failed. A
    host learns of one from its own calls that failed meanwhile, or from a host that has
    asked in vain and then got a response.

    Args:
        replica: The replica whose confirmations show that the platform answers.
        timers: The timer service.
        notify_end: Called with the end of each outage, in seconds on the timer
            service's clock.
        notify_own: Called after ``notify_end`` if the end has to be reported at once.
    """

    def __init__(
        self,
        replica: Replica,
        timers: Timers,
        notify_end: Callable[[float], None],
        notify_own: Callable[[], None] = lambda: None,
    ) -> None:
        self._replica = replica
        self._timers = timers
        self._notify_end = notify_end
        self._notify_own = notify_own
        self._name = replica.space + OUTAGE_SUFFIX
        # When a call of this host last failed.
        self._failed_s = float("-inf")
        # The end of the last time without a confirmation that was as long as an outage.
        self._gap_ended_s = float("-inf")
        # The end of the last outage that this host reports.
        self._reported_end_s = float("-inf")
        replica.subscribe_confirmed(self._handle_confirmation)

    def record_failure(self) -> None:
        """Record that the platform did not answer a call of this host."""
        self._failed_s = self._timers.now()

    def check_age(self) -> None:
        """Notify of an end if the replica has not been confirmed for an outage.

        A change that another host sends may be the first sign of the platform's
        return.
        """
        has_failed = self._failed_s > self._replica.confirmed_s
        if has_failed and self._is_unconfirmed():
            self._notify_end(self._timers.now())

    def summarize(self) -> dict[str, ReplicaSummary]:
        """Return when the last outage ended, by a name of its own.

        Empty if it is long ago. Hosts of an earlier version skip the name.
        """
        age_s = self._timers.now() - self._reported_end_s
        return {self._name: ReplicaSummary(0, 0, age_s)} if age_s < REPORTED_S else {}

    def receive_summaries(self, summaries: dict[str, ReplicaSummary]) -> None:
        """Take over the end of an outage that another host knows of.

        Only if this host had no response of the platform until then, either.
        """
        summary = summaries.get(self._name)
        if summary is None:
            return
        ended_s = self._timers.now() - summary.age_s
        is_known = abs(ended_s - self._reported_end_s) < SAME_END_S
        has_gap = abs(ended_s - self._gap_ended_s) < SAME_END_S
        if not is_known and (has_gap or self._is_unconfirmed()):
            self._reported_end_s = ended_s
            self._notify_end(ended_s)

    def _is_unconfirmed(self) -> bool:
        """Return whether the replica has not been confirmed for an outage."""
        # A replica without any confirmation has no entries that could expire.
        return MIN_OUTAGE_S <= self._replica.get_age_s() < float("inf")

    def _handle_confirmation(self, previous_s: float, confirmed_s: float) -> None:
        if confirmed_s - previous_s < MIN_OUTAGE_S or previous_s == float("-inf"):
            return
        self._gap_ended_s = confirmed_s
        has_failed = self._failed_s > previous_s
        log_message(
            "replication:outage_ended" if has_failed else "replication:gap_ended",
            space=self._replica.space,
            unconfirmed_s=round(confirmed_s - previous_s, 3),
            ago_s=round(self._timers.now() - confirmed_s, 3),
        )
        # After a return in a new era the wait for entries has begun already.
        if not has_failed or previous_s <= self._replica.era_changed_s:
            return
        self._notify_end(confirmed_s)
        if self._replica.confirmed_by == PLATFORM:
            self._reported_end_s = confirmed_s
            self._notify_own()
