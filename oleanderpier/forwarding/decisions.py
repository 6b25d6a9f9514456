"""Log lines of decisions by which a request is moved, delayed or refused."""

from eliot import log_message

from oleanderpier.forwarding.resources import ForwardingResources
from oleanderpier.routing import Choice, EvacuatedServer, ServerEntry

__all__ = ["log_cold", "log_evacuated", "record_cold", "record_left"]


def log_evacuated(
    request: str, evacuated: EvacuatedServer, decision: str, wait_s: float
) -> None:
    """Log that a request does not reach a server because of an evacuation.

    Args:
        request: The request's id.
        evacuated: The server, and the age of what is known of the evacuation.
        decision: ``moved`` or ``refused``.
        wait_s: The seconds after which the caller is to return, 0 if it was moved.
    """
    log_message(
        "routing:evacuated",
        request=request,
        server=evacuated.server.identity,
        decision=decision,
        domain=evacuated.server.failure_domain,
        wait_s=round(wait_s, 3),
        in_flight=evacuated.in_flight,
        age_s=round(evacuated.age_s, 3),
    )


def log_cold(
    request: str,
    server: ServerEntry,
    remaining_s: float,
    per_s: float,
    in_flight: int,
    age_s: float,
) -> None:
    """Log that a request does not reach a server now because the server is cold.

    Args:
        request: The request's id.
        server: The server.
        remaining_s: How long it is still cold.
        per_s: The requests per second that it tolerates until then.
        in_flight: Requests in flight at it, over all hosts, as known to this host.
        age_s: The seconds since its registration last changed.
    """
    log_message(
        "routing:cold",
        request=request,
        server=server.identity,
        decision="held_back",
        wait_s=round(remaining_s, 3),
        per_s=per_s,
        in_flight=in_flight,
        age_s=round(age_s, 3),
    )


def record_cold(resources: ForwardingResources, request: str, choice: Choice) -> None:
    """Record that a request does not reach a server now, if the server is cold.

    Args:
        resources: What all requests of this host share.
        request: The request's id.
        choice: The choice of the server.
    """
    cold, server = resources.cold_servers, choice.server
    rate = cold and cold.get_rate(server)
    if not rate:
        return
    resources.on_held_back("cold", "held_back")
    log_cold(
        request,
        server,
        cold.get_remaining_s(server),
        rate.per_s,
        choice.load,
        choice.server_state_age_s,
    )


def record_left(resources: ForwardingResources, request: str, choice: Choice) -> None:
    """Record that a request leaves a server that is slow or reading a long prompt.

    Args:
        resources: What all requests of this host share.
        request: The request's id.
        choice: The choice of another server.
    """
    left = choice.left
    reason = "prefill" if left.remaining_s else "slow"
    resources.on_held_back(reason, "moved")
    log_message(
        "routing:prefill",
        request=request,
        server=left.server.identity,
        decision="moved",
        reason=reason,
        to=choice.server.identity,
        remaining_s=round(left.remaining_s, 3),
        slow_factor=round(left.slow_factor, 2),
        uncached_tokens=choice.uncached_tokens,
        age_s=round(left.age_s, 3),
    )
