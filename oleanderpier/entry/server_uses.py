"""How hosts use backend servers, as their reports state it."""

from collections.abc import Mapping

from oleanderpier.fleet import ServerUse
from oleanderpier.routing import ServerHealth

__all__ = ["list_server_uses", "record_peer_responses"]


def list_server_uses(
    in_flight: Mapping[str, int],
    responses: Mapping[str, int],
    failures: Mapping[str, int],
) -> dict[str, ServerUse]:
    """Return this host's use of each server, by server id.

    Args:
        in_flight: Its requests in flight.
        responses: The responses since the previous report.
        failures: How many of these were failures of the server.
    """
    return {
        identity: ServerUse(
            in_flight.get(identity, 0),
            responses.get(identity, 0),
            failures.get(identity, 0),
        )
        for identity in {*in_flight, *responses}
    }


def record_peer_responses(
    health: ServerHealth, servers: Mapping[str, ServerUse]
) -> None:
    """Record the responses that another host has reported, by server id."""
    for identity, use in servers.items():
        for response_index in range(use.responses):
            health.record_peer_response(identity, failed=response_index < use.failures)
