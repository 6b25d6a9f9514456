"""Failure domains that are evacuated: their servers get nothing more.

The module addresses these load patterns:

- An operator evacuates a failure domain. Its servers must get no further request of any
  kind, and the servers of the other domains take the load. For a while these may still
  copy from its caches (see ``copy_windows``).
- The domain is taken back: all its servers are cold at once, so that they must not get
  their usual share immediately (see ``cold_starts``).
- The store returns from an older copy that lacks the evacuation. The operator writes it
  again within about 2 s, and until then no request may be sent there.
"""

from collections.abc import Callable

from eliot import log_message

from oleanderpier.routing.copy_windows import CopyWindows
from oleanderpier.utils import Subscription, Timers

__all__ = ["RETAINED_S", "Evacuations"]

# How long an evacuation stays in force that the store has lost with its last seconds:
# the operator writes the key again within 2 s, and 0.5 s is for propagation.
RETAINED_S = 2.5


class Evacuations:
    """The evacuated failure domains.

    Args:
        timers: The timer service.
        are_unconfirmed: Returns whether this host may not know of an evacuation that
            has been in force for long, since it stood still.
        copy_windows: For how long caches may be copied from evacuated domains; None if
            never.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> evacuations = Evacuations(ManualTimers())
        >>> evacuations.update("duluth", True)
        >>> evacuations.is_evacuated("duluth")
        True
        >>> evacuations.update("duluth", False)
        >>> evacuations.list_domains()
        []
    """

    def __init__(
        self,
        timers: Timers,
        are_unconfirmed: Callable[[], bool] = lambda: False,
        copy_windows: CopyWindows | None = None,
    ) -> None:
        self.are_unconfirmed = are_unconfirmed
        self._copy_windows = copy_windows
        self._timers = timers
        self._begun_s: dict[str, float] = {}
        self._ended_s: dict[str, float] = {}
        # When the evacuations end that an older copy of the store lacks.
        self._retained_until_s: dict[str, float] = {}
        self._endings: dict[str, Subscription] = {}

    def __bool__(self) -> bool:
        """Return whether any failure domain is evacuated."""
        return bool(self._begun_s)

    def update(self, domain: str, active: bool, is_new: bool = True) -> None:
        """Record that the evacuation of a failure domain has begun, or has ended.

        Args:
            domain: The failure domain.
            active: Whether it is evacuated.
            is_new: Whether the store may have acknowledged this a moment ago. If not,
                nothing may be copied from the domain.
        """
        self._retained_until_s.pop(domain, None)
        ending = self._endings.pop(domain, None)
        if ending is not None:
            ending.cancel()
        if active == (domain in self._begun_s):
            return
        now_s = self._timers.now()
        if active:
            self._begun_s[domain] = now_s
            if self._copy_windows is not None and is_new:
                self._copy_windows.open(domain, now_s)
        else:
            if self._copy_windows is not None:
                self._copy_windows.close(domain)
            del self._begun_s[domain]
            self._ended_s[domain] = now_s
        log_message(
            "node:evacuation",
            domain=domain,
            active=active,
            copies=self.allows_copies(domain),
        )

    def retain(self, domain: str) -> None:
        """Record that an older copy of the store lacks the evacuation of a domain.

        It ends after ``RETAINED_S`` unless the operator writes it again.
        """
        if domain in self._begun_s and domain not in self._retained_until_s:
            self._schedule_end(domain, RETAINED_S, "")

    def adopt_retained(self, domain: str, for_s: float, source: str) -> None:
        """Record an evacuation that another host retains.

        Hosts that start after the return of the store learn of it only so.

        Args:
            domain: The failure domain.
            for_s: How long the other host still retains it, in seconds.
            source: The other host.
        """
        if domain in self._begun_s or not 0.0 < for_s <= RETAINED_S:
            return
        self.update(domain, True, is_new=False)
        self._schedule_end(domain, for_s, source)

    def list_retained(self) -> dict[str, float]:
        """Return the seconds for which each retained evacuation stays in force."""
        now_s = self._timers.now()
        return {
            domain: until_s - now_s
            for domain, until_s in self._retained_until_s.items()
        }

    def _schedule_end(self, domain: str, delay_s: float, source: str) -> None:
        log_message(
            "node:evacuation_retained",
            domain=domain,
            for_s=round(delay_s, 3),
            source=source,
        )
        self._retained_until_s[domain] = self._timers.now() + delay_s
        self._endings[domain] = self._timers.call_later(
            delay_s, lambda: self.update(domain, False)
        )

    def is_evacuated(self, domain: str) -> bool:
        """Return whether a failure domain is evacuated."""
        return domain in self._begun_s

    def allows_copies(self, domain: str) -> bool:
        """Return whether caches of a failure domain may be copied to other servers."""
        if domain not in self._begun_s:
            return True
        windows = self._copy_windows
        return windows is not None and windows.is_open(domain, self._timers.now())

    def list_domains(self) -> list[str]:
        """Return the evacuated failure domains."""
        return list(self._begun_s)

    def get_begun_s(self, domain: str) -> float | None:
        """Return when this host learned of the evacuation that is in force.

        The time is on the timer service's clock; None without an evacuation.
        """
        return self._begun_s.get(domain)

    def get_ended_s(self, domain: str) -> float | None:
        """Return when the last evacuation of a failure domain ended.

        The time is on the timer service's clock; None if none has ended since this
        host started.
        """
        return self._ended_s.get(domain)
