"""Which hosts are known to have which hosts list, and since when."""

from typing import TYPE_CHECKING, NamedTuple

from oleanderpier.membership.messages import VersionBitmap
from oleanderpier.membership.update_queue import compute_transmit_limit
from oleanderpier.utils import Timers

if TYPE_CHECKING:
    from oleanderpier.configuration.documents import Published

__all__ = ["ListVersions"]

MAX_LISTS_KEPT = 8
RESTART_GRACE_S = 60.0
"""How long after a host's restart only its own word counts, in seconds."""


class HeldList(NamedTuple):
    """A list that a host has, and the wall time at which that was learnt."""

    version: int
    digest: str
    since_s: float


class ListHolders:
    """The hosts of one list that have it, as the bits of one integer."""

    def __init__(self, published: "Published"):
        self.version = published.version
        self.digest = published.digest
        self.hosts = [entry["name"] for entry in published.body["hosts"]]
        self.indices = {host: index for index, host in enumerate(self.hosts)}
        self.bitmap = 0
        self.transmit_limit = compute_transmit_limit(len(self.hosts))


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
        self._lists: list[ListHolders] = []
        self._held_lists: dict[str, list[HeldList]] = {}
        self._restarts: dict[str, tuple[int, float]] = {}
        self._transmits_left = 0

    def apply_list(self, published: "Published") -> None:
        """Note that this host has a new hosts list."""
        self._lists.append(ListHolders(published))
        del self._lists[:-MAX_LISTS_KEPT]
        self.record_version(self._own_host, published.version, published.digest)

    def record_version(self, host: str, version: int, digest: str) -> None:
        """Note a host's own word that it has a list."""
        if version == 0:
            return
        self._append_held_list(host, version, digest)
        for known in self._lists:
            if (known.version, known.digest) == (version, digest):
                self._set_bit(known, host)

    def record_restart(self, host: str) -> None:
        """Forget what a host had, for its process has started anew."""
        self._held_lists.pop(host, None)
        newest = self._lists[-1].version if self._lists else 0
        self._restarts[host] = (newest, self._timers.now() + RESTART_GRACE_S)
        for known in self._lists:
            if host in known.indices:
                known.bitmap &= ~(1 << known.indices[host])

    def merge_bitmap(self, sender: str, news: VersionBitmap) -> None:
        """Take in the evidence that another host has collected."""
        for known in self._lists:
            if (known.version, known.digest) == (news.version, news.digest):
                self._merge_bits_into(
                    known, sender, int.from_bytes(news.bitmap, "little")
                )

    def take_bitmap(self) -> VersionBitmap | None:
        """Return the evidence for the newest list while it is news."""
        if not self._lists or self._transmits_left == 0:
            return None
        self._transmits_left -= 1
        newest = self._lists[-1]
        size = (len(newest.hosts) + 7) // 8
        bits = newest.bitmap.to_bytes(size, "little")
        return VersionBitmap(newest.version, newest.digest, bits)

    def find_held_since(self, host: str, list_version: int) -> float | None:
        """Return the wall time since which a host has a list or a newer one."""
        digest = self._find_digest(list_version)
        for version_bits in self._held_lists.get(host, ()):
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

    def _merge_bits_into(self, known: ListHolders, sender: str, bits: int) -> None:
        bits &= (1 << len(known.hosts)) - 1
        if known.bitmap & ~bits:
            self._transmits_left = max(self._transmits_left, 1)
        news = bits & ~known.bitmap
        while news:
            lowest = news & -news
            news ^= lowest
            host = known.hosts[lowest.bit_length() - 1]
            if host == sender or not self._has_restarted(host, known.version):
                self._append_held_list(host, known.version, known.digest)
                self._set_bit(known, host)

    def _has_restarted(self, host: str, version: int) -> bool:
        newest, until_s = self._restarts.get(host, (0, 0.0))
        return version <= newest or self._timers.now() < until_s

    def _set_bit(self, known: ListHolders, host: str) -> None:
        if host not in known.indices:
            return
        known.bitmap |= 1 << known.indices[host]
        self._transmits_left = known.transmit_limit

    def _append_held_list(self, host: str, version: int, digest: str) -> None:
        list_versions = self._held_lists.setdefault(host, [])
        if not list_versions or list_versions[-1][:2] < (version, digest):
            list_versions.append(HeldList(version, digest, self._timers.wall()))
            del list_versions[:-MAX_LISTS_KEPT]
