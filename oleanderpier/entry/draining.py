"""Decides how long a draining host admits requests and waits for them.

It answers this load pattern: a planned stop under load, with callers that use an old
address list until it expires, and open connections until they are closed. The host may
have been stopped or suspended when the signal came.
"""

from oleanderpier.entry.admission import DrainLimits, check_draining_admission
from oleanderpier.results import Failure
from oleanderpier.routing import Route
from oleanderpier.utils import Timers

__all__ = ["ADDRESS_TTL_S", "Drain"]

# How long callers may use an address list. Some use it up to ``MAX_TTL_FACTOR``
# times as long.
ADDRESS_TTL_S = 0.5
MAX_TTL_FACTOR = 3.0
# Minimum time between the last use of an old address list and the closing of the
# listeners.
DRAIN_SLACK_S = 0.3
# Shares of the grace period after which the last request must end, and its response
# must be sent. The rest is for closing the other connections and the process's end.
DRAIN_SHARE = 0.9
LAST_RESPONSE_SHARE = 0.96
# A host that is stopped or suspended gets the signal to end only afterwards. It checks
# its clock at this interval; a longer time between two checks is a standstill.
CHECK_INTERVAL_S = 0.1
MIN_STANDSTILL_S = 0.5
# The longest time from the end of a standstill to the handling of a signal.
MAX_SIGNAL_DELAY_S = 0.5
# Share of the grace period that may be assumed to be over at the begin of a drain.
MAX_ASSUMED_SHARE = 0.5
# Share of the grace period until which a call has to be expected to end.
CALLS_SHARE = 0.5


class Drain:
    """The drain of one host; nothing is refused before it begins.

    Args:
        timers: The timer service.
        grace_s: The time from the signal to end until the process is killed, in
            seconds.
    """

    def __init__(self, timers: Timers, grace_s: float) -> None:
        self._timers = timers
        self._grace_s = grace_s
        self._limits = DrainLimits(
            MAX_TTL_FACTOR * ADDRESS_TTL_S,
            CALLS_SHARE * grace_s,
            DRAIN_SHARE * grace_s,
        )
        self._started_s: float | None = None
        # When the signal to end may have been sent.
        self._signalled_s = float("inf")
        self._checked_s = timers.now()
        # The beginning and the end of the last standstill.
        self._standstill_s = (float("-inf"), float("-inf"))
        timers.subscribe(CHECK_INTERVAL_S, self._check_clock)

    def begin(self) -> None:
        """Begin the drain now."""
        self._check_clock()
        self._started_s = self._signalled_s = self._timers.now()
        since_s, until_s = self._standstill_s
        if self._started_s - until_s <= MAX_SIGNAL_DELAY_S:
            # After a long one nothing but an early end would be left.
            earliest_s = self._started_s - MAX_ASSUMED_SHARE * self._grace_s
            self._signalled_s = max(since_s, earliest_s)

    def _check_clock(self) -> None:
        """Find out whether the host has stood still since the last check."""
        now_s = self._timers.now()
        if now_s - self._checked_s >= MIN_STANDSTILL_S:
            self._standstill_s = (self._checked_s, now_s)
        self._checked_s = now_s

    def get_elapsed_s(self) -> float | None:
        """Return the seconds since the drain began, None before."""
        if self._started_s is None:
            return None
        return self._timers.now() - self._started_s

    def get_deadline_s(self) -> float:
        """Return when the last request must end, on the timer service's clock."""
        return self._signalled_s + self._limits.end_s

    def get_last_response_deadline_s(self) -> float:
        """Return until when the last response may be sent, on the same clock."""
        return self._signalled_s + LAST_RESPONSE_SHARE * self._grace_s

    def may_stop_listening(self, in_progress: int) -> bool:
        """Return whether to accept no more connections.

        Args:
            in_progress: The number of requests in progress.
        """
        lists_expired = self.get_elapsed_s() >= self._limits.max_ttl_s + DRAIN_SLACK_S
        is_over = self._timers.now() >= self.get_deadline_s()
        return is_over or (lists_expired and not in_progress)

    def check_admission(self, route: Route, time_limit_s: float) -> Failure | None:
        """Return the failure to refuse a new request with, None to admit it.

        Args:
            route: The request's route.
            time_limit_s: The request's time limit, in seconds.
        """
        draining_s = self.get_elapsed_s()
        if draining_s is None or draining_s <= self._limits.max_ttl_s:
            return None
        elapsed_s = self._timers.now() - self._signalled_s
        return check_draining_admission(route, time_limit_s, elapsed_s, self._limits)
