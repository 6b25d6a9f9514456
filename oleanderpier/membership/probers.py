"""Assignment of backend servers to the hosts that probe them."""

from collections.abc import Mapping, Sequence

from oleanderpier.utils import rank_candidates

__all__ = ["PROBER_COUNT", "ProbeAssignment", "choose_probers"]

# Hosts that always probe a server, and hosts that join while it is in doubt.
PROBER_COUNT = 2
FALLBACK_PROBER_COUNT = 1


def choose_probers(
    server: str, hosts: Mapping[str, Sequence[str]], only_domain: str | None = None
) -> list[str]:
    """Return the hosts that probe a backend server, the fallback prober last.

    They are in different failure domains if there are enough domains. Domains
    are ranked first and then the hosts within the chosen domains, so that a
    large fleet needs few hashes.

    Args:
        server: The backend server's name.
        hosts: Names of the hosts that are alive, by failure domain.
        only_domain: If given, hosts of other domains may be returned as an
            empty name, which saves ranking them.

    Examples:
        >>> len(choose_probers("engine-1", {"a": ["h1", "h4"], "b": ["h2"]}))
        3
    """
    domains = rank_candidates(server, [name for name in hosts if hosts[name]])
    if not domains:
        return []
    chosen: list[str] = []
    for slot in range(PROBER_COUNT + FALLBACK_PROBER_COUNT):
        domain = domains[slot % len(domains)]
        if only_domain not in (None, domain) and len(domains) > slot:
            chosen.append("")
            continue
        left = [host for host in hosts[domain] if host not in chosen]
        chosen += rank_candidates(server, left)[:1]
    return chosen


class ProbeAssignment:
    """Computes which backend servers one host has to probe.

    The ranking of failure domains is cached until the domains or servers
    change, so that a change of hosts ranks the hosts of one domain only.

    Args:
        host: Name of the host.
        domain: The host's failure domain.
    """

    def __init__(self, host: str, domain: str) -> None:
        self._host = host
        self._domain = domain
        self._domain_servers: list[str] = []
        self._domain_servers_key: tuple[list[str], list[str]] | None = None
        self._assignment_key: object = None
        self._assignment: dict[str, bool] = {}

    def assign(
        self, servers: Sequence[str], hosts: Mapping[str, Sequence[str]]
    ) -> dict[str, bool]:
        """Return the servers to probe, from the cache if no input has changed.

        Args:
            servers: Names of all backend servers.
            hosts: Names of the hosts that are alive, by failure domain.

        Returns:
            For each server that the host has to probe, whether it always does
            so (True) or is the fallback prober (False).
        """
        domains = sorted(name for name in hosts if hosts[name])
        if (servers, domains) != self._domain_servers_key:
            self._domain_servers_key = (list(servers), domains)
            self._domain_servers = [
                s for s in servers if _is_probed_from(s, self._domain, domains)
            ]
            self._assignment_key = None
        key = self._make_key(hosts, domains)
        if key != self._assignment_key:
            self._assignment_key = key
            self._assignment = self._compute_assignment(hosts)
        return self._assignment

    def _make_key(
        self, hosts: Mapping[str, Sequence[str]], domains: list[str]
    ) -> list[list[str]]:
        """Return the hosts on which the assignment depends, by failure domain."""
        is_independent = len(domains) >= PROBER_COUNT + FALLBACK_PROBER_COUNT
        relevant = [self._domain] if is_independent else domains
        return [sorted(hosts.get(domain, ())) for domain in relevant]

    def _compute_assignment(
        self, hosts: Mapping[str, Sequence[str]]
    ) -> dict[str, bool]:
        assignment = {}
        for server in self._domain_servers:
            chosen = choose_probers(server, hosts, only_domain=self._domain)
            if self._host in chosen:
                assignment[server] = self._host in chosen[:PROBER_COUNT]
        return assignment


def _is_probed_from(server: str, domain: str, domains: Sequence[str]) -> bool:
    """Return whether a server is probed from a failure domain."""
    slots = PROBER_COUNT + FALLBACK_PROBER_COUNT
    if len(domains) <= slots:
        return True
    return domain in rank_candidates(server, domains)[:slots]
