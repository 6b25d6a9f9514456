"""Which hosts probe which backend server."""

from collections.abc import Mapping, Sequence

from oleanderpier.utils import rank_candidates

__all__ = ["PROBER_COUNT", "ProbeAssignment", "choose_probers"]

PROBER_COUNT = 2
FALLBACK_PROBER_COUNT = 1


def choose_probers(
    server: str, hosts: Mapping[str, Sequence[str]], only_domain: str | None = None
) -> list[str]:
    """Return the hosts that probe a backend server, and then the fallback.

    They are in different failure domains as far as there are several. Domains
    are ranked first and then the hosts of the domain, so that the choice
    takes few hashes in a large fleet.

    Args:
        server: The backend server's name.
        hosts: The hosts that are alive, by failure domain.
        only_domain: Only this domain's hosts are wanted: those of others may be
            stood for by an empty name.

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
    """The backend servers that one host has to probe.

    The ranking of failure domains is kept while the domains are the same,
    so that a change of hosts costs a ranking of one domain's hosts.

    Args:
        host: The host.
        domain: Its failure domain.
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
        """Return what to probe, worked out anew only where that is needed.

        Args:
            servers: All backend servers.
            hosts: The hosts that are alive, by failure domain.

        Returns:
            For each backend server whether the host always probes it (True)
            or is the fallback (False).
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
        """Return the hosts on which the duties depend."""
        alone = len(domains) >= PROBER_COUNT + FALLBACK_PROBER_COUNT
        relevant = [self._domain] if alone else domains
        return [sorted(hosts.get(domain, ())) for domain in relevant]

    def _compute_assignment(
        self, hosts: Mapping[str, Sequence[str]]
    ) -> dict[str, bool]:
        duties = {}
        for server in self._domain_servers:
            chosen = choose_probers(server, hosts, only_domain=self._domain)
            if self._host in chosen:
                duties[server] = self._host in chosen[:PROBER_COUNT]
        return duties


def _is_probed_from(server: str, domain: str, domains: Sequence[str]) -> bool:
    """Return whether a domain is one of those that probe a backend server."""
    slots = PROBER_COUNT + FALLBACK_PROBER_COUNT
    if len(domains) <= slots:
        return True
    return domain in rank_candidates(server, domains)[:slots]
