"""The retry budget that all hosts share without talking.

Each host takes an equal part of the fixed allowance and its own part of what
grows with requests, so that the sum holds while hosts can't reach each other.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

from oleanderpier.utils import Timers

__all__ = ["BudgetLimits", "RetryBudget"]

# Share of the allowance that is used: arrivals may cross a window's edge late.
USED_SHARE = 0.8
# Least number of hosts assumed: a host that has just started knows only itself.
FEWEST_HOSTS = 8


class BudgetLimits(NamedTuple):
    """The bound on repeated sends to a service, over all hosts.

    Attributes:
        ratio: Repeats for each request.
        slack: Repeats that are allowed beside, in any window.
        window_s: The length of a window.
    """

    ratio: float
    slack: float
    window_s: float


class RetryBudget:
    """Counts this host's requests and repeats for each service.

    Args:
        limits: The bound for all hosts together.
        timers: The timer service.
        count_hosts: Returns how many hosts share the allowance.

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
        self._repeats: dict[str, deque[float]] = defaultdict(deque)

    def record_request(self, service: str) -> None:
        """Count a request of a caller for a service."""
        self._requests[service].append(self._timers.now())
        self._count_recent(self._requests[service])

    def try_acquire(self, service: str) -> bool:
        """Return whether one more send may repeat a request, and count it."""
        allowed = self._allow(service)
        repeats = self._repeats[service]
        if self._count_recent(repeats) + 1 > allowed:
            return False
        repeats.append(self._timers.now())
        return True

    def _allow(self, service: str) -> float:
        limits = self._limits
        hosts = max(FEWEST_HOSTS, self._count_hosts())
        requests = self._count_recent(self._requests[service])
        return USED_SHARE * (limits.ratio * requests + limits.slack / hosts)

    def _count_recent(self, times: deque[float]) -> int:
        oldest = self._timers.now() - self._limits.window_s
        while times and times[0] < oldest:
            times.popleft()
        return len(times)
