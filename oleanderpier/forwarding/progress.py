"""Decides whether a stream still goes on.

It answers this load pattern: a server that has stopped working on a stream sends a byte
now and then, such as a comment or a part of an event, while slow but sound streams need
a while for an event. All times are arguments, in seconds on the monotonic clock.
"""

from oleanderpier.forwarding.events import EventSplitter
from oleanderpier.routing import Route

__all__ = ["StreamProgress"]

# Time from the first byte after an event until the next event, after which a stream is
# stalled; or so many times the route's targets.
MIN_STALL_TIMEOUT_S = 1.5
FIRST_EVENT_FACTOR = 2.0
GAP_FACTOR = 4.0
DATA_FIELD = b"data"


class StreamProgress:
    """The events of one response, as far as received.

    Args:
        route: The route of the request.
        splitter: Splits the stream into events.

    Attributes:
        first_event_at_s: When the first event was received, None before.
        has_advanced: Whether the last bytes completed an event.
    """

    def __init__(self, route: Route, splitter: EventSplitter) -> None:
        self.first_event_at_s: float | None = None
        self.has_advanced = False
        self._splitter = splitter
        self._last_event_id = splitter.last_event_id
        # The limit is below the time after which callers give up.
        self._timeout_s = max(
            MIN_STALL_TIMEOUT_S,
            FIRST_EVENT_FACTOR * route.target_s,
            GAP_FACTOR * route.gap_target_s,
        )
        # When the first byte after the last event was received, None before it.
        self._unfinished_since_s: float | None = None

    def feed(self, data: bytes, now_s: float) -> bytes:
        """Return the events that are complete with the next bytes of the stream.

        Comments and events that repeat an id without data are no progress.
        """
        events = self._splitter.feed(data)
        self.has_advanced = (
            DATA_FIELD in events or self._splitter.last_event_id != self._last_event_id
        )
        if self.has_advanced:
            self._last_event_id = self._splitter.last_event_id
            if self.first_event_at_s is None:
                self.first_event_at_s = now_s
            self._unfinished_since_s = now_s if self._splitter.is_inside_event else None
        elif self._unfinished_since_s is None:
            self._unfinished_since_s = now_s
        return events

    def is_stalled(self, now_s: float) -> bool:
        """Return whether bytes arrive, but no events."""
        since_s = self._unfinished_since_s
        return since_s is not None and now_s >= since_s + self._timeout_s
