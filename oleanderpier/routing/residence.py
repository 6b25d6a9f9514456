"""How long requests stay in flight, from the durations of this host's requests."""

import math
from typing import NamedTuple

__all__ = ["ResidenceTimes"]

# Mean remaining time of a request in flight until the first one has ended, in seconds:
# that of a stream. If requests take less, the first of them corrects it at once.
DEFAULT_REMAINING_S = 1.0
# Weight of the latest duration in the moving averages.
SMOOTHING = 0.03


class _Moments(NamedTuple):
    """Moving averages of the durations at one service.

    Attributes:
        mean_s: Of the durations, in seconds.
        mean_square_s2: Of their squares, in square seconds.
    """

    mean_s: float
    mean_square_s2: float


class ResidenceTimes:
    """The time that requests of a service remain in flight.

    Examples:
        >>> times = ResidenceTimes()
        >>> times.record_duration("ledger", 2.0)
        >>> round(times.estimate_survival("ledger", 1.0), 3)
        0.368
    """

    def __init__(self) -> None:
        self._moments: dict[str, _Moments] = {}

    def record_duration(self, service: str, took_s: float) -> None:
        """Record that a request to a service has ended after some seconds."""
        moments = self._moments.get(service)
        if moments is None:
            self._moments[service] = _Moments(took_s, took_s * took_s)
            return
        self._moments[service] = _Moments(
            moments.mean_s + SMOOTHING * (took_s - moments.mean_s),
            moments.mean_square_s2
            + SMOOTHING * (took_s * took_s - moments.mean_square_s2),
        )

    def get_mean_s(self, service: str) -> float | None:
        """Return the mean duration at a service, in seconds; None before the first."""
        moments = self._moments.get(service)
        return None if moments is None else moments.mean_s

    def estimate_survival(self, service: str, age_s: float) -> float:
        """Return the probability that a request in flight is still so later.

        It is exponential in the mean remaining time of a request that is in flight
        at a random time, ``E[T^2] / (2 E[T])``.

        Args:
            service: The service.
            age_s: The seconds since it was in flight.
        """
        if age_s <= 0.0:
            return 1.0
        moments = self._moments.get(service)
        remaining_s = DEFAULT_REMAINING_S
        if moments is not None:
            if moments.mean_s <= 0.0:
                return 0.0
            remaining_s = moments.mean_square_s2 / (2 * moments.mean_s)
        return math.exp(-age_s / remaining_s)
