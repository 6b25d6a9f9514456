"""Splits a stream of server-sent events into complete events.

References:
    HTML Living Standard, section 9.2, "Server-sent events".
"""

from oleanderpier.exception import MessageError

__all__ = ["EventSplitter"]

MAX_EVENT_BYTES = 1 << 20
LF_EVENT_END = b"\n\n"
CRLF_EVENT_END = b"\r\n\r\n"


class EventSplitter:
    r"""Returns complete events and buffers the beginning of the next one.

    Attributes:
        last_event_id: The id of the last complete event that had one, None before.

    Examples:
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        b'id: 1\ndata: a\n\n'
        >>> splitter.last_event_id, splitter.remainder
        ('1', b'id: 2\nda')
    """

    def __init__(self) -> None:
        self.last_event_id: str | None = None
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """The buffered bytes of an event that is not complete."""
        return self._remainder

    def drop_remainder(self) -> None:
        """Drop the buffered bytes, because another server resumes the stream."""
        self._remainder = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete now, byte for byte.

        Args:
            data: The next bytes of the stream.

        Raises:
            MessageError: An event is longer than ``MAX_EVENT_BYTES``.
        """
        data = self._remainder + data if self._remainder else data
        end = max(_find_end(data, LF_EVENT_END), _find_end(data, CRLF_EVENT_END))
        if end == 0:
            self._remainder = data
            if len(data) > MAX_EVENT_BYTES:
                raise MessageError(f"an event of more than {MAX_EVENT_BYTES} bytes")
            return b""
        self._remainder = data[end:]
        events = data[:end]
        self._record_last_id(events)
        return events

    def _record_last_id(self, events: bytes) -> None:
        """Record the id of the last event that has one."""
        at = events.rfind(b"\nid:") + 1
        if at == 0 and not events.startswith(b"id:"):
            return
        line = events[at + 3 : events.find(b"\n", at)]
        self.last_event_id = line.strip().decode("latin-1")


def _find_end(data: bytes, terminator: bytes) -> int:
    """Return the offset after the last terminator, 0 if there is none."""
    at = data.rfind(terminator)
    return at + len(terminator) if at >= 0 else 0
