"""Dissemination of changed records of backend servers."""

from oleanderpier.membership.members import Members
from oleanderpier.membership.server_messages import ServerRecord, ServerRecords
from oleanderpier.membership.update_queue import UpdateQueue
from oleanderpier.utils import Outbox, Timers

__all__ = ["ServerGossip"]

# Random hosts that get a message in each round, and rounds in which a record is
# sent.
FAN_OUT_COUNT = 4
TRANSMIT_LIMIT_COUNT = 3
# Interval between two rounds.
FLUSH_INTERVAL_S = 0.25
# Records that fit a message of one packet.
MAX_RECORDS_PER_MESSAGE = 16
# How long a changed record is also sent along with pings.
RECENT_RETENTION_S = 10.0


class ServerGossip:
    """Queued updates of backend servers' records.

    A changed record is sent to random hosts in several rounds, and for a while
    to each host that this host pings.

    Args:
        members: The members of the fleet.
        timers: The timer service.
        outbox: Sends messages to other hosts.
    """

    def __init__(self, members: Members, timers: Timers, outbox: Outbox) -> None:
        self._members = members
        self._timers = timers
        self._outbox = outbox
        self._queue: UpdateQueue[ServerRecord] = UpdateQueue()
        self._flush_due = False
        self._recent: dict[str, tuple[float, ServerRecord]] = {}

    def enqueue(self, record: ServerRecord) -> None:
        """Send a record to random hosts, now and in the following rounds."""
        self._recent.pop(record.server, None)
        self._recent[record.server] = (self._timers.now(), record)
        self._queue.add(record.server, record)
        if not self._flush_due:
            self._flush_due = True
            self._timers.call_later(0.0, self._flush)

    def discard(self, server: str) -> None:
        """Stop sending a server's record along with pings."""
        self._recent.pop(server, None)

    def send_recent(self, host: str) -> None:
        """Send a host the records that have changed recently."""
        limit_s = self._timers.now() - RECENT_RETENTION_S
        self._recent = {
            server: (changed_s, record)
            for server, (changed_s, record) in self._recent.items()
            if changed_s >= limit_s
        }
        records = [record for _, record in self._recent.values()]
        if records:
            self._outbox.send(host, ServerRecords(records[-MAX_RECORDS_PER_MESSAGE:]))

    def _flush(self) -> None:
        """Send queued records to random hosts, and schedule the next round."""
        records = self._queue.pop_updates(MAX_RECORDS_PER_MESSAGE, TRANSMIT_LIMIT_COUNT)
        self._flush_due = bool(records)
        if not records:
            return
        for host in self._members.choose_hosts(FAN_OUT_COUNT):
            self._outbox.send(host, ServerRecords(records))
        self._timers.call_later(FLUSH_INTERVAL_S, self._flush)
