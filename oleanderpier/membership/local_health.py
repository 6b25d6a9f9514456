"""Local health of the failure detector, after Lifeguard.

A process that is paused or overloaded misses replies that did arrive in time.
It scales its own timeouts up while it shows signs of that, so that it does not
report healthy hosts as failed.

References:
    A. Dadgar, J. Phillips and J. Currey, "Lifeguard: local health awareness
    for more accurate failure detection", arXiv:1707.00788, 2017.
"""

import math

from eliot import log_message

from oleanderpier.utils import Timers

__all__ = ["LocalHealth"]

# A timer that fires later than this indicates a pause; less is usual jitter.
MIN_PAUSE_S = 0.5
# Lifeguard's limit: timeouts are scaled by at most 1 + MAX_SCORE.
MAX_SCORE = 8


class LocalHealth:
    """A score that rises with signs of slowness and falls with acknowledged probes.

    Args:
        timers: The timer service.
        period_s: Interval in seconds at which ``measure_pause`` is called.

    Attributes:
        score: From 0, healthy, to ``MAX_SCORE``.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> timers = ManualTimers()
        >>> local_health = LocalHealth(timers, period_s=1.0)
        >>> timers.advance(4.0)
        >>> local_health.measure_pause(), local_health.score
        (3.0, 3)
    """

    def __init__(self, timers: Timers, period_s: float) -> None:
        self.score = 0
        self._timers = timers
        self._period_s = period_s
        self._last_s = timers.now()

    def start(self, delay_s: float) -> None:
        """Expect the first call of ``measure_pause`` after a delay in seconds."""
        self._last_s = self._timers.now() + delay_s - self._period_s

    def measure_pause(self) -> float:
        """Return for how many seconds this process was paused, 0 for no pause."""
        now_s = self._timers.now()
        late_s = now_s - self._last_s - self._period_s
        self._last_s = now_s
        if late_s < MIN_PAUSE_S:
            return 0.0
        log_message("membership:late", late_s=round(late_s, 3))
        self.adjust_score(math.ceil(late_s / self._period_s))
        return late_s

    def adjust_score(self, delta: int) -> None:
        """Add to the score; a negative delta lowers it."""
        self.score = max(0, min(MAX_SCORE, self.score + delta))
