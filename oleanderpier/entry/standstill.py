"""Whether this host has stood still, so that its replicas may be outdated.

The module addresses this load pattern: a host is frozen for some seconds, and an
operator evacuates a failure domain meanwhile. When the host goes on, it has requests
and retries to send before it has learned of the evacuation.
"""

from eliot import log_message

from oleanderpier.entry.freshness import ReplicaFreshness
from oleanderpier.replication import Replica
from oleanderpier.routing import CopyWindows, Evacuations
from oleanderpier.utils import Timers

__all__ = ["StandstillGuard", "make_evacuations"]

TICK_INTERVAL_S = 0.25
# A standstill that is shorter than this part of the time within which evacuations take
# effect leaves enough time to learn of one afterwards.
STANDSTILL_RATIO = 0.5
# What arrived while the host stood still is read in this time after it, and shows an
# earlier state of the store although it looks new.
BUFFERED_S = 0.3
# A host whose replica is not confirmed by then goes on with what it knows: the store
# may be unavailable, and the replicas of the others are no newer.
MAX_UNCONFIRMED_S = 2.0


class StandstillGuard:
    """Detects that this host has stood still, by its own timer.

    Args:
        replica: The replica that has to be confirmed afterwards.
        timers: The timer service.
        min_s: The shortest standstill that matters, in seconds.
    """

    def __init__(self, replica: Replica, timers: Timers, min_s: float) -> None:
        self._replica = replica
        self._timers = timers
        self._min_s = min_s
        self._checked_s = timers.now()
        self._resumed_s = float("-inf")
        timers.subscribe(TICK_INTERVAL_S, self.is_unconfirmed)

    def is_unconfirmed(self) -> bool:
        """Return whether the replica may be from before a standstill."""
        now_s = self._timers.now()
        stood_still_s = now_s - self._checked_s
        self._checked_s = now_s
        if stood_still_s >= self._min_s:
            self._resumed_s = now_s
            log_message("node:stood_still", for_s=round(stood_still_s, 3))
        return (
            now_s < self._resumed_s + MAX_UNCONFIRMED_S
            and self._replica.confirmed_s < self._resumed_s + BUFFERED_S
        )


def make_evacuations(
    evacuate_s: float | None, replica: Replica, timers: Timers
) -> Evacuations:
    """Return the evacuations of a host, which does not trust them after a standstill.

    Args:
        evacuate_s: Time within which evacuations take effect, in seconds; None if they
            are not read.
        replica: The replica that has them.
        timers: The timer service.
    """
    if evacuate_s is None:
        return Evacuations(timers)
    guard = StandstillGuard(replica, timers, STANDSTILL_RATIO * evacuate_s)
    freshness = ReplicaFreshness(replica, timers)
    windows = CopyWindows(
        evacuate_s, lambda: freshness.is_fresh() and not guard.is_unconfirmed()
    )
    return Evacuations(timers, guard.is_unconfirmed, windows)
