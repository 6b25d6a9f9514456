"""Host lists, and the witnesses of a key under a list."""

from typing import NamedTuple

from oleanderpier.claims.limits import WITNESS_COUNT
from oleanderpier.claims.messages import ListedHost
from oleanderpier.configuration import HostsDocument
from oleanderpier.utils import rank_candidates

__all__ = [
    "HostList",
    "WitnessSet",
    "choose_witnesses",
    "count_majority",
    "read_host_list",
]


class HostList(NamedTuple):
    """One version of the published list of entry hosts.

    Attributes:
        version: The version of the ``hosts`` document; rises by one each time.
        hosts: The hosts, in the order of the document.
    """

    version: int
    hosts: tuple[ListedHost, ...]

    @property
    def names(self) -> list[str]:
        """Names of the hosts, in the order of the list."""
        return [host.name for host in self.hosts]


class WitnessSet(NamedTuple):
    """The witnesses of one key under one version of the list.

    Attributes:
        version: The list's version.
        hosts: Names of the witnesses, the first choice first.
    """

    version: int
    hosts: tuple[str, ...]


def count_majority(size: int) -> int:
    """Return the size of the smallest majority of a set.

    Examples:
        >>> count_majority(5), count_majority(8)
        (3, 5)
    """
    return size // 2 + 1


def read_host_list(document: HostsDocument) -> HostList:
    """Return the part of a ``hosts`` document that determines the witnesses."""
    hosts = document["hosts"]
    listed = (ListedHost(host["name"], host["failure_domain"]) for host in hosts)
    return HostList(document["version"], tuple(listed))


def choose_witnesses(key: bytes, host_list: HostList) -> WitnessSet:
    """Return the witnesses of a key, spread evenly over failure domains.

    The choice depends on nothing but the arguments, so every host that has the
    same version of the list makes the same one.

    Args:
        key: The key's 16 bytes.
        host_list: The list to choose from.

    Returns:
        ``WITNESS_COUNT`` hosts, or all hosts if the list has fewer.
    """
    key_text = key.hex()
    domains: dict[str, list[str]] = {}
    for host in host_list.hosts:
        domains.setdefault(host.failure_domain, []).append(host.name)
    best = rank_candidates(key_text, domains)[:WITNESS_COUNT]
    ranked = [rank_candidates(key_text, domains[domain]) for domain in best]
    chosen = [
        names[place]
        for place in range(WITNESS_COUNT)
        for names in ranked
        if place < len(names)
    ]
    return WitnessSet(host_list.version, tuple(chosen[:WITNESS_COUNT]))
