"""Which list version each process of a host knew of, and over which time."""

from bisect import bisect_left
from collections.abc import Iterable

__all__ = ["VersionObservations"]


class _ProcessObservations:
    """What is known of the list versions of one process.

    Attributes:
        incarnation: The process.
        first_seen_s: When it first reported each version, in seconds since 1970.
        last_alive_s: The latest time at which it is known to have lived; or 0.
    """

    def __init__(self, incarnation: str):
        self.incarnation = incarnation
        self.first_seen_s: dict[int, float] = {}
        self.last_alive_s = 0.0


class VersionObservations:
    """Records at which times the processes of hosts knew of a list version.

    A restarted process remembers nothing, so a report of its predecessor is valid
    only up to the last time at which the predecessor is known to have lived. The
    arrival of a message does not show that, since a message can arrive long after
    its sender died. An echo of this host's own clock does: the sender lived when
    the clock had that value.

    Examples:
        >>> observations = VersionObservations()
        >>> observations.record_version("host-1", "a", 7, 100.0)
        >>> observations.record_alive("host-1", "a", 104.0)
        >>> observations.record_version("host-2", "a", 6, 103.0)
        >>> observations.record_alive("host-2", "a", 103.5)
        >>> observations.record_version("host-3", "a", 7, 101.0)
        >>> observations.find_common_instant(["host-1", "host-2", "host-3"], 6)
        (103.0, ['host-1', 'host-2'])
    """

    def __init__(self) -> None:
        self._processes: dict[str, _ProcessObservations] = {}

    def record_version(
        self, host: str, incarnation: str, version: int, at_s: float
    ) -> None:
        """Record that a process reported the newest version it knows of.

        Args:
            host: The host's name.
            incarnation: The host's process.
            version: The newest version that the process knows of.
            at_s: Wall clock of the host that received the report, in seconds
                since 1970.
        """
        process = self._processes.get(host)
        if process is None or process.incarnation != incarnation:
            process = self._processes[host] = _ProcessObservations(incarnation)
        process.first_seen_s.setdefault(version, at_s)

    def record_alive(self, host: str, incarnation: str, at_s: float) -> None:
        """Record that a process lived at a time, if it is the host's latest one."""
        process = self._processes.get(host)
        if process is not None and process.incarnation == incarnation:
            process.last_alive_s = max(process.last_alive_s, at_s)

    def find_common_instant(
        self, hosts: Iterable[str], version: int
    ) -> tuple[float, list[str]]:
        """Return the instant at which most hosts knew of a version or a newer one.

        Returns:
            The instant, in seconds since 1970 by the wall clock, and those hosts;
            0 and no hosts if none is known to have had the version.
        """
        intervals = [
            (interval, host)
            for host in hosts
            if (interval := self._find_interval(host, version))
        ]
        ends = sorted(end_s for (_, end_s), _ in intervals)
        starts = sorted(start_s for (start_s, _), _ in intervals)
        counts = [
            (index + 1 - bisect_left(ends, at_s), at_s)
            for index, at_s in enumerate(starts)
        ]
        at_s = max(counts, default=(0, 0.0))[1]
        return at_s, [
            host for interval, host in intervals if interval[0] <= at_s <= interval[1]
        ]

    def drop_below(self, version: int) -> None:
        """Forget the times at which processes had versions older than this one."""
        for process in self._processes.values():
            for older in [seen for seen in process.first_seen_s if seen < version]:
                del process.first_seen_s[older]

    def _find_interval(self, host: str, version: int) -> tuple[float, float] | None:
        """Return the known start and end of a host's time with a version."""
        process = self._processes.get(host)
        if process is None:
            return None
        times = process.first_seen_s.items()
        starts = (at_s for seen, at_s in times if seen >= version)
        start_s = min(starts, default=process.last_alive_s + 1.0)
        return (
            (start_s, process.last_alive_s) if start_s <= process.last_alive_s else None
        )
