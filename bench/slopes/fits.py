"""Lines fitted to measured points, and amounts that show how they came about."""

import time
import tracemalloc
from collections.abc import Callable, Iterable
from statistics import linear_regression
from typing import Any, NamedTuple

__all__ = [
    "Amount",
    "Point",
    "Slope",
    "find_least_us",
    "fit_slope",
    "format_number",
    "measure_held",
]

REPEATS = 5
MICROSECONDS = 1e6
SMALLEST = 1e-9


class Point(NamedTuple):
    """What one size gave.

    Attributes:
        size: The size.
        least: The least value of the repeats, which other work on the machine
            disturbed least.
        most: The greatest value of the repeats.
    """

    size: float
    least: float
    most: float


class Amount(NamedTuple):
    """A value and the arithmetic that gave it.

    Examples:
        >>> Amount(2.0, "2").scale(3, "requests/s") + Amount(1.0, "1")
        Amount(value=7.0, text='3 requests/s x (2) + 1')
    """

    value: float
    text: str

    def scale(self, factor: float, label: str = "") -> "Amount":
        """Return the amount times a factor, which is said in the text."""
        said = f"{format_number(factor)} {label}".strip()
        return Amount(self.value * factor, f"{said} x ({self.text})")

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(self.value + other.value, f"{self.text} + {other.text}")


class Slope(NamedTuple):
    """A line through measured points.

    Attributes:
        what: What was measured, with its unit.
        per: What the size counts.
        points: The measured points.
        slope: Rise for each unit of size.
        intercept: Value at size 0.
        residual: The greatest distance of a point from the line.
    """

    what: str
    per: str
    points: tuple[Point, ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> Amount:
        """Return what the line gives at a size; never less than 0."""
        text = (
            f"{format_number(self.slope)} x {format_number(size)} {self.per}"
            f" {'-' if self.intercept < 0 else '+'}"
            f" {format_number(abs(self.intercept))}"
        )
        return Amount(max(0.0, self.slope * size + self.intercept), text)


def fit_slope(what: str, per: str, points: Iterable[Point]) -> Slope:
    """Fit a line through the least values of three or more points.

    Raises:
        ValueError: There are fewer than three points.

    Examples:
        >>> points = [Point(1, 3.0, 3.0), Point(2, 5.0, 5.5), Point(3, 7.0, 7.0)]
        >>> fit_slope("bytes", "hosts", points).at(10).value
        21.0
    """
    points = tuple(points)
    if len(points) < 3:
        raise ValueError(f"{what}: a slope needs three sizes")
    sizes = [point.size for point in points]
    values = [point.least for point in points]
    slope, intercept = linear_regression(sizes, values)
    distances = [
        abs(v - slope * s - intercept) for s, v in zip(sizes, values, strict=True)
    ]
    return Slope(what, per, points, slope, intercept, max(distances))


def find_least_us(
    action: Callable[[], Any], count: int = 1, repeats: int = REPEATS
) -> tuple[float, float]:
    """Return the least and the greatest processor time of an action.

    Args:
        action: What is timed.
        count: How often it is run in each repeat.
        repeats: How many repeats there are.

    Returns:
        Microseconds a run, of the least and of the most disturbed repeat.
    """
    found = []
    for _ in range(repeats):
        began_s = time.process_time()
        for _ in range(count):
            action()
        found.append((time.process_time() - began_s) / count * MICROSECONDS)
    return min(found), max(found)


def measure_held(make: Callable[[], Any]) -> int:
    """Return the bytes that what ``make`` returns keeps allocated."""
    tracemalloc.start()
    try:
        kept = make()
        size = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del kept
    return size


def format_number(value: float) -> str:
    """Return a number for people, with three digits where it is small.

    Examples:
        >>> [format_number(value) for value in (0.12345, 12.345, 1234.5, 0)]
        ['0.123', '12.3', '1,234', '0']
    """
    if abs(value) >= 100 or abs(value) < SMALLEST:
        return f"{value:,.0f}".replace("-0", "0")
    return f"{value:.3g}"
