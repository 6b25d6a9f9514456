"""Linear fits of measured costs, and amounts that keep their formula."""

import time
import tracemalloc
from collections.abc import Callable, Iterable
from statistics import linear_regression
from typing import Any, NamedTuple

__all__ = [
    "Amount",
    "LinearFit",
    "Point",
    "fit_line",
    "format_number",
    "measure_allocated_bytes",
    "measure_cpu_us",
]

DEFAULT_REPEATS = 5
US_PER_S = 1e6
ZERO_TOLERANCE = 1e-9


class Point(NamedTuple):
    """The measured cost at one size.

    Attributes:
        size: The number of units, such as hosts, at which the cost was measured.
        minimum: The smallest value over the repeats, the one that other load on
            the machine affected least.
        maximum: The largest value over the repeats.
    """

    size: float
    minimum: float
    maximum: float


class Amount(NamedTuple):
    """A value and the formula that it was computed with.

    Attributes:
        value: The value.
        formula: The formula as shown on the page.

    Examples:
        >>> Amount(2.0, "2").scale(3, "requests/s") + Amount(1.0, "1")
        Amount(value=7.0, formula='3 requests/s x (2) + 1')
    """

    value: float
    formula: str

    def scale(self, factor: float, label: str = "") -> "Amount":
        """Return the amount times a factor, which is added to the formula."""
        term = f"{format_number(factor)} {label}".strip()
        return Amount(self.value * factor, f"{term} x ({self.formula})")

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(self.value + other.value, f"{self.formula} + {other.formula}")


class LinearFit(NamedTuple):
    """A line fitted to measured points.

    Attributes:
        label: The measured quantity and its unit.
        size_unit: The unit that the size counts, such as ``hosts``.
        points: The measured points.
        slope: The increase per unit of size.
        intercept: The value at size 0.
        residual: The largest distance of a point from the line.
    """

    label: str
    size_unit: str
    points: tuple[Point, ...]
    slope: float
    intercept: float
    residual: float

    def estimate(self, size: float) -> Amount:
        """Return the value of the line at a size, at least 0."""
        text = (
            f"{format_number(self.slope)} x {format_number(size)} {self.size_unit}"
            f" {'-' if self.intercept < 0 else '+'}"
            f" {format_number(abs(self.intercept))}"
        )
        return Amount(max(0.0, self.slope * size + self.intercept), text)


def fit_line(label: str, size_unit: str, points: Iterable[Point]) -> LinearFit:
    """Fit a line to the minima of three or more points by least squares.

    Args:
        label: The measured quantity and its unit.
        size_unit: The unit that the size counts.
        points: The measured points.

    Raises:
        ValueError: There are fewer than three points.

    Examples:
        >>> points = [Point(1, 3.0, 3.0), Point(2, 5.0, 5.5), Point(3, 7.0, 7.0)]
        >>> fit_line("bytes", "hosts", points).estimate(10).value
        21.0
    """
    points = tuple(points)
    if len(points) < 3:
        raise ValueError(f"{label}: a fit needs at least 3 points, got {len(points)}")
    sizes = [point.size for point in points]
    values = [point.minimum for point in points]
    slope, intercept = linear_regression(sizes, values)
    distances = [
        abs(v - slope * s - intercept) for s, v in zip(sizes, values, strict=True)
    ]
    return LinearFit(label, size_unit, points, slope, intercept, max(distances))


def measure_cpu_us(
    action: Callable[[], Any], runs: int = 1, repeats: int = DEFAULT_REPEATS
) -> tuple[float, float]:
    """Return the minimum and the maximum processor time of an action.

    Args:
        action: The action to time.
        runs: The number of runs in each repeat.
        repeats: The number of repeats.

    Returns:
        The smallest and the largest mean over a repeat, in microseconds per run.
    """
    samples_us = []
    for _ in range(repeats):
        began_s = time.process_time()
        for _ in range(runs):
            action()
        samples_us.append((time.process_time() - began_s) / runs * US_PER_S)
    return min(samples_us), max(samples_us)


def measure_allocated_bytes(make: Callable[[], Any]) -> int:
    """Return the bytes that stay allocated for the object that ``make`` returns."""
    tracemalloc.start()
    try:
        result = make()
        size = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del result
    return size


def format_number(value: float) -> str:
    """Format a number with three significant digits, or as an integer from 100.

    Examples:
        >>> [format_number(value) for value in (0.12345, 12.345, 1234.5, 0)]
        ['0.123', '12.3', '1,234', '0']
    """
    if abs(value) >= 100 or abs(value) < ZERO_TOLERANCE:
        return f"{value:,.0f}".replace("-0", "0")
    return f"{value:.3g}"
