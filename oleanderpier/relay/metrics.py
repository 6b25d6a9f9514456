"""Latency histograms of responses by class of work, to compare with targets."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from oleanderpier.utils import Subscription, Timers

__all__ = ["ClassLatencies", "LatencyQuantiles", "RelayMetrics", "ResponseTimer"]

# The histograms count integers: multiples of this unit.
HISTOGRAM_UNIT_S = 0.0001
MAX_TIME_S = 3600.0
SIGNIFICANT_DIGITS = 2
# One in 16 gaps between deliveries is recorded: recording one costs more than
# all other checks of a token.
GAP_SAMPLE_MASK = 0xF
WINDOW_S = 60.0


class LatencyQuantiles(NamedTuple):
    """Quantiles of a distribution of times.

    Attributes:
        count: Number of recorded times.
        p50_s: Median in seconds.
        p95_s: 95th percentile in seconds.
        p99_s: 99th percentile in seconds.
        max_s: Largest time in seconds.
    """

    count: int
    p50_s: float
    p95_s: float
    p99_s: float
    max_s: float


class ClassLatencies(NamedTuple):
    """Latencies of a class over the current and the previous window.

    Attributes:
        work_class: The name of the class.
        first_token: Times from the request to the first delivery.
        between_tokens: Sampled times between two deliveries.
        whole: Times from the request to the end event.
    """

    work_class: str
    first_token: LatencyQuantiles
    between_tokens: LatencyQuantiles
    whole: LatencyQuantiles


class _WindowedHistogram:
    """Histogram over the current and the previous window."""

    def __init__(self) -> None:
        self._current = _make_histogram()
        self._previous = _make_histogram()

    def record(self, seconds: float) -> None:
        self._current.record_value(max(1, round(seconds / HISTOGRAM_UNIT_S)))

    def rotate(self) -> None:
        self._current, self._previous = self._previous, self._current
        self._current.reset()

    def compute_quantiles(self) -> LatencyQuantiles:
        merged = _make_histogram()
        merged.add(self._current)
        merged.add(self._previous)
        if not merged.total_count:
            return LatencyQuantiles(0, 0.0, 0.0, 0.0, 0.0)
        quantiles = [
            merged.get_value_at_percentile(at) * HISTOGRAM_UNIT_S
            for at in (50, 95, 99, 100)
        ]
        return LatencyQuantiles(merged.total_count, *quantiles)


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, round(MAX_TIME_S / HISTOGRAM_UNIT_S), SIGNIFICANT_DIGITS)


class _ClassHistograms:
    """Latency histograms of one class."""

    def __init__(self) -> None:
        self.first_token = _WindowedHistogram()
        self.between_tokens = _WindowedHistogram()
        self.whole = _WindowedHistogram()


class RelayMetrics:
    """Latencies of responses by class of work, and counters of outcomes.

    Args:
        timers: The clock, and the service that rotates the windows.

    Attributes:
        counts: Counters by name: ``answer_<code>`` for each response,
            ``attempt_<step>`` for each failed attempt, ``answer_moved``,
            ``caller_left`` and ``caller_stuck``.
    """

    def __init__(self, timers: Timers) -> None:
        self.counts: Counter[str] = Counter()
        self._timers = timers
        self._histograms: dict[str, _ClassHistograms] = {}
        self._response_count = 0

    def start(self) -> Subscription:
        """Start to rotate the windows every ``WINDOW_S`` seconds."""
        return self._timers.subscribe(WINDOW_S, self.rotate_windows)

    def start_response(self, work_class: str) -> "ResponseTimer":
        """Return the timer of a response that starts now."""
        histograms = self._histograms.get(work_class)
        if histograms is None:
            histograms = self._histograms[work_class] = _ClassHistograms()
        self._response_count += 1
        return ResponseTimer(
            histograms, self._timers.now, self._response_count & GAP_SAMPLE_MASK
        )

    def rotate_windows(self) -> None:
        """Start a new window in each class."""
        for histograms in self._histograms.values():
            histograms.first_token.rotate()
            histograms.between_tokens.rotate()
            histograms.whole.rotate()

    def report_latencies(self) -> list[ClassLatencies]:
        """Return the latencies of each class, sorted by name."""
        return [
            ClassLatencies(
                name,
                histograms.first_token.compute_quantiles(),
                histograms.between_tokens.compute_quantiles(),
                histograms.whole.compute_quantiles(),
            )
            for name, histograms in sorted(self._histograms.items())
        ]


class ResponseTimer:
    """Records the latencies of one response.

    Only one in sixteen gaps between deliveries is recorded. The sampling
    starts at another position in each response, so that short responses are
    sampled as well.

    Args:
        histograms: The histograms of the response's class.
        now: The monotonic clock, in seconds.
        sample_index: Position in the sampling cycle at which the response
            starts, below 16.
    """

    __slots__ = (
        "_awaits_first",
        "_histograms",
        "_now",
        "_sample_index",
        "_sampled_delivery_s",
        "_started_s",
    )

    def __init__(
        self, histograms: _ClassHistograms, now: Callable[[], float], sample_index: int
    ) -> None:
        self._histograms = histograms
        self._now = now
        self._sample_index = sample_index
        self._started_s = now()
        self._awaits_first = True
        self._sampled_delivery_s: float | None = None

    def record_delivery(self) -> None:
        """Record that events were written to the caller."""
        self._sample_index = (self._sample_index + 1) & GAP_SAMPLE_MASK
        if self._awaits_first:
            self._awaits_first = False
            self._histograms.first_token.record(self._now() - self._started_s)
        if self._sample_index == 0:
            self._sampled_delivery_s = self._now()
        elif self._sample_index == 1 and self._sampled_delivery_s is not None:
            self._histograms.between_tokens.record(
                self._now() - self._sampled_delivery_s
            )

    def record_completion(self) -> None:
        """Record the time of the whole response."""
        self._histograms.whole.record(self._now() - self._started_s)
