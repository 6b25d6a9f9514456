"""Published host lists and the witnesses that they give each key."""

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
    """One version of the list of entry hosts."""

    version: int
    hosts: tuple[ListedHost, ...]

    @property
    def names(self) -> list[str]:
        """Names of the hosts, in the order of the list."""
        return [host.name for host in self.hosts]


class WitnessSet(NamedTuple):
    """The witnesses of one key under one version of the list."""

    version: int
    hosts: tuple[str, ...]


def count_majority(size: int) -> int:
    """Return how many of a set are more than its half.

    Examples:
        >>> count_majority(5), count_majority(8)
        (3, 5)
    """
    return size // 2 + 1


def read_host_list(document: HostsDocument) -> HostList:
    """Return the part of a ``hosts`` document that claims depend on."""
    hosts = document["hosts"]
    listed = (ListedHost(host["name"], host["failure_domain"]) for host in hosts)
    return HostList(document["version"], tuple(listed))


def choose_witnesses(key: bytes, host_list: HostList) -> WitnessSet:
    """Return a key's witnesses, spread over failure domains.

    Every host that has the same version of the list chooses alike.

    Args:
        key: The key's 16 bytes.
        host_list: The list to choose from.

    Returns:
        Seven hosts, or all if the list has fewer.
    """
    text = key.hex()
    domains: dict[str, list[str]] = {}
    for host in host_list.hosts:
        domains.setdefault(host.failure_domain, []).append(host.name)
    best = rank_candidates(text, domains)[:WITNESS_COUNT]
    ranked = [rank_candidates(text, domains[domain]) for domain in best]
    chosen = [
        names[turn]
        for turn in range(WITNESS_COUNT)
        for names in ranked
        if turn < len(names)
    ]
    return WitnessSet(host_list.version, tuple(chosen[:WITNESS_COUNT]))
