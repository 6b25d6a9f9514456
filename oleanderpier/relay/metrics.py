"""What was measured of answers, by class of work, to compare with targets."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from oleanderpier.utils import Subscription, Timers

__all__ = ["ClassLatencies", "LatencyQuantiles", "RelayMetrics", "ResponseTimer"]

UNIT_S = 0.0001
LONGEST_S = 3600.0
SIGNIFICANT_DIGITS = 2
SAMPLE_MASK = 0xF
WINDOW_S = 60.0


class LatencyQuantiles(NamedTuple):
    """A distribution of times, in seconds."""

    count: int
    p50_s: float
    p95_s: float
    p99_s: float
    max_s: float


class ClassLatencies(NamedTuple):
    """What was measured of a class in the last one to two windows."""

    work_class: str
    first_token: LatencyQuantiles
    between_tokens: LatencyQuantiles
    whole: LatencyQuantiles


class _Window:
    """Times of the window that runs and of the one before."""

    def __init__(self) -> None:
        self._current = _make_histogram()
        self._previous = _make_histogram()

    def record(self, seconds: float) -> None:
        self._current.record_value(max(1, round(seconds / UNIT_S)))

    def rotate(self) -> None:
        self._current, self._previous = self._previous, self._current
        self._current.reset()

    def report(self) -> LatencyQuantiles:
        both = _make_histogram()
        both.add(self._current)
        both.add(self._previous)
        if not both.total_count:
            return LatencyQuantiles(0, 0.0, 0.0, 0.0, 0.0)
        points = [both.get_value_at_percentile(at) * UNIT_S for at in (50, 95, 99, 100)]
        return LatencyQuantiles(both.total_count, *points)


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, round(LONGEST_S / UNIT_S), SIGNIFICANT_DIGITS)


class _ClassMeasure:
    """The windows of one class."""

    def __init__(self) -> None:
        self.first_token = _Window()
        self.between_tokens = _Window()
        self.whole = _Window()


class RelayMetrics:
    """Times of answers by class of work, and counts of what went wrong.

    Args:
        timers: The clock, and the service that turns the windows.

    Attributes:
        counts: How often each thing happened, by name.
    """

    def __init__(self, timers: Timers) -> None:
        self.counts: Counter[str] = Counter()
        self._timers = timers
        self._classes: dict[str, _ClassMeasure] = {}
        self._answers = 0

    def start(self) -> Subscription:
        """Turn the windows from now on."""
        return self._timers.subscribe(WINDOW_S, self.rotate)

    def start_response(self, work_class: str) -> "ResponseTimer":
        """Return the stop watch of one answer."""
        measure = self._classes.get(work_class)
        if measure is None:
            measure = self._classes[work_class] = _ClassMeasure()
        self._answers += 1
        return ResponseTimer(measure, self._timers.now, self._answers & SAMPLE_MASK)

    def rotate(self) -> None:
        """Begin a new window in each class."""
        for measure in self._classes.values():
            measure.first_token.rotate()
            measure.between_tokens.rotate()
            measure.whole.rotate()

    def report_latencies(self) -> list[ClassLatencies]:
        """Return what was measured, by class."""
        return [
            ClassLatencies(
                name,
                measure.first_token.report(),
                measure.between_tokens.report(),
                measure.whole.report(),
            )
            for name, measure in sorted(self._classes.items())
        ]


class ResponseTimer:
    """The stop watch of one answer.

    The time between two deliveries is sampled, one in sixteen, because a
    record costs more than all other checks of a token.

    Args:
        measure: Where times are recorded.
        now: The monotonic clock.
        place: Where in the sample the answer begins.
    """

    __slots__ = ("_before", "_first", "_measure", "_now", "_place", "_started")

    def __init__(
        self, measure: _ClassMeasure, now: Callable[[], float], place: int
    ) -> None:
        self._measure = measure
        self._now = now
        self._place = place
        self._started = now()
        self._first = True
        self._before: float | None = None

    def record_delivery(self) -> None:
        """Count one delivery of events."""
        self._place = (self._place + 1) & SAMPLE_MASK
        if self._first:
            self._first = False
            self._measure.first_token.record(self._now() - self._started)
        if self._place == 0:
            self._before = self._now()
        elif self._place == 1 and self._before is not None:
            self._measure.between_tokens.record(self._now() - self._before)

    def record_completion(self) -> None:
        """Record the time of the whole answer."""
        self._measure.whole.record(self._now() - self._started)
