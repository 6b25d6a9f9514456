"""Outages of the platform, as the fleet's responses show them."""

from collections.abc import Callable

from eliot import log_message

from oleanderpier.replication.replica import Replica
from oleanderpier.utils import Timers

__all__ = ["OutageDetector"]

# An entry is renewed every 1.2 s and expires after three such intervals without a
# renewal, so no sooner than 2.4 s after the beginning of an outage. 0.4 s is for the
# age of the last response before it.
MIN_OUTAGE_S = 2.0


class OutageDetector:
    """Finds the times in which the platform answered no host.

    Entries of the platform expire in an outage because their writers cannot renew
    them. A platform that turns this host away but answers others renews entries, so
    what counts is the time for which a replica was not confirmed, by this host or by
    a report of another.

    Args:
        replica: The replica whose confirmations show that the platform answers.
        timers: The timer service.
        notify_end: Called with the end of each outage, in seconds on the timer
            service's clock.
    """

    def __init__(
        self, replica: Replica, timers: Timers, notify_end: Callable[[float], None]
    ) -> None:
        self._replica = replica
        self._timers = timers
        self._notify_end = notify_end
        replica.subscribe_confirmed(self._handle_confirmation)

    def check_age(self) -> None:
        """Notify of an end if the replica has not been confirmed for an outage.

        A change that another host sends may be the first sign of the platform's
        return.
        """
        # A replica without any confirmation has no entries that could expire.
        if MIN_OUTAGE_S <= self._replica.get_age_s() < float("inf"):
            self._notify_end(self._timers.now())

    def _handle_confirmation(self, previous_s: float, confirmed_s: float) -> None:
        if confirmed_s - previous_s < MIN_OUTAGE_S or previous_s == float("-inf"):
            return
        log_message(
            "replication:outage_ended",
            space=self._replica.space,
            unconfirmed_s=round(confirmed_s - previous_s, 3),
            ago_s=round(self._timers.now() - confirmed_s, 3),
        )
        # After a return in a new era the wait for entries has begun already.
        if previous_s > self._replica.era_changed_s:
            self._notify_end(confirmed_s)
