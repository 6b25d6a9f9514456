"""Sends notices to all other hosts, with an upper bound per second."""

from collections import deque
from collections.abc import Callable

from oleanderpier.entry.metrics import EntryMetrics, NoticeEvent, NoticeKind
from oleanderpier.fleet import PrefillNotice, SpeedNotice
from oleanderpier.utils import Outbox

__all__ = ["NoticeBound", "NoticeSender"]

# A notice goes to up to 130 hosts, so that 10 of each kind are 1,300 messages a second.
MAX_NOTICES_PER_S = 10


class NoticeBound:
    """Allows a number of notices in any second.

    Examples:
        >>> bound = NoticeBound(max_per_s=2)
        >>> [bound.acquire(now_s) for now_s in (0.0, 0.5, 0.9, 1.0, 1.2)]
        [True, True, False, True, False]
    """

    def __init__(self, max_per_s: int = MAX_NOTICES_PER_S) -> None:
        self._sent_s: deque[float] = deque(maxlen=max_per_s)

    def acquire(self, now_s: float) -> bool:
        """Return whether a notice may be sent now, and count it if so."""
        sent_s = self._sent_s
        if len(sent_s) == sent_s.maxlen and now_s < sent_s[0] + 1.0:
            return False
        sent_s.append(now_s)
        return True


class NoticeSender:
    """Sends notices of one kind and counts them.

    Args:
        kind: What they are about.
        list_receivers: Returns the other hosts that take them.
        outbox: Sends messages to other hosts.
        metrics: The metrics of this host.
    """

    def __init__(
        self,
        kind: NoticeKind,
        list_receivers: Callable[[], list[str]],
        outbox: Outbox,
        metrics: EntryMetrics,
    ) -> None:
        self._kind = kind
        self._list_receivers = list_receivers
        self._outbox = outbox
        self._metrics = metrics
        self._bound = NoticeBound()

    def send(self, notice: PrefillNotice | SpeedNotice, now_s: float) -> bool:
        """Send a notice unless the bound is reached, and return whether it was sent."""
        receivers = self._list_receivers()
        if not receivers:
            return False
        if not self._bound.acquire(now_s):
            self._metrics.record_notice(self._kind, NoticeEvent.OMITTED)
            return False
        self._outbox.send_to_all(receivers, notice)
        self._metrics.record_notice(self._kind, NoticeEvent.SENT)
        return True

    def record_received(self) -> None:
        """Count a notice of another host."""
        self._metrics.record_notice(self._kind, NoticeEvent.RECEIVED)
