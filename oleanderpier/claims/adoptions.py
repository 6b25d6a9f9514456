"""Which process of a host has which host list, and from when until when."""

from collections.abc import Iterable

__all__ = ["Adoptions"]


class _Evidence:
    """What one process of a host has said of the newest list it knows."""

    def __init__(self, incarnation: str):
        self.incarnation = incarnation
        self.since_s: dict[int, float] = {}
        self.last_s = 0.0


class Adoptions:
    """Remembers when processes said which list is the newest they know.

    A process that is replaced remembers nothing, so what its predecessor said
    counts only for times at which the predecessor is known to have lived.

    Examples:
        >>> adoptions = Adoptions()
        >>> adoptions.hear("host-1", "a", 7, 100.0)
        >>> adoptions.hear("host-1", "a", 7, 104.0)
        >>> adoptions.find_holders(["host-1", "host-2"], 6, 102.0)
        ['host-1']
        >>> adoptions.find_holders(["host-1"], 6, 105.0)
        []
    """

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}

    def hear(self, host: str, incarnation: str, version: int, at_s: float) -> None:
        """Note that a process said its newest version.

        Args:
            host: The host's name.
            incarnation: Which process of it.
            version: The newest version that it has heard of.
            at_s: Wall clock of whoever heard it, in seconds.
        """
        evidence = self._evidence.get(host)
        if evidence is None or evidence.incarnation != incarnation:
            evidence = self._evidence[host] = _Evidence(incarnation)
        evidence.since_s.setdefault(version, at_s)
        evidence.last_s = at_s

    def find_holders(
        self, hosts: Iterable[str], version: int, at_s: float
    ) -> list[str]:
        """Return the hosts that had a version, or a newer one, at a time."""
        return [host for host in hosts if self._held(host, version, at_s)]

    def drop_below(self, version: int) -> None:
        """Forget when processes had versions older than this one."""
        for evidence in self._evidence.values():
            for noted in [noted for noted in evidence.since_s if noted < version]:
                del evidence.since_s[noted]

    def _held(self, host: str, version: int, at_s: float) -> bool:
        evidence = self._evidence.get(host)
        if evidence is None or evidence.last_s < at_s:
            return False
        times = evidence.since_s.items()
        return any(noted >= version and since <= at_s for noted, since in times)
