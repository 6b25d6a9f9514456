"""Decides which requests a draining host still admits.

It answers this load pattern: a planned stop under load, with callers that use an old
address list until it expires.
"""

from typing import NamedTuple

from oleanderpier.results import Code, Failure
from oleanderpier.routing import RequestKind, Route

__all__ = ["DrainLimits", "check_draining_admission"]


class DrainLimits(NamedTuple):
    """Times since the start of a drain, in seconds.

    Attributes:
        max_ttl_s: Until then callers may use an old address list.
        calls_s: Until then a call has to be expected to end.
        end_s: Until then the last request has to end.
    """

    max_ttl_s: float
    calls_s: float
    end_s: float


def check_draining_admission(
    route: Route, time_limit_s: float, draining_s: float, limits: DrainLimits
) -> Failure | None:
    """Return the failure to refuse a new request with, None to admit it.

    All requests are admitted while callers may still use an old address list. After
    that no streams are, and only those calls that are expected to end in time. A call
    that runs at most once must be certain to end in time, since its caller can't repeat
    it once it may have run.

    Args:
        route: The request's route.
        time_limit_s: The request's time limit, in seconds.
        draining_s: The time since the host began to drain, in seconds.
        limits: The limits of the drain.
    """
    if draining_s <= limits.max_ttl_s:
        return None
    is_expected_to_end = draining_s + route.target_s < limits.calls_s
    will_end = draining_s + time_limit_s <= limits.end_s
    admitted = {
        RequestKind.STREAM: False,
        RequestKind.IDEMPOTENT: is_expected_to_end,
        RequestKind.ONCE: is_expected_to_end and will_end,
    }
    if admitted[route.kind]:
        return None
    return Failure(Code.HOST_LEAVING, "", 0.0)
