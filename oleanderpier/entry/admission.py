"""Decides which requests a draining host still admits.

It answers this load pattern: a planned stop under load, with callers that use an old
address list until it expires.
"""

from oleanderpier.results import Code, Failure
from oleanderpier.routing import RequestKind, Route

__all__ = ["check_draining_admission"]


def check_draining_admission(
    route: Route, draining_s: float, max_ttl_s: float, grace_s: float
) -> Failure | None:
    """Return the failure to refuse a new request with, None to admit it.

    All requests are admitted while callers may still use an old address list. After
    that only those are that are expected to end within half of the grace period, and no
    streams.

    Args:
        route: The request's route.
        draining_s: The time since the host began to drain, in seconds.
        max_ttl_s: How long callers may use an address list, in seconds.
        grace_s: The time from the begin of the drain until the process is killed.
    """
    if draining_s <= max_ttl_s:
        return None
    is_stream = route.kind is RequestKind.STREAM
    if not is_stream and draining_s + route.target_s < grace_s / 2:
        return None
    return Failure(Code.HOST_LEAVING, "", 0.0)
