"""Decides which requests a draining host still admits.

It answers this load pattern: a planned stop under load, with callers that use an old
address list until it expires.
"""

from oleanderpier.results import Code, Failure
from oleanderpier.routing import RequestKind, Route

__all__ = ["check_draining_admission"]


def check_draining_admission(
    route: Route,
    time_limit_s: float,
    draining_s: float,
    max_ttl_s: float,
    drain_limit_s: float,
) -> Failure | None:
    """Return the failure to refuse a new request with, None to admit it.

    All requests are admitted while callers may still use an old address list. After
    that only those are that are expected to end within half of the drain and that end
    within it in any case, and no streams.

    Args:
        route: The request's route.
        time_limit_s: The request's time limit, in seconds.
        draining_s: The time since the host began to drain, in seconds.
        max_ttl_s: How long callers may use an address list, in seconds.
        drain_limit_s: The longest time for which a host drains, in seconds.
    """
    if draining_s <= max_ttl_s:
        return None
    is_stream = route.kind is RequestKind.STREAM
    is_expected_to_end = draining_s + route.target_s < drain_limit_s / 2
    will_end = draining_s + time_limit_s <= drain_limit_s
    if not is_stream and is_expected_to_end and will_end:
        return None
    return Failure(Code.HOST_LEAVING, "", 0.0)
