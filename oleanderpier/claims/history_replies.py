"""Replies of other hosts about the lists they know, and what they prove."""

from collections.abc import Iterable

from oleanderpier.claims.limits import MAX_BOOTSTRAP_WAIT_S, MIN_BOOTSTRAP_WAIT_S
from oleanderpier.claims.messages import HistoryReply
from oleanderpier.claims.witness_sets import HostList, count_majority

__all__ = ["HistoryReplies"]


class HistoryReplies:
    """Keeps the last ``HistoryReply`` of each host that this process asked.

    Args:
        host: This host's name.
    """

    def __init__(self, host: str):
        self._host = host
        self._replies: dict[str, HistoryReply] = {}

    def record_reply(self, sender: str, reply: HistoryReply) -> None:
        """Keep a host's reply in place of its earlier one."""
        self._replies[sender] = reply

    def drop_others(self, names: Iterable[str]) -> None:
        """Forget the replies of all hosts but the named ones."""
        kept = set(names) & set(self._replies)
        self._replies = {host: self._replies[host] for host in kept}

    def is_newest(self, newest: HostList, waited_s: float) -> bool:
        """Whether enough hosts of a list confirm that no newer one is in use.

        A restarted process may have forgotten a newer list. So the hosts whose
        processes have been ready before must be so many that the others, this
        host among them, are no majority. If too few have been ready, a majority
        of any replies confirms the list after a wait.

        Args:
            newest: The newest list that any of the hosts knows of.
            waited_s: Time since this host stored it, in seconds.
        """
        replies = self._find_replies(
            name for name in newest.names if name != self._host
        )
        reply_count = len(replies) + (self._host in newest.names)
        size = len(newest.hosts)
        established_count = sum(reply.established_version > 0 for reply in replies)
        if not size or reply_count < count_majority(size):
            return False
        if established_count > size - count_majority(size):
            return True
        fast = reply_count == size or not established_count
        return waited_s >= (MIN_BOOTSTRAP_WAIT_S if fast else MAX_BOOTSTRAP_WAIT_S)

    def find_floor(self) -> int:
        """Return the oldest version in use, as hosts that were ready know it.

        Returns:
            The highest floor that such a host reported; 0 if none replied.
        """
        replies = self._replies.values()
        return max(
            (reply.floor for reply in replies if reply.established_version), default=0
        )

    def find_oldest_stored(self, versions: Iterable[int]) -> int:
        """Return the oldest among some versions and all that other hosts have."""
        stored = (v for reply in self._replies.values() for v in reply.stored_versions)
        return min([*versions, *stored])

    def is_unused(self, version: int, below: HostList, following: int) -> bool:
        """Whether a majority skipped a version, so that no claim under it can win.

        The hosts of the next older list that is known must have gone from this
        list or an older one to a newer version without learning of this one.

        Args:
            version: The version whose list is missing.
            below: The next older list that is known.
            following: The next newer version that is known.
        """
        skipped_count = sum(
            0 < reply.established_version <= below.version
            and reply.floor <= version
            and max(reply.seen_versions) >= following
            and version not in reply.seen_versions
            for reply in self._find_replies(below.names)
        )
        return skipped_count >= count_majority(len(below.hosts))

    def _find_replies(self, names: Iterable[str]) -> list[HistoryReply]:
        return [self._replies[name] for name in names if name in self._replies]
