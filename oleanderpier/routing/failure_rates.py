"""What failure rate is usual among the servers of a service.

The module addresses this load pattern: for some seconds all servers of a service fail
a large share of their requests alike. The moving averages of their failure rates then
differ by chance. Compared with the luckiest server, most others look bad, so that
requests leave the servers that have their prompts cached.
"""

import math
from statistics import median_low

from oleanderpier.routing.health import FAILURE_RATE_SMOOTHING

__all__ = ["compute_usual_failure_rate"]

# Standard deviations by which a server's failure rate may exceed the median before it
# counts as failing more often than the others: 1 in 40 exceeds them by chance.
USUAL_RATE_SIGMAS = 2.0
# Variance of an exponential moving average, as a ratio of that of a single result.
VARIANCE_RATIO = FAILURE_RATE_SMOOTHING / (2.0 - FAILURE_RATE_SMOOTHING)


def compute_usual_failure_rate(failure_rates: list[float]) -> float:
    """Return the highest failure rate that chance explains, 0 to 1.

    The lower median of an even number keeps one failing server of two, or two of four,
    from passing as usual. The spread is derived from the median, not from the rates
    themselves: among few servers, one that fails would widen a measured spread enough
    to hide itself.

    Args:
        failure_rates: The moving averages of the servers of a service, at least one.

    Examples:
        >>> compute_usual_failure_rate([0.0, 0.0, 0.5])
        0.0
        >>> round(compute_usual_failure_rate([0.3, 0.45, 0.6]), 2)
        0.7
    """
    usual = median_low(failure_rates)
    deviation = math.sqrt(VARIANCE_RATIO * usual * (1.0 - usual))
    return min(1.0, usual + USUAL_RATE_SIGMAS * deviation)
