"""Tells other hosts what has changed of backend servers."""

from oleanderpier.membership.members import Members
from oleanderpier.membership.server_messages import ServerRecord, ServerRecords
from oleanderpier.membership.update_queue import UpdateQueue
from oleanderpier.utils import Outbox, Timers

__all__ = ["ServerGossip"]

# Hosts that are told in one round, and rounds in which a fact is told.
FAN_OUT_COUNT = 4
TRANSMIT_LIMIT_COUNT = 3
# Between two rounds.
FLUSH_INTERVAL_S = 0.25
# What fits a message of one packet.
MAX_RECORDS_PER_MESSAGE = 16
# For so long a change is repeated to the hosts that are pinged anyway.
RECENT_RETENTION_S = 10.0


class ServerGossip:
    """Facts of backend servers on their way to other hosts.

    Args:
        members: The other hosts.
        timers: The timer service.
        outbox: Where messages go.
    """

    def __init__(self, members: Members, timers: Timers, outbox: Outbox) -> None:
        self._members = members
        self._timers = timers
        self._outbox = outbox
        self._queue: UpdateQueue[ServerRecord] = UpdateQueue()
        self._flush_due = False
        self._recent: dict[str, tuple[float, ServerRecord]] = {}

    def enqueue(self, fact: ServerRecord) -> None:
        """Tell a few random hosts at once, and go on with others."""
        self._recent.pop(fact.server, None)
        self._recent[fact.server] = (self._timers.now(), fact)
        self._queue.add(fact.server, fact)
        if not self._flush_due:
            self._flush_due = True
            self._timers.call_later(0.0, self._flush)

    def discard(self, server: str) -> None:
        """Repeat nothing more of a backend server."""
        self._recent.pop(server, None)

    def send_recent(self, host: str) -> None:
        """Tell a host what has changed lately."""
        limit_s = self._timers.now() - RECENT_RETENTION_S
        self._recent = {
            server: (told_s, fact)
            for server, (told_s, fact) in self._recent.items()
            if told_s >= limit_s
        }
        facts = [fact for _, fact in self._recent.values()]
        if facts:
            self._outbox.send(host, ServerRecords(facts[-MAX_RECORDS_PER_MESSAGE:]))

    def _flush(self) -> None:
        """Tell a few random hosts, and again until all was told enough."""
        facts = self._queue.take(MAX_RECORDS_PER_MESSAGE, TRANSMIT_LIMIT_COUNT)
        self._flush_due = bool(facts)
        if not facts:
            return
        for host in self._members.choose_hosts(FAN_OUT_COUNT):
            self._outbox.send(host, ServerRecords(facts))
        self._timers.call_later(FLUSH_INTERVAL_S, self._flush)
