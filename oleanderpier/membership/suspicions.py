"""How long a suspect host has to refute the suspicion before it is declared dead.

The timeout follows Lifeguard: it starts long, so that a false suspicion can be
refuted, and shrinks with each further host that reports the same suspicion.

References:
    A. Dadgar, J. Phillips and J. Currey, "Lifeguard: local health awareness
    for more accurate failure detection", arXiv:1707.00788, 2017.
"""

import math

from oleanderpier.utils import Timers

__all__ = ["Suspicions"]

# Timeout of a fully confirmed suspicion in a fleet of up to ten hosts.
MIN_TIMEOUT_S = 3.0
# Timeout of an unconfirmed suspicion, in multiples of that of a confirmed one.
MAX_TIMEOUT_FACTOR = 3.0
# Hosts besides the first one that have to report a suspicion to confirm it.
CONFIRMATION_COUNT = 3


class Suspicion:
    """The suspicion of one host.

    Attributes:
        started_s: When the host became suspect, on the monotonic clock.
        suspected_by: The hosts that reported the suspicion.
    """

    def __init__(self, started_s: float, reporter: str):
        self.started_s = started_s
        self.suspected_by = {reporter}

    def compute_deadline(self, hosts: int, health_score: int) -> float:
        """Return when the host is declared dead, on the monotonic clock.

        Args:
            hosts: Number of hosts in the fleet.
            health_score: This host's ``LocalHealth.score``.
        """
        shortest = MIN_TIMEOUT_S * max(1.0, math.log10(max(1, hosts)))
        longest = shortest * MAX_TIMEOUT_FACTOR
        wanted = max(1, min(CONFIRMATION_COUNT, hosts - 2))
        share = math.log(len(self.suspected_by)) / math.log(wanted + 1)
        timeout = max(shortest, longest - (longest - shortest) * share)
        return self.started_s + timeout * (1 + max(0, health_score - 1) / 2)


class Suspicions:
    """The suspicions that are neither refuted nor expired.

    Args:
        timers: The timer service.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> timers = ManualTimers()
        >>> suspicions = Suspicions(timers)
        >>> suspicions.begin("h1", "h2")
        >>> timers.advance(8.9)
        >>> suspicions.list_expired(hosts=8, health_score=0)
        []
        >>> timers.advance(0.2)
        >>> suspicions.list_expired(hosts=8, health_score=0)
        ['h1']
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._suspicions: dict[str, Suspicion] = {}

    def begin(self, host: str, reporter: str) -> None:
        """Start the timeout of a host that became suspect."""
        self._suspicions[host] = Suspicion(self._timers.now(), reporter)

    def end(self, host: str) -> None:
        """Discard the suspicion of a host, if there is one."""
        self._suspicions.pop(host, None)

    def confirm(self, host: str, reporter: str) -> bool:
        """Add a host that reports a suspicion, which shortens its timeout.

        Returns:
            Whether the report is new; False once enough hosts have reported
            the suspicion.
        """
        suspected_by = self._suspicions[host].suspected_by
        if reporter in suspected_by or len(suspected_by) > CONFIRMATION_COUNT:
            return False
        suspected_by.add(reporter)
        return True

    def extend(self, seconds: float) -> None:
        """Postpone the deadline of every suspicion."""
        for suspicion in self._suspicions.values():
            suspicion.started_s += seconds

    def list_expired(self, hosts: int, health_score: int) -> list[str]:
        """Return the suspect hosts that did not refute before their deadline.

        Args:
            hosts: Number of hosts in the fleet.
            health_score: This host's ``LocalHealth.score``.
        """
        now_s = self._timers.now()
        return [
            host
            for host, suspicion in self._suspicions.items()
            if now_s >= suspicion.compute_deadline(hosts, health_score)
        ]
