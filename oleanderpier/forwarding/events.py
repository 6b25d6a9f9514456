"""Splits a stream of server-sent events into complete events.

References:
    HTML Living Standard, section 9.2, "Server-sent events".
"""

from oleanderpier.exception import MessageError

__all__ = ["MAX_EVENT_BYTES", "EventSplitter"]

MAX_EVENT_BYTES = 1 << 20
# An event ends with an empty line. Lines end with LF, CRLF or CR.
EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
MAX_EVENT_END_BYTES = max(map(len, EVENT_ENDS))
ID_FIELD = b"id:"


class EventSplitter:
    r"""Returns complete events and buffers the beginning of the next one.

    Args:
        last_event_id: The id of the event that the stream goes on after.

    Attributes:
        last_event_id: The id of the last complete event that had one, None before.

    Examples:
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        b'id: 1\ndata: a\n\n'
        >>> splitter.last_event_id, splitter.remainder, splitter.is_inside_event
        ('1', b'id: 2\nda', True)
    """

    def __init__(self, last_event_id: str | None = None) -> None:
        self.last_event_id = last_event_id
        self._remainder = bytearray()
        # Size of the empty lines since the last event.
        self._empty_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """The size of the remainder."""
        return len(self._remainder)

    @property
    def remainder(self) -> bytes:
        """The buffered bytes, which belong to no complete event."""
        return bytes(self._remainder)

    @property
    def is_inside_event(self) -> bool:
        """Whether the buffered bytes are more than empty lines.

        A stream that ends here has been broken off.
        """
        return bool(self._remainder.strip(b"\r\n"))

    def drop_remainder(self) -> None:
        """Drop the buffered bytes, since no more of the stream are read."""
        self._remainder.clear()

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete now, byte for byte.

        Args:
            data: The next bytes of the stream.

        Raises:
            MessageError: An event, or a series of empty lines, is longer than
                ``MAX_EVENT_BYTES``.
        """
        buffer = self._remainder
        # The buffered bytes contain no whole end of an event.
        start = max(0, len(buffer) - MAX_EVENT_END_BYTES + 1)
        buffer += data
        end = max(_find_end(buffer, event_end, start) for event_end in EVENT_ENDS)
        events = bytes(buffer[:end])
        del buffer[:end]
        if len(buffer) > MAX_EVENT_BYTES:
            raise MessageError(f"an event of more than {MAX_EVENT_BYTES} bytes")
        self._empty_bytes = 0 if events.strip(b"\r\n") else self._empty_bytes + end
        if self._empty_bytes > MAX_EVENT_BYTES:
            raise MessageError(f"more than {MAX_EVENT_BYTES} bytes of empty lines")
        self._record_last_id(events)
        return events

    def _record_last_id(self, events: bytes) -> None:
        """Record the id of the last event that has one."""
        at = max(events.rfind(b"\n" + ID_FIELD), events.rfind(b"\r" + ID_FIELD)) + 1
        if at == 0 and not events.startswith(ID_FIELD):
            return
        line = events[at + len(ID_FIELD) :].splitlines()[0]
        self.last_event_id = line.strip().decode("latin-1")


def _find_end(data: bytearray, event_end: bytes, start: int) -> int:
    """Return the offset after the last end of an event, 0 if there is none."""
    at = data.rfind(event_end, start)
    return at + len(event_end) if at >= 0 else 0
