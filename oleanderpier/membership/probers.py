"""Which hosts probe which backend server."""

from collections.abc import Mapping, Sequence

from oleanderpier.utils import rank_candidates

__all__ = ["PROBERS", "ProbeDuties", "choose_probers"]

PROBERS = 2
FALLBACK_PROBERS = 1


def choose_probers(
    server: str, hosts: Mapping[str, Sequence[str]], inside: str | None = None
) -> list[str]:
    """Return the hosts that probe a backend server, and then the fallback.

    They are in different failure domains as far as there are several. Domains
    are ranked first and then the hosts of the domain, so that the choice
    takes few hashes in a large fleet.

    Args:
        server: The backend server's name.
        hosts: The hosts that are alive, by failure domain.
        inside: Only this domain's hosts are wanted: those of others may be
            stood for by an empty name.

    Examples:
        >>> len(choose_probers("engine-1", {"a": ["h1", "h4"], "b": ["h2"]}))
        3
    """
    domains = rank_candidates(server, [name for name in hosts if hosts[name]])
    if not domains:
        return []
    chosen: list[str] = []
    for slot in range(PROBERS + FALLBACK_PROBERS):
        domain = domains[slot % len(domains)]
        if inside not in (None, domain) and len(domains) > slot:
            chosen.append("")
            continue
        left = [host for host in hosts[domain] if host not in chosen]
        chosen += rank_candidates(server, left)[:1]
    return chosen


class ProbeDuties:
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
        self._near: list[str] = []
        self._near_key: tuple[list[str], list[str]] | None = None
        self._key: object = None
        self._duties: dict[str, bool] = {}

    def find(
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
        if (servers, domains) != self._near_key:
            self._near_key = (list(servers), domains)
            self._near = [s for s in servers if _is_near(s, self._domain, domains)]
            self._key = None
        key = self._choose_key(hosts, domains)
        if key != self._key:
            self._key = key
            self._duties = self._work_out(hosts)
        return self._duties

    def _choose_key(
        self, hosts: Mapping[str, Sequence[str]], domains: list[str]
    ) -> list[list[str]]:
        """Return the hosts on which the duties depend."""
        alone = len(domains) >= PROBERS + FALLBACK_PROBERS
        relevant = [self._domain] if alone else domains
        return [sorted(hosts.get(domain, ())) for domain in relevant]

    def _work_out(self, hosts: Mapping[str, Sequence[str]]) -> dict[str, bool]:
        duties = {}
        for server in self._near:
            chosen = choose_probers(server, hosts, inside=self._domain)
            if self._host in chosen:
                duties[server] = self._host in chosen[:PROBERS]
        return duties


def _is_near(server: str, domain: str, domains: Sequence[str]) -> bool:
    """Return whether a domain is one of those that probe a backend server."""
    slots = PROBERS + FALLBACK_PROBERS
    if len(domains) <= slots:
        return True
    return domain in rank_candidates(server, domains)[:slots]
