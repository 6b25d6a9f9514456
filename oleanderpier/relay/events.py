"""Server-sent events: checks that an answer's events follow on one another."""

import json
from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from oleanderpier.results import Code

__all__ = ["EventFault", "EventSequence", "format_end", "format_event"]

LINE_FEED = 0x0A
MAX_EVENT_BYTES = 64 * 1024
MAX_HELD_EVENTS = 16
MAX_HELD_BYTES = 64 * 1024
MAX_FOREIGN_EVENTS = 64


class EventFault(Enum):
    """Why a stream of events can't be used any further."""

    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    GAP = "gap"
    FOREIGN = "foreign"
    WRONG_TOTAL = "wrong_total"
    SERVER_FAILED = "server_failed"


class _End(msgspec.Struct):
    total: int
    reused: int = 0


class _Event(NamedTuple):
    """The fields of one event, as bytes."""

    kind: bytes
    identity: bytes
    data: bytes


class EventSequence:
    """The events of one answer, checked and put in order.

    Every event must carry the request's id. Offsets below the next one are
    dropped, those above it are held until the gap is filled. What an
    ``EventSequence`` returns is always the next whole events in order.

    Args:
        request_id: The request that the answer belongs to.
        next_offset: The first offset that is expected.

    Attributes:
        next_offset: The offset after the last event returned.
        ended: Whether the end event came with the right total.
        reused: Prompt tokens taken from the cache, from the end event.
        fault: Why the stream can't be used any further, or None.
        dropped: How many foreign or repeated events were left out.

    Examples:
        >>> sequence = EventSequence("r")
        >>> sequence.accept(format_event("r", 1, "b"))
        b''
        >>> sequence.accept(format_event("r", 0, "a")).count(b"data")
        2
    """

    def __init__(self, request_id: str, next_offset: int = 0) -> None:
        self.ended = False
        self.reused = 0
        self.fault: EventFault | None = None
        self.dropped = 0
        self._identity = request_id.encode()
        self._head = b"id: " + self._identity + b":"
        self._expect(next_offset)
        self._partial = b""
        self._held: dict[int, bytes] = {}
        self._held_bytes = 0
        self._foreign = 0

    def restart(self) -> None:
        """Forget what an earlier stream left unfinished; offsets go on."""
        self.fault = None
        self._partial = b""
        self._clear_held()
        self._foreign = 0

    def accept(self, data: bytes) -> bytes:
        r"""Take bytes off the stream and return the events to forward.

        Args:
            data: The next bytes; lines end with ``\n``.

        Returns:
            Whole events that follow on those returned before. After a fault
            or the end nothing more is taken.
        """
        if not self._partial and not self._held and self._is_next(data):
            self._expect(self.next_offset + 1)
            return data
        return self._accept_pieces(data)

    def _is_next(self, event: bytes) -> bool:
        """Return whether bytes are just the one event that is expected."""
        expected = self._expected
        if not event.startswith(expected) or event[-1] != LINE_FEED:
            return False
        return event.find(b"\n", len(expected)) == len(event) - 2

    def _expect(self, offset: int) -> None:
        self.next_offset = offset
        self._expected = b"%b%d\ndata: " % (self._head, offset)

    def _accept_pieces(self, data: bytes) -> bytes:
        pieces = (self._partial + data).split(b"\n\n")
        self._partial = pieces.pop()
        if len(self._partial) > MAX_EVENT_BYTES:
            self.fault = EventFault.OVERSIZED
        ready: list[bytes] = []
        for piece in pieces:
            if self.ended or self.fault not in (None, EventFault.OVERSIZED):
                break
            ready.extend(self._take(piece + b"\n\n"))
        return b"".join(ready)

    def _take(self, event: bytes) -> Iterator[bytes]:
        """Yield the events that one more event makes ready."""
        if self._is_next(event):
            yield event
            self._expect(self.next_offset + 1)
            yield from self._release_held()
            return
        fields = _parse_event(event)
        if fields is None:
            return
        request_id, _, number = fields.identity.rpartition(b":")
        if not number.isdigit() or fields.kind not in _TAKE:
            self.fault = _FAULTS.get(fields.kind, EventFault.MALFORMED)
        elif request_id != self._identity:
            self._drop_foreign()
        else:
            yield from _TAKE[fields.kind](self, int(number), fields.data)

    def _take_token(self, offset: int, data: bytes) -> Iterator[bytes]:
        event = b"%b%d\ndata: %b\n\n" % (self._head, offset, data)
        if offset < self.next_offset or offset in self._held:
            self.dropped += 1
        elif offset == self.next_offset:
            yield event
            self._expect(self.next_offset + 1)
            yield from self._release_held()
        else:
            self._hold(offset, event)

    def _take_end(self, total: int, data: bytes) -> Iterator[bytes]:
        try:
            end = msgspec.json.decode(data, type=_End)
        except msgspec.MsgspecError:
            self.fault = EventFault.MALFORMED
            return
        if total != self.next_offset or end.total != total or self._held:
            self.fault = EventFault.WRONG_TOTAL
            return
        self.ended = True
        self.reused = end.reused
        yield from ()

    def _hold(self, offset: int, event: bytes) -> None:
        self._held[offset] = event
        self._held_bytes += len(event)
        if len(self._held) > MAX_HELD_EVENTS or self._held_bytes > MAX_HELD_BYTES:
            self.fault = EventFault.GAP

    def _release_held(self) -> Iterator[bytes]:
        while self.next_offset in self._held:
            yield self._held.pop(self.next_offset)
            self._expect(self.next_offset + 1)
        if not self._held:
            self._held_bytes = 0

    def _clear_held(self) -> None:
        self._held.clear()
        self._held_bytes = 0

    def _drop_foreign(self) -> None:
        self.dropped += 1
        self._foreign += 1
        if self._foreign > MAX_FOREIGN_EVENTS:
            self.fault = EventFault.FOREIGN


_TAKE: dict[bytes, Any] = {
    b"message": EventSequence._take_token,
    b"end": EventSequence._take_end,
}
_FAULTS = {b"failed": EventFault.SERVER_FAILED}


def _parse_event(event: bytes) -> _Event | None:
    """Return an event's fields, or None where there are only comments."""
    fields = {b"event": b"message", b"id": b"", b"data": b""}
    seen = False
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name in fields:
            fields[name] = value.removeprefix(b" ")
            seen = True
    return _Event(fields[b"event"], fields[b"id"], fields[b"data"]) if seen else None


def format_event(request_id: str, offset: int, text: str) -> bytes:
    """Return the bytes of the event that carries one token."""
    data = json.dumps({"text": text})
    return f"id: {request_id}:{offset}\ndata: {data}\n\n".encode()


def format_end(request_id: str, total: int, reused: int) -> bytes:
    """Return the bytes of the event that ends a whole answer."""
    data = json.dumps({"code": int(Code.DONE), "total": total, "reused": reused})
    return f"event: end\nid: {request_id}:{total}\ndata: {data}\n\n".encode()
