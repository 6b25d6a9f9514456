"""A retry budget that holds over all hosts without coordination.

Each host uses an equal part of the fixed allowance, plus the part that is
proportional to its own requests. The sum over all hosts therefore stays within
the limit while hosts cannot reach each other.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

from oleanderpier.utils import Timers

__all__ = ["BudgetLimits", "RetryBudget"]

# Part of the allowance that is used. The rest covers retries that reach a server in
# a later window than the one in which they were counted.
USABLE_RATIO = 0.8
# Smallest number of hosts that the allowance is divided by: a host that has just
# started knows of no other host yet.
MIN_ASSUMED_HOSTS = 8


class BudgetLimits(NamedTuple):
    """The limit on retries to a service, over all hosts.

    Attributes:
        ratio: Retries allowed for each request.
        slack: Retries allowed in any window in addition, whatever the number of
            requests.
        window_s: Length of the sliding window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class RetryBudget:
    """Counts this host's requests and retries for each service.

    Args:
        limits: The limit for all hosts together.
        timers: The timer service.
        count_hosts: Returns the number of hosts that share the allowance.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> limits = BudgetLimits(ratio=0.0, slack=20.0, window_s=10.0)
        >>> budget = RetryBudget(limits, ManualTimers(), lambda: 8)
        >>> [budget.try_acquire("ledger") for _ in range(3)]
        [True, True, False]
    """

    def __init__(
        self, limits: BudgetLimits, timers: Timers, count_hosts: Callable[[], int]
    ) -> None:
        self._limits = limits
        self._timers = timers
        self._count_hosts = count_hosts
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)

    def record_request(self, service: str) -> None:
        """Count a caller's request to a service."""
        self._requests[service].append(self._timers.now())
        self._count_recent(self._requests[service])

    def try_acquire(self, service: str) -> bool:
        """Return whether a service may get one more retry, and count it if so."""
        if not self.has_room(service):
            return False
        self._retries[service].append(self._timers.now())
        return True

    def refund(self, service: str) -> None:
        """Take back the last retry of a service: it was not sent to any server."""
        if self._retries[service]:
            self._retries[service].pop()

    def has_room(self, service: str) -> bool:
        """Return whether a service may get one more retry now."""
        used = self._count_recent(self._retries[service])
        return used + 1 <= self._compute_allowance(service)

    def _compute_allowance(self, service: str) -> float:
        """Return this host's retries to a service in the current window."""
        limits = self._limits
        hosts = max(MIN_ASSUMED_HOSTS, self._count_hosts())
        requests = self._count_recent(self._requests[service])
        return USABLE_RATIO * (limits.ratio * requests + limits.slack / hosts)

    def _count_recent(self, times: deque[float]) -> int:
        """Return how many times lie in the window, and drop the older ones."""
        oldest = self._timers.now() - self._limits.window_s
        while times and times[0] < oldest:
            times.popleft()
        return len(times)
