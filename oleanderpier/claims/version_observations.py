"""Which process of a host has which host list, and from when until when."""

from bisect import bisect_left
from collections.abc import Iterable

__all__ = ["VersionObservations"]


class _ProcessObservations:
    """What one process of a host has said of the newest list it knows."""

    def __init__(self, incarnation: str):
        self.incarnation = incarnation
        self.first_seen_s: dict[int, float] = {}
        self.last_alive_s = 0.0


class VersionObservations:
    """Remembers when processes said which list is the newest they know.

    A process that is replaced remembers nothing, so what its predecessor said
    counts only for times at which the predecessor is known to have lived. A
    message may arrive long after its sender died; an echo of this host's own
    clock shows that the sender lived at that time.

    Examples:
        >>> versions = VersionObservations()
        >>> versions.record_version("host-1", "a", 7, 100.0)
        >>> versions.record_alive("host-1", "a", 104.0)
        >>> versions.record_version("host-2", "a", 6, 103.0)
        >>> versions.record_alive("host-2", "a", 103.5)
        >>> versions.record_version("host-3", "a", 7, 101.0)
        >>> versions.find_common_instant(["host-1", "host-2", "host-3"], 6)
        (103.0, ['host-1', 'host-2'])
    """

    def __init__(self) -> None:
        self._processes: dict[str, _ProcessObservations] = {}

    def record_version(
        self, host: str, incarnation: str, version: int, at_s: float
    ) -> None:
        """Note that a process said its newest version.

        Args:
            host: The host's name.
            incarnation: Which process of it.
            version: The newest version that it has heard of.
            at_s: Wall clock of whoever heard it, in seconds.
        """
        evidence = self._processes.get(host)
        if evidence is None or evidence.incarnation != incarnation:
            evidence = self._processes[host] = _ProcessObservations(incarnation)
        evidence.first_seen_s.setdefault(version, at_s)

    def record_alive(self, host: str, incarnation: str, at_s: float) -> None:
        """Note that a process lived at a time, if it is the one last heard."""
        evidence = self._processes.get(host)
        if evidence is not None and evidence.incarnation == incarnation:
            evidence.last_alive_s = max(evidence.last_alive_s, at_s)

    def find_common_instant(
        self, hosts: Iterable[str], version: int
    ) -> tuple[float, list[str]]:
        """Return when most hosts had a version, or a newer one, at once.

        Returns:
            The instant, by the wall clock, and the hosts; none if no host is
            known to have had it.
        """
        spans = [
            (span, host)
            for host in hosts
            if (span := self._find_interval(host, version))
        ]
        ends = sorted(alive_s for (_, alive_s), _ in spans)
        starts = sorted(since_s for (since_s, _), _ in spans)
        counts = [
            (index + 1 - bisect_left(ends, at_s), at_s)
            for index, at_s in enumerate(starts)
        ]
        at_s = max(counts, default=(0, 0.0))[1]
        return at_s, [host for span, host in spans if span[0] <= at_s <= span[1]]

    def drop_below(self, version: int) -> None:
        """Forget when processes had versions older than this one."""
        for evidence in self._processes.values():
            for noted in [noted for noted in evidence.first_seen_s if noted < version]:
                del evidence.first_seen_s[noted]

    def _find_interval(self, host: str, version: int) -> tuple[float, float] | None:
        """Return from when until when a host's process had a version."""
        evidence = self._processes.get(host)
        if evidence is None:
            return None
        times = evidence.first_seen_s.items()
        starts = (since for noted, since in times if noted >= version)
        since_s = min(starts, default=evidence.last_alive_s + 1.0)
        return (
            (since_s, evidence.last_alive_s)
            if since_s <= evidence.last_alive_s
            else None
        )
