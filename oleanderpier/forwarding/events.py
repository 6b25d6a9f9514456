"""Splits a stream of server-sent events into whole events.

References:
    HTML Living Standard, section 9.2, "Server-sent events".
"""

from oleanderpier.exception import MessageError

__all__ = ["EventSplitter"]

MAX_EVENT_BYTES = 1 << 20
END = b"\n\n"
CRLF_END = b"\r\n\r\n"


class EventSplitter:
    r"""Holds back the part of an event whose end has not come.

    Attributes:
        last_id: The id of the last whole event, None before one with an id.

    Examples:
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        b'id: 1\ndata: a\n\n'
        >>> splitter.last_id, splitter.rest
        ('1', b'id: 2\nda')
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """The bytes that were held back."""
        return self._rest

    def restart(self) -> None:
        """Drop what was held back; another server goes on."""
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are there now, as they came.

        Args:
            data: The next bytes of the stream.

        Raises:
            MessageError: An event is larger than a server may send.
        """
        data = self._rest + data if self._rest else data
        end = max(_find_end(data, END), _find_end(data, CRLF_END))
        if end == 0:
            self._rest = data
            if len(data) > MAX_EVENT_BYTES:
                raise MessageError(f"an event of more than {MAX_EVENT_BYTES} bytes")
            return b""
        self._rest = data[end:]
        ready = data[:end]
        self._note_id(ready)
        return ready

    def _note_id(self, ready: bytes) -> None:
        at = ready.rfind(b"\nid:") + 1
        if at == 0 and not ready.startswith(b"id:"):
            return
        line = ready[at + 3 : ready.find(b"\n", at)]
        self.last_id = line.strip().decode("latin-1")


def _find_end(data: bytes, mark: bytes) -> int:
    """Return the offset behind the last mark, 0 if there is none."""
    at = data.rfind(mark)
    return at + len(mark) if at >= 0 else 0
