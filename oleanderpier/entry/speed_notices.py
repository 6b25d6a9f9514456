"""Notices between hosts on backend servers that have become slow, or no longer are.

The speed of a machine changes about every 0.6 s, and a host is told of it only by the
responses that it gets itself.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from oleanderpier.entry.metrics import EntryMetrics, NoticeKind
from oleanderpier.entry.notice_sender import NoticeSender
from oleanderpier.fleet import SpeedNotice
from oleanderpier.routing import (
    SLOW_FACTOR,
    SPEED_LIFETIME_S,
    USUAL_FACTOR,
    ServerEntry,
    ServerLoads,
)
from oleanderpier.utils import Outbox, Timers

__all__ = ["SpeedNotices"]

# What all hosts know of a server is not sent again for this time. It is half of the
# time for which it holds, so that it is renewed in time.
RENEWAL_S = 0.3
REMOVAL_INTERVAL_S = 5.0


class _Told(NamedTuple):
    """What the hosts were last told of a server.

    Attributes:
        born_ms: The start of the server's run, as in ``ServerEntry``.
        is_slow: Whether it was slow.
        at_s: When it was.
    """

    born_ms: int
    is_slow: bool
    at_s: float


class SpeedNotices:
    """Sends and receives notices of servers' speeds.

    Args:
        loads: What the servers have stated about their speed.
        find_server: Returns the registration of a server, None if it is unknown.
        list_receivers: Returns the other hosts that take these messages.
        timers: The timer service.
        outbox: Sends messages to other hosts.
        metrics: The metrics of this host.
    """

    def __init__(
        self,
        loads: ServerLoads,
        find_server: Callable[[str], ServerEntry | None],
        list_receivers: Callable[[], list[str]],
        timers: Timers,
        outbox: Outbox,
        metrics: EntryMetrics,
    ) -> None:
        self._loads = loads
        self._find_server = find_server
        self._timers = timers
        self._sender = NoticeSender(NoticeKind.SPEED, list_receivers, outbox, metrics)
        self._told: dict[str, _Told] = {}
        timers.subscribe(REMOVAL_INTERVAL_S, self._remove_expired)

    def announce(self, server: ServerEntry, slow_factor: float) -> None:
        """Tell the others the speed that a server has just stated, if that is news.

        Args:
            server: The server.
            slow_factor: How long work takes on it, as a multiple of the usual time.
        """
        now_s = self._timers.now()
        if not self._is_news(server, slow_factor, now_s):
            return
        notice = SpeedNotice(server.identity, server.born_ms, slow_factor, 0.0)
        if self._sender.send(notice, now_s):
            self._record_told(server, slow_factor, now_s)

    def receive(self, sender: str, message: SpeedNotice) -> None:
        """Record the speed that a server has stated to another host."""
        self._sender.record_received()
        server = self._find_server(message.identity)
        if server is None or server.born_ms != message.born_ms:
            return
        # A wrong figure could hold for ever.
        figures = (message.slow_factor, message.age_s)
        if not all(math.isfinite(figure) and figure >= 0.0 for figure in figures):
            return
        heard_s = self._timers.now() - message.age_s
        self._loads.record_speed(server, message.slow_factor, heard_s)
        self._record_told(server, message.slow_factor, heard_s)

    def _is_news(self, server: ServerEntry, slow_factor: float, now_s: float) -> bool:
        """Return whether the others do not know the speed of a server."""
        is_slow = slow_factor >= SLOW_FACTOR
        told = self._told.get(server.identity)
        if told is None or told.born_ms != server.born_ms:
            return is_slow
        if is_slow:
            return not told.is_slow or now_s - told.at_s >= RENEWAL_S
        # An earlier speed holds no longer, so that its end is no news.
        was_slow = told.is_slow and now_s - told.at_s < SPEED_LIFETIME_S
        return was_slow and slow_factor < USUAL_FACTOR

    def _record_told(
        self, server: ServerEntry, slow_factor: float, at_s: float
    ) -> None:
        told = self._told.get(server.identity)
        if told is None or (told.born_ms, told.at_s) <= (server.born_ms, at_s):
            is_slow = slow_factor >= SLOW_FACTOR
            self._told[server.identity] = _Told(server.born_ms, is_slow, at_s)

    def _remove_expired(self) -> None:
        """Remove what no longer holds."""
        oldest_s = self._timers.now() - SPEED_LIFETIME_S
        self._told = {
            identity: told
            for identity, told in self._told.items()
            if told.at_s > oldest_s
        }
