"""A bounded buffer of a process's newest events."""

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
        host: Name of the host.
        incarnation: Identifies the start of the daemon on that host.
        sequence: Sequence number within the incarnation, from 1.
        stamp: Hybrid logical timestamp, by which events are ordered causally.
        wall_s: The host's wall clock, in seconds since 1970.
        kind: Kind of event, as ``package:event``.
        subject: Identifier of what the event concerns.
        code: Result code, 0 if none applies.
        text: Description of the event in one sentence.
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
        events: The newest events that were asked for, oldest first.
        lost: Number of events that are no longer in the buffer.
        last: The last sequence number that was assigned, 0 for none.
        horizon: Lower bound of the stamps of all later events of this host.
    """

    events: list[Event]
    lost: int
    last: int
    horizon: Stamp


class EventBuffer:
    """Stores the newest events of this process.

    Args:
        host: Name of this host.
        incarnation: Identifies this start of the daemon.
        clock: The logical clock of the process.
        timers: Provides the wall clock.
        capacity: Maximum number of events in the buffer.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> timers = ManualTimers()
        >>> buffer = EventBuffer("h1", 1, Clock(timers), timers, capacity=1)
        >>> _ = buffer.record("daemon:started", "h1")
        >>> _ = buffer.record("daemon:ready", "h1")
        >>> tail = buffer.list_after(0)
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
        self._last_sequence = 0

    def record(self, kind: str, subject: str, code: int = 0, text: str = "") -> Event:
        """Record an event at the present time.

        Args:
            kind: Kind of event, as ``package:event``.
            subject: Identifier of what the event concerns.
            code: Result code, 0 if none applies.
            text: Description of the event in one sentence, truncated to
                ``MAX_TEXT_CHARS``.

        Returns:
            The recorded event.
        """
        self._last_sequence += 1
        event = Event(
            self.host,
            self.incarnation,
            self._last_sequence,
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
        """Return the events after a sequence number.

        Args:
            sequence: Sequence number of the last event that the reader has; 0
                for all events.
            limit: Maximum number of events, the newest of which are returned;
                None for no limit.
        """
        later_count = max(0, self._last_sequence - max(0, sequence))
        available = min(later_count, len(self._events))
        returned = available if limit is None else min(available, max(0, limit))
        events = list(itertools.islice(reversed(self._events), returned))
        return Tail(
            events[::-1],
            later_count - available,
            self._last_sequence,
            self._clock.tick(),
        )
