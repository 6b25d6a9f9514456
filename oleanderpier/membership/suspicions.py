"""How long a suspect host has to refute before it counts as dead."""

import math

from oleanderpier.utils import Timers

__all__ = ["Suspicions"]

MIN_TIMEOUT_S = 3.0
MAX_TIMEOUT_FACTOR = 3.0
CONFIRMATION_COUNT = 3


class Suspicion:
    """A suspect host's time to refute, which shrinks with each accuser.

    Attributes:
        began_s: When the host became suspect, on the monotonic clock.
        accusers: Which hosts suspect it.
    """

    def __init__(self, began_s: float, accuser: str):
        self.started_s = began_s
        self.suspected_by = {accuser}

    def compute_deadline(self, hosts: int, lateness_level: int) -> float:
        """Return when the host is dead, on the monotonic clock.

        Args:
            hosts: How many hosts there are.
            lateness_level: How late this host itself is.
        """
        shortest = MIN_TIMEOUT_S * max(1.0, math.log10(max(1, hosts)))
        longest = shortest * MAX_TIMEOUT_FACTOR
        wanted = max(1, min(CONFIRMATION_COUNT, hosts - 2))
        share = math.log(len(self.suspected_by)) / math.log(wanted + 1)
        timeout = max(shortest, longest - (longest - shortest) * share)
        return self.started_s + timeout * (1 + max(0, lateness_level - 1) / 2)


class Suspicions:
    """The hosts that are suspect now.

    Args:
        timers: The timer service.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> timers = ManualTimers()
        >>> suspicions = Suspicions(timers)
        >>> suspicions.begin("h1", "h2")
        >>> timers.advance(8.9)
        >>> suspicions.list_expired(hosts=8, lateness_level=0)
        []
        >>> timers.advance(0.2)
        >>> suspicions.list_expired(hosts=8, lateness_level=0)
        ['h1']
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._suspicions: dict[str, Suspicion] = {}

    def begin(self, host: str, accuser: str) -> None:
        """Give a suspect host time from now on."""
        self._suspicions[host] = Suspicion(self._timers.now(), accuser)

    def end(self, host: str) -> None:
        """Forget the suspicion of a host, if there is one."""
        self._suspicions.pop(host, None)

    def confirm(self, host: str, accuser: str) -> bool:
        """Note one more accuser and return whether that is news."""
        accusers = self._suspicions[host].suspected_by
        if accuser in accusers or len(accusers) > CONFIRMATION_COUNT:
            return False
        accusers.add(accuser)
        return True

    def extend(self, seconds: float) -> None:
        """Give every suspect host more time."""
        for suspicion in self._suspicions.values():
            suspicion.started_s += seconds

    def list_expired(self, hosts: int, lateness_level: int) -> list[str]:
        """Return the hosts whose time is over.

        Args:
            hosts: How many hosts there are.
            lateness_level: How late this host itself is.
        """
        now_s = self._timers.now()
        return [
            host
            for host, suspicion in self._suspicions.items()
            if now_s >= suspicion.compute_deadline(hosts, lateness_level)
        ]
