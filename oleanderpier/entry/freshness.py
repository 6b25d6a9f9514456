"""Whether this host learns promptly of changes of the configuration.

The module addresses these load patterns, in which the time at which a host learns of an
evacuation does not tell how long the evacuation has been in force:

- A host starts and gets the evacuation with its first snapshot.
- A host stands still, or is cut off from the store and the other hosts, and goes on.
"""

from oleanderpier.replication import Replica
from oleanderpier.utils import Timers

__all__ = ["MAX_AGE_S", "SETTLING_S", "ReplicaFreshness"]

# A replica that is older has missed changes for too long. In a calm fleet the watchers
# confirm it about every 0.3 s.
MAX_AGE_S = 1.0
# For how long after it was older it is not trusted. What was buffered meanwhile is read
# then, and confirms an earlier state of the store although it looks new.
SETTLING_S = 1.0


class ReplicaFreshness:
    """Follows how old a replica was before each of its confirmations.

    A watch call confirms the replica before it applies the changes that it returns, so
    that the age at the time of a change says nothing of the time before.

    Args:
        replica: The replica.
        timers: The timer service.
    """

    def __init__(self, replica: Replica, timers: Timers) -> None:
        self._replica = replica
        self._timers = timers
        # When the replica was last known to be older than MAX_AGE_S.
        self._outdated_s = timers.now()
        replica.subscribe_confirmed(self._check_gap)

    def is_fresh(self) -> bool:
        """Return whether the replica has not been outdated for a while."""
        now_s = self._timers.now()
        if self._replica.get_age_s() > MAX_AGE_S:
            self._outdated_s = now_s
        return now_s > self._outdated_s + SETTLING_S

    def _check_gap(self, previous_s: float, confirmed_s: float) -> None:
        now_s = self._timers.now()
        if now_s - previous_s > MAX_AGE_S:
            self._outdated_s = now_s
