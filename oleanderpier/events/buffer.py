"""A process's newest events, bounded in memory."""

import itertools
from collections import deque
from typing import NamedTuple

from oleanderpier.events.clock import Clock, Stamp
from oleanderpier.utils import Timers

__all__ = ["Event", "EventBuffer", "Tail"]

MAX_TEXT_CHARS = 240


class Event(NamedTuple):
    """Something that happened on one host.

    Attributes:
        host: Where.
        incarnation: Which start of the daemon there.
        sequence: Place among the events of this incarnation, from 1.
        stamp: Place among the events of all hosts.
        wall_s: The host's wall clock, seconds since 1970.
        kind: What, as ``package:event``.
        subject: Whom or what it concerns.
        code: The result code, 0 if none applies.
        text: One sentence for a person.
    """

    host: str
    incarnation: int
    sequence: int
    stamp: Stamp
    wall_s: float
    kind: str
    subject: str
    code: int
    text: str


class Tail(NamedTuple):
    """Events after a sequence number.

    Attributes:
        events: The newest that are kept and wanted, oldest first.
        lost: How many are no longer kept.
        last: The last sequence number that was given out, 0 for none.
        horizon: Every event of this host from now on has a later stamp.
    """

    events: list[Event]
    lost: int
    last: int
    horizon: Stamp


class EventBuffer:
    """Keeps the newest events of this process.

    Args:
        host: Name of this host.
        incarnation: Which start of the daemon this is.
        clock: The process's only logical clock.
        timers: Where the wall clock is read.
        capacity: How many events are kept.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> timers = ManualTimers()
        >>> ring = EventBuffer("h1", 1, Clock(timers), timers, capacity=1)
        >>> _ = ring.record("daemon:started", "h1")
        >>> _ = ring.record("daemon:ready", "h1")
        >>> tail = ring.list_after(0)
        >>> tail.events[0].kind, tail.lost, tail.last
        ('daemon:ready', 1, 2)
    """

    def __init__(
        self, host: str, incarnation: int, clock: Clock, timers: Timers, capacity: int
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self._clock = clock
        self._timers = timers
        self._events: deque[Event] = deque(maxlen=capacity)
        self._last = 0

    def record(self, kind: str, subject: str, code: int = 0, text: str = "") -> Event:
        """Keep an event that happens now.

        Args:
            kind: What, as ``package:event``.
            subject: Whom or what it concerns.
            code: The result code, 0 if none applies.
            text: One sentence for a person, cut if it is long.

        Returns:
            The event as kept.
        """
        self._last += 1
        event = Event(
            self.host,
            self.incarnation,
            self._last,
            self._clock.tick(),
            self._timers.wall(),
            kind,
            subject,
            int(code),
            text[:MAX_TEXT_CHARS],
        )
        self._events.append(event)
        return event

    def list_after(self, sequence: int, limit: int | None = None) -> Tail:
        """Return the events above a sequence number.

        Args:
            sequence: The last one that the reader has; 0 for all.
            limit: How many of the newest are wanted; None for all.
        """
        wanted = max(0, self._last - max(0, sequence))
        kept = min(wanted, len(self._events))
        shown = kept if limit is None else min(kept, max(0, limit))
        events = list(itertools.islice(reversed(self._events), shown))
        return Tail(events[::-1], wanted - kept, self._last, self._clock.tick())
