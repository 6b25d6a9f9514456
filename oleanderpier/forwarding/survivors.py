"""Tells whether a failure domain goes on after servers of it have crashed."""

from collections.abc import Collection

from oleanderpier.forwarding.activity import ServerActivity
from oleanderpier.routing import Roster

__all__ = ["Survivors"]


class Survivors:
    """The servers that go on while others of their failure domain crash.

    Args:
        roster: The registered servers.
        activity: When each server last sent something.
    """

    def __init__(self, roster: Roster, activity: ServerActivity) -> None:
        self._roster = roster
        self._activity = activity

    def has_survivor(
        self, identity: str, crashed: Collection[str], at_s: float
    ) -> bool:
        """Return whether a server of a crashed one's failure domain goes on.

        Args:
            identity: The id of the crashed server.
            crashed: The ids of all servers that crashed at that time.
            at_s: Data from before do not count, nor do servers that registered later.
        """
        entry = self._roster.get_entry(identity)
        return entry is not None and any(
            other.identity not in crashed
            and other.failure_domain == entry.failure_domain
            and self._roster.get_last_change(other.identity)[1] < at_s
            and self._activity.has_sent_data_since(other.identity, at_s)
            for other in self._roster.list_entries()
        )
