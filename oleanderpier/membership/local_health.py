"""How late this process runs, by which it stretches its own timeouts.

References:
    A. Dadgar, J. Phillips and J. Currey, "Lifeguard: local health awareness
    for more accurate failure detection", arXiv:1707.00788, 2017.
"""

import math

from eliot import log_message

from oleanderpier.utils import Timers

__all__ = ["LocalHealth"]

# Later than this by the process's own timer is a pause, not the usual jitter.
MIN_PAUSE_S = 0.5
# "Lifeguard" stretches timeouts ninefold at most.
MAX_SCORE = 8


class LocalHealth:
    """A level that rises with signs of lateness and falls with answers.

    Args:
        timers: The timer service.
        period_s: How often ``measure`` is called.

    Attributes:
        level: From 0, on time, to ``MAX_SCORE``.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> timers = ManualTimers()
        >>> lateness = LocalHealth(timers, period_s=1.0)
        >>> timers.advance(4.0)
        >>> lateness.measure_pause(), lateness.score
        (3.0, 3)
    """

    def __init__(self, timers: Timers, period_s: float) -> None:
        self.score = 0
        self._timers = timers
        self._period_s = period_s
        self._last_s = timers.now()

    def start(self, delay_s: float) -> None:
        """Expect the first measurement after a delay."""
        self._last_s = self._timers.now() + delay_s - self._period_s

    def measure_pause(self) -> float:
        """Return by how many seconds this process was paused, 0 for none."""
        now_s = self._timers.now()
        late_s = now_s - self._last_s - self._period_s
        self._last_s = now_s
        if late_s < MIN_PAUSE_S:
            return 0.0
        log_message("membership:late", late_s=round(late_s, 3))
        self.adjust_score(math.ceil(late_s / self._period_s))
        return late_s

    def adjust_score(self, levels: int) -> None:
        """Change the level by a number of steps; negative ones lower it."""
        self.score = max(0, min(MAX_SCORE, self.score + levels))
