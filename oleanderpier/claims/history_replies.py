"""What other hosts said of the lists they know, and what follows from it."""

from collections.abc import Iterable

from oleanderpier.claims.limits import MAX_BOOTSTRAP_WAIT_S, MIN_BOOTSTRAP_WAIT_S
from oleanderpier.claims.messages import HistoryReply
from oleanderpier.claims.witness_sets import HostList, count_majority

__all__ = ["HistoryReplies"]


class HistoryReplies:
    """The last answer of each host that this process asked.

    Args:
        host: This host's name.
    """

    def __init__(self, host: str):
        self._host = host
        self._replies: dict[str, HistoryReply] = {}

    def record_reply(self, sender: str, tell: HistoryReply) -> None:
        """Keep a host's answer."""
        self._replies[sender] = tell

    def drop_others(self, names: Iterable[str]) -> None:
        """Forget the answers of all other hosts."""
        kept = set(names) & set(self._replies)
        self._replies = {host: self._replies[host] for host in kept}

    def is_newest(self, newest: HostList, waited_s: float) -> bool:
        """Whether enough hosts know of no newer list than this one.

        Those that answer from memory must leave fewer than a majority who
        may have had a newer list and forgotten it, this host among them.
        Where too few remember anything, a majority of any answers will do
        after a while.

        Args:
            newest: The newest list that any of them knows of.
            waited_s: For how long this host has known it, in seconds.
        """
        told = self._find_replies(name for name in newest.names if name != self._host)
        answered = len(told) + (self._host in newest.names)
        size = len(newest.hosts)
        remembering = sum(tell.established_version > 0 for tell in told)
        if not size or answered < count_majority(size):
            return False
        if remembering > size - count_majority(size):
            return True
        whole = answered == size or not remembering
        return waited_s >= (MIN_BOOTSTRAP_WAIT_S if whole else MAX_BOOTSTRAP_WAIT_S)

    def find_floor(self) -> int:
        """Return the oldest version in use, by those that remember; or 0."""
        tells = self._replies.values()
        return max(
            (tell.floor for tell in tells if tell.established_version), default=0
        )

    def find_oldest_stored(self, versions: Iterable[int]) -> int:
        """Return the oldest of some versions and of all that hosts know."""
        listed = (v for tell in self._replies.values() for v in tell.stored_versions)
        return min([*versions, *listed])

    def is_unused(self, version: int, below: HostList, following: int) -> bool:
        """Whether a majority went past a version without hearing of it.

        Args:
            version: The version whose list nobody has.
            below: The next older list that is known.
            following: The next newer version that is known.
        """
        unaware = sum(
            0 < tell.established_version <= below.version
            and tell.floor <= version
            and max(tell.seen_versions) >= following
            and version not in tell.seen_versions
            for tell in self._find_replies(below.names)
        )
        return unaware >= count_majority(len(below.hosts))

    def _find_replies(self, names: Iterable[str]) -> list[HistoryReply]:
        return [self._replies[name] for name in names if name in self._replies]
