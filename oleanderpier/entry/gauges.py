"""The metrics of an entry host whose values are read when they are scraped."""

from collections.abc import Callable

__all__ = ["list_gauges"]


def list_gauges(node) -> list[tuple[str, str, Callable[[], float]]]:
    """Return the name, the help text and the reader of each gauge of an entry host.

    Args:
        node: The ``EntryNode``.
    """
    return [
        ("requests_in_progress", "Requests now.", lambda: node.in_progress),
        ("peer_bytes_sent", "Bytes to hosts.", lambda: node.mesh.bytes_sent),
        ("hosts_ready", "Other ready hosts.", lambda: len(node.view.list_ready())),
        ("servers_known", "Backend servers.", lambda: len(node.roster)),
        (
            "servers_leaving",
            "Servers that have said that they leave.",
            node.exchange.statements.count_leaving,
        ),
        (
            "servers_waited_for",
            "Servers that get no requests for a time.",
            lambda: node.exchange.statements.count_waits(node.timers.now()),
        ),
        (
            "servers_limited",
            "Servers that name a limit of requests per second.",
            lambda: len(node.exchange.statements.list_limits()),
        ),
        ("permits_held", "Permits of requests.", node.exchange.permits.count_held),
        (
            "permit_queries_queued",
            "Queries of all hosts that wait here for permits.",
            node.exchange.permit_owner.count_queued,
        ),
        (
            "servers_cold",
            "Servers that tolerate few requests, since they are cold.",
            lambda: node.cold_servers.count_cold(node.roster.list_entries()),
        ),
        (
            "services_stating_speed",
            "Services with a server that has stated its speed.",
            node.exchange.statements.loads.count_with_speeds,
        ),
        (
            "prefill_tokens_per_ms",
            "Lowest speed of prefill of a service, as the choice of servers uses it.",
            node.chooser.costs.prefill_times.get_lowest_tokens_per_ms,
        ),
        (
            "domains_evacuated",
            "Failure domains whose servers get nothing more.",
            lambda: len(node.evacuations.list_domains()),
        ),
        (
            "prompt_parts_quarantined",
            "Prompt parts, and requests as a whole, that are refused.",
            lambda: len(node.exchange.poison.list_quarantines()),
        ),
        (
            "body_bytes",
            "Room that bodies of callers take.",
            lambda: node.body_room.total_bytes,
        ),
        (
            "bodies_refused",
            "Bodies without room since the start.",
            lambda: node.body_room.refused,
        ),
        (
            "bodies_given_up",
            "Unfinished bodies whose room others got.",
            lambda: node.body_room.evicted,
        ),
        (
            "response_bytes",
            "Large responses that are being sent to callers.",
            lambda: node.response_room.total_bytes,
        ),
        (
            "responses_aborted",
            "Large responses whose room others got.",
            lambda: node.response_room.aborted,
        ),
        (
            "configuration_version",
            "Version in force.",
            lambda: node.route_index.table.version if node.route_index else 0,
        ),
        (
            "configuration_age_seconds",
            "Since it was known to be the newest.",
            node.get_configuration_age_s,
        ),
    ]
