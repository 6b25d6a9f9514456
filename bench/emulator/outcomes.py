"""The requests of a simulation run, and the results computed from them."""

from typing import NamedTuple

from bench.emulator.patterns import RequestClass
from oleanderpier.routing import ServerQuery

__all__ = [
    "WINDOW_S",
    "Outcome",
    "Request",
    "compute_on_time_ratio",
    "compute_over_ratio",
    "compute_worst_over_ratio",
]

WINDOW_S = 2.0
# Length of the sliding window in which the users count sends over the load limit.
LIMIT_WINDOW_S = 5.0


class Outcome(NamedTuple):
    """Results of a run.

    Attributes:
        requests: Number of requests.
        on_time: Ratio of the requests' worth that was served on time.
        served: Ratio of the requests that were served completely.
        worst_window: Lowest on-time ratio in any window of ``WINDOW_S`` seconds.
        p95_s: 95th percentile of the time to the first event, in seconds.
        read_again: Mean number of prompt tokens per request that were prefilled
            again although some engine had prefilled them before.
        copied: Mean number of prompt tokens copied between engines, per request.
        over_limit: Ratio of sends that went to an engine over the users' load limit.
        worst_over_limit: The highest such ratio in any ``LIMIT_WINDOW_S`` seconds.
        choice_us: Mean processor time of a routing decision, in microseconds.
        windows: On-time ratio in each window of ``WINDOW_S`` seconds.
        unwanted: Sends per request to engines that had told the host to send nothing.
        refused_sends: Sends per request that an engine refused and asked for time.
        failed: Ratio of the requests that were given up.
    """

    requests: int
    on_time: float
    served: float
    worst_window: float
    p95_s: float
    read_again: float
    copied: float
    over_limit: float
    worst_over_limit: float
    choice_us: float
    windows: list[float]
    unwanted: float
    refused_sends: float
    failed: float


class Request:
    """A request of the load and its result.

    Attributes:
        request_class: The class of the request.
        query: The routing query.
        sent_s: Arrival time, in seconds.
        first_event_s: Time of the first event, in seconds; None before it.
        is_complete: Whether the whole response arrived.
        is_failed: Whether it was given up without a further attempt.
        tried_engines: Names of the engines that it was sent to.
    """

    def __init__(
        self, request_class: RequestClass, query: ServerQuery, sent_s: float
    ) -> None:
        self.request_class = request_class
        self.query = query
        self.sent_s = sent_s
        self.first_event_s: float | None = None
        self.is_complete = False
        self.is_failed = False
        self.tried_engines: set[str] = set()

    @property
    def is_on_time(self) -> bool:
        """Whether the response is complete and its first event met the target."""
        target_s = self.request_class["target_s"]
        return self.is_complete and self.first_event_s - self.sent_s <= target_s


def compute_on_time_ratio(requests: list[Request]) -> float:
    """Return the ratio of the requests' worth that was served on time."""
    worth = sum(r.request_class["worth"] for r in requests)
    on_time = sum(r.request_class["worth"] for r in requests if r.is_on_time)
    return on_time / worth if worth else 1.0


def compute_over_ratio(sends: list[tuple[float, bool]]) -> float:
    """Return the ratio of sends, as pairs of time and over limit, over the limit."""
    return sum(over for _, over in sends) / len(sends) if sends else 0.0


def compute_worst_over_ratio(sends: list[tuple[float, bool]]) -> float:
    """Return the highest ratio in any window of ``LIMIT_WINDOW_S`` seconds."""
    worst, first, over_count = 0.0, 0, 0
    for index, (at_s, over) in enumerate(sends):
        over_count += over
        while sends[first][0] <= at_s - LIMIT_WINDOW_S:
            over_count -= sends[first][1]
            first += 1
        if at_s >= LIMIT_WINDOW_S:
            worst = max(worst, over_count / (index - first + 1))
    return worst
