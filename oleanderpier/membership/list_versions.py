"""Which hosts are known to have which hosts list, and since when."""

from typing import TYPE_CHECKING, NamedTuple

from oleanderpier.membership.messages import VersionBitmap
from oleanderpier.membership.update_queue import compute_transmit_limit
from oleanderpier.utils import Timers

if TYPE_CHECKING:
    from oleanderpier.configuration.documents import PublishedDocument

__all__ = ["ListVersions"]

# Newest hosts lists that are kept, and newest lists kept for each host.
MAX_LISTS_KEPT = 8
RESTART_GRACE_S = 60.0
"""How long after a host's restart only its own messages show which list it has.

Other hosts may still send bitmaps from before the restart. In seconds.
"""


class HeldList(NamedTuple):
    """A hosts list that a host is known to have.

    Attributes:
        version: Version of the list.
        digest: Digest of the list.
        since_s: When this host first knew of it, in seconds since 1970.
    """

    version: int
    digest: str
    since_s: float


class ListHolders:
    """The hosts that have one hosts list, as a bitmap over its entries.

    Args:
        published: The ``hosts`` document.

    Attributes:
        version: Version of the list.
        digest: Digest of the list.
        hosts: Names of the listed hosts, in the order of the list.
        indices: Index of each listed host in ``hosts``.
        bitmap: Integer whose bit i is set if host i has the list.
        transmit_limit: How often each change of the bitmap is sent.
    """

    def __init__(self, published: "PublishedDocument"):
        self.version = published.version
        self.digest = published.digest
        self.hosts = [entry["name"] for entry in published.body["hosts"]]
        self.indices = {host: index for index, host in enumerate(self.hosts)}
        self.bitmap = 0
        self.transmit_limit = compute_transmit_limit(len(self.hosts))


class ListVersions:
    """Collects evidence of which host has which hosts list.

    The evidence is exchanged as a bitmap with one bit for each listed host.
    Bitmaps are merged by OR, so that a change of the list adds a few hundred
    bytes to a ping in a fleet of two thousand hosts. A restarted host may have
    an older list than before its restart. Its bits for lists that were known
    at that time are therefore accepted only from the host itself.

    Args:
        own_host: This host's name.
        timers: The timer service.
    """

    def __init__(self, own_host: str, timers: Timers) -> None:
        self._own_host = own_host
        self._timers = timers
        self._lists: list[ListHolders] = []
        self._held_lists: dict[str, list[HeldList]] = {}
        # By restarted host: the newest list version then known, and the end of
        # the grace period on the monotonic clock.
        self._restarts: dict[str, tuple[int, float]] = {}
        self._transmits_left = 0

    def apply_list(self, published: "PublishedDocument") -> None:
        """Record that this host has a new hosts list."""
        self._lists.append(ListHolders(published))
        del self._lists[:-MAX_LISTS_KEPT]
        self.record_version(self._own_host, published.version, published.digest)

    def record_version(self, host: str, version: int, digest: str) -> None:
        """Record a list that a host itself has announced; version 0 is no list."""
        if version == 0:
            return
        self._append_held_list(host, version, digest)
        for known in self._lists:
            if (known.version, known.digest) == (version, digest):
                self._set_bit(known, host)

    def record_restart(self, host: str) -> None:
        """Discard what is known of a host's lists, since its process restarted."""
        self._held_lists.pop(host, None)
        newest = self._lists[-1].version if self._lists else 0
        self._restarts[host] = (newest, self._timers.now() + RESTART_GRACE_S)
        for known in self._lists:
            if host in known.indices:
                known.bitmap &= ~(1 << known.indices[host])

    def merge_bitmap(self, sender: str, received: VersionBitmap) -> None:
        """Merge the evidence that another host has collected."""
        for known in self._lists:
            if (known.version, known.digest) == (received.version, received.digest):
                self._merge_bits(
                    known, sender, int.from_bytes(received.bitmap, "little")
                )

    def pop_bitmap(self) -> VersionBitmap | None:
        """Return the bitmap of the newest list and count a transmission of it.

        None if there is no list or no transmission is left.
        """
        if not self._lists or self._transmits_left == 0:
            return None
        self._transmits_left -= 1
        newest = self._lists[-1]
        size = (len(newest.hosts) + 7) // 8
        bitmap = newest.bitmap.to_bytes(size, "little")
        return VersionBitmap(newest.version, newest.digest, bitmap)

    def find_held_since(self, host: str, list_version: int) -> float | None:
        """Return since when a host has a list or a newer one.

        Returns:
            Seconds since 1970; None if it is not known to have the list.
        """
        digest = self._find_digest(list_version)
        for held in self._held_lists.get(host, ()):
            newer = held.version > list_version
            same = held.version == list_version
            if newer or (same and held.digest == digest):
                return held.since_s
        return None

    def _find_digest(self, version: int) -> str | None:
        for known in reversed(self._lists):
            if known.version == version:
                return known.digest
        return None

    def _merge_bits(self, known: ListHolders, sender: str, bitmap: int) -> None:
        bitmap &= (1 << len(known.hosts)) - 1
        if known.bitmap & ~bitmap:
            # The sender lacks bits that are set here.
            self._transmits_left = max(self._transmits_left, 1)
        added = bitmap & ~known.bitmap
        while added:
            lowest = added & -added
            added ^= lowest
            host = known.hosts[lowest.bit_length() - 1]
            if host == sender or not self._has_restarted(host, known.version):
                self._append_held_list(host, known.version, known.digest)
                self._set_bit(known, host)

    def _has_restarted(self, host: str, version: int) -> bool:
        """Return whether a list's bit of a host may predate the host's restart."""
        newest, until_s = self._restarts.get(host, (0, 0.0))
        return version <= newest or self._timers.now() < until_s

    def _set_bit(self, known: ListHolders, host: str) -> None:
        if host not in known.indices:
            return
        known.bitmap |= 1 << known.indices[host]
        self._transmits_left = known.transmit_limit

    def _append_held_list(self, host: str, version: int, digest: str) -> None:
        held_lists = self._held_lists.setdefault(host, [])
        if not held_lists or held_lists[-1][:2] < (version, digest):
            held_lists.append(HeldList(version, digest, self._timers.wall()))
            del held_lists[:-MAX_LISTS_KEPT]
