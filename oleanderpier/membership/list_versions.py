"""Which hosts are known to have which hosts list, and since when."""

from typing import TYPE_CHECKING, NamedTuple

from oleanderpier.membership.messages import VersionBits
from oleanderpier.membership.rumours import count_tellings
from oleanderpier.utils import Timers

if TYPE_CHECKING:
    from oleanderpier.configuration.documents import PublishedDocument

__all__ = ["ListVersions"]

KEPT_LISTS = 8
RESTART_S = 60.0
"""How long after a host's restart only its own word counts, in seconds."""


class KnownVersion(NamedTuple):
    """A list that a host has, and the wall time at which that was learnt."""

    version: int
    digest: str
    since_s: float


class ListBits:
    """The hosts of one list that have it, as the bits of one integer."""

    def __init__(self, published: "PublishedDocument"):
        self.version = published.version
        self.digest = published.digest
        self.hosts = [entry["name"] for entry in published.body["hosts"]]
        self.indices = {host: index for index, host in enumerate(self.hosts)}
        self.bits = 0
        self.tellings = count_tellings(len(self.hosts))


class ListVersions:
    """Collects evidence of which host has which hosts list.

    The evidence travels as one bit a host, joined by OR, so that a change of
    the list costs a few hundred bytes a ping at two thousand hosts. A host
    that has restarted may have an older list than before: its bits of lists
    known at that time are taken only from itself.

    Args:
        own_host: This host's name.
        timers: The timer service.
    """

    def __init__(self, own_host: str, timers: Timers) -> None:
        self._own_host = own_host
        self._timers = timers
        self._lists: list[ListBits] = []
        self._known: dict[str, list[KnownVersion]] = {}
        self._restarts: dict[str, tuple[int, float]] = {}
        self._tellings_left = 0

    def adopt(self, published: "PublishedDocument") -> None:
        """Note that this host has a new hosts list."""
        self._lists.append(ListBits(published))
        del self._lists[:-KEPT_LISTS]
        self.note(self._own_host, published.version, published.digest)

    def note(self, host: str, version: int, digest: str) -> None:
        """Note a host's own word that it has a list."""
        if version == 0:
            return
        self._record(host, version, digest)
        for known in self._lists:
            if (known.version, known.digest) == (version, digest):
                self._set_bit(known, host)

    def restart(self, host: str) -> None:
        """Forget what a host had, for its process has started anew."""
        self._known.pop(host, None)
        newest = self._lists[-1].version if self._lists else 0
        self._restarts[host] = (newest, self._timers.now() + RESTART_S)
        for known in self._lists:
            if host in known.indices:
                known.bits &= ~(1 << known.indices[host])

    def merge(self, sender: str, news: VersionBits) -> None:
        """Take in the evidence that another host has collected."""
        for known in self._lists:
            if (known.version, known.digest) == (news.version, news.digest):
                self._merge_bits(known, sender, int.from_bytes(news.bits, "little"))

    def export(self) -> VersionBits | None:
        """Return the evidence for the newest list while it is news."""
        if not self._lists or self._tellings_left == 0:
            return None
        self._tellings_left -= 1
        newest = self._lists[-1]
        size = (len(newest.hosts) + 7) // 8
        bits = newest.bits.to_bytes(size, "little")
        return VersionBits(newest.version, newest.digest, bits)

    def find(self, host: str, list_version: int) -> float | None:
        """Return the wall time since which a host has a list or a newer one."""
        digest = self._find_digest(list_version)
        for version_bits in self._known.get(host, ()):
            newer = version_bits.version > list_version
            same = version_bits.version == list_version
            if newer or (same and version_bits.digest == digest):
                return version_bits.since_s
        return None

    def _find_digest(self, version: int) -> str | None:
        for known in reversed(self._lists):
            if known.version == version:
                return known.digest
        return None

    def _merge_bits(self, known: ListBits, sender: str, bits: int) -> None:
        bits &= (1 << len(known.hosts)) - 1
        if known.bits & ~bits:
            self._tellings_left = max(self._tellings_left, 1)
        news = bits & ~known.bits
        while news:
            lowest = news & -news
            news ^= lowest
            host = known.hosts[lowest.bit_length() - 1]
            if host == sender or not self._has_restarted(host, known.version):
                self._record(host, known.version, known.digest)
                self._set_bit(known, host)

    def _has_restarted(self, host: str, version: int) -> bool:
        newest, until_s = self._restarts.get(host, (0, 0.0))
        return version <= newest or self._timers.now() < until_s

    def _set_bit(self, known: ListBits, host: str) -> None:
        if host not in known.indices:
            return
        known.bits |= 1 << known.indices[host]
        self._tellings_left = known.tellings

    def _record(self, host: str, version: int, digest: str) -> None:
        list_versions = self._known.setdefault(host, [])
        if not list_versions or list_versions[-1][:2] < (version, digest):
            list_versions.append(KnownVersion(version, digest, self._timers.wall()))
            del list_versions[:-KEPT_LISTS]
