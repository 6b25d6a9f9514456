"""Which hosts probe which backend server."""

from collections.abc import Mapping, Sequence

from oleanderpier.utils import rank_candidates

__all__ = ["PROBERS", "choose_probers", "list_duties"]

PROBERS = 2
FALLBACK_PROBERS = 1


def choose_probers(server: str, hosts: Mapping[str, Sequence[str]]) -> list[str]:
    """Return the hosts that probe a backend server, and then the fallback.

    They are in different failure domains as far as there are several. Domains
    are ranked first and then the hosts of the domain, so that the choice
    takes few hashes in a large fleet.

    Args:
        server: The backend server's name.
        hosts: The hosts that are alive, by failure domain.

    Examples:
        >>> len(choose_probers("engine-1", {"a": ["h1", "h4"], "b": ["h2"]}))
        3
    """
    domains = rank_candidates(server, [name for name in hosts if hosts[name]])
    if not domains:
        return []
    chosen: list[str] = []
    for slot in range(PROBERS + FALLBACK_PROBERS):
        inside = hosts[domains[slot % len(domains)]]
        left = [host for host in inside if host not in chosen]
        chosen += rank_candidates(server, left)[:1]
    return chosen


def list_duties(
    host: str, domain: str, servers: Sequence[str], hosts: Mapping[str, Sequence[str]]
) -> dict[str, bool]:
    """Return the backend servers that a host has to probe.

    Args:
        host: The host.
        domain: Its failure domain.
        servers: All backend servers.
        hosts: The hosts that are alive, by failure domain.

    Returns:
        For each backend server whether the host always probes it (True) or
        is the fallback (False).
    """
    domains = [name for name in hosts if hosts[name]]
    duties = {}
    for server in servers:
        if not _is_near(server, domain, domains):
            continue
        chosen = choose_probers(server, hosts)
        if host in chosen:
            duties[server] = host in chosen[:PROBERS]
    return duties


def _is_near(server: str, domain: str, domains: Sequence[str]) -> bool:
    """Return whether a domain is one of those that probe a backend server."""
    slots = PROBERS + FALLBACK_PROBERS
    if len(domains) <= slots:
        return True
    return domain in rank_candidates(server, domains)[:slots]
