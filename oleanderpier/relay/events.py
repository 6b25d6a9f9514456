"""Server-sent events: checks the identity and order of a response's events."""

import json
from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from oleanderpier.results import Code

__all__ = ["EventFault", "EventSequence", "format_end", "format_event"]

LINE_FEED = 0x0A
MAX_EVENT_BYTES = 64 * 1024
# Bounds of the events held for a missing one.
MAX_HELD_EVENTS = 16
MAX_HELD_BYTES = 64 * 1024
# Events of other requests that one stream may contain.
MAX_FOREIGN_EVENTS = 64


class EventFault(Enum):
    """Why the rest of an engine's stream can't be used.

    The values are written to logs.

    Attributes:
        MALFORMED: An event has no valid id, type or data.
        OVERSIZED: An event exceeds ``MAX_EVENT_BYTES``.
        GAP: Too many events are held for a missing one.
        FOREIGN: Too many events belong to other requests.
        WRONG_TOTAL: The end event doesn't match the events received.
        SERVER_FAILED: The engine reported a failure.
    """

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
    """The fields of one event, as bytes.

    Attributes:
        event_type: The ``event`` field; ``message`` if it is absent.
        event_id: The ``id`` field, ``REQUEST:OFFSET``.
        data: The ``data`` field, JSON.
    """

    event_type: bytes
    event_id: bytes
    data: bytes


class EventSequence:
    """Checks the events of one response and puts them in order.

    Every event must carry the request's id. Events below the next offset are
    duplicates and dropped; events above it are held, within bounds, until the
    missing ones arrive. ``accept`` returns only whole events, in order and
    without gaps.

    Args:
        request_id: The request that the response belongs to.
        next_offset: The offset of the first event to expect.

    Attributes:
        next_offset: The offset of the next event to forward.
        ended: Whether an end event with the right total was received.
        reused_tokens: Number of prompt tokens that the engine reused from its
            cache, from the end event.
        fault: Why the rest of the present stream can't be used, or None.
        dropped_count: Number of events dropped because they belong to another
            request or are duplicates.

    Examples:
        >>> sequence = EventSequence("r")
        >>> sequence.accept(format_event("r", 1, "b"))
        b''
        >>> sequence.accept(format_event("r", 0, "a")).count(b"data")
        2
    """

    def __init__(self, request_id: str, next_offset: int = 0) -> None:
        self.ended = False
        self.reused_tokens = 0
        self.fault: EventFault | None = None
        self.dropped_count = 0
        self._request_id = request_id.encode()
        self._id_prefix = b"id: " + self._request_id + b":"
        self._set_next_offset(next_offset)
        self._incomplete_event = b""
        self._held_events: dict[int, bytes] = {}
        self._held_bytes = 0
        self._foreign_count = 0

    def start_stream(self) -> None:
        """Discard incomplete and held events of the previous stream.

        Offsets continue: the new stream is to begin at ``next_offset``.
        """
        self.fault = None
        self._incomplete_event = b""
        self._clear_held()
        self._foreign_count = 0

    def accept(self, data: bytes) -> bytes:
        r"""Accept the next bytes of the stream and return the events to forward.

        Args:
            data: The next bytes; lines end with ``\n``.

        Returns:
            Whole events that continue those returned before, possibly none.
            Events after a fault or after the end event are ignored.
        """
        if (
            not self._incomplete_event
            and not self._held_events
            and self._is_next_event(data)
        ):
            self._set_next_offset(self.next_offset + 1)
            return data
        return self._accept_blocks(data)

    def _is_next_event(self, event: bytes) -> bool:
        """Return whether bytes are exactly the next event and nothing more."""
        prefix = self._next_event_prefix
        if not event.startswith(prefix) or event[-1] != LINE_FEED:
            return False
        return event.find(b"\n", len(prefix)) == len(event) - 2

    def _set_next_offset(self, offset: int) -> None:
        self.next_offset = offset
        self._next_event_prefix = b"%b%d\ndata: " % (self._id_prefix, offset)

    def _accept_blocks(self, data: bytes) -> bytes:
        blocks = (self._incomplete_event + data).split(b"\n\n")
        self._incomplete_event = blocks.pop()
        if len(self._incomplete_event) > MAX_EVENT_BYTES:
            self.fault = EventFault.OVERSIZED
        forwarded: list[bytes] = []
        for block in blocks:
            if self.ended or self.fault not in (None, EventFault.OVERSIZED):
                break
            forwarded.extend(self._accept_event(block + b"\n\n"))
        return b"".join(forwarded)

    def _accept_event(self, event: bytes) -> Iterator[bytes]:
        """Yield the events that can be forwarded now that an event arrived."""
        if self._is_next_event(event):
            yield event
            self._set_next_offset(self.next_offset + 1)
            yield from self._release_held()
            return
        fields = _parse_event(event)
        if fields is None:
            return
        request_id, _, offset = fields.event_id.rpartition(b":")
        if not offset.isdigit() or fields.event_type not in _EVENT_HANDLERS:
            self.fault = _FAULTS_BY_EVENT_TYPE.get(
                fields.event_type, EventFault.MALFORMED
            )
        elif request_id != self._request_id:
            self._drop_foreign()
        else:
            yield from _EVENT_HANDLERS[fields.event_type](
                self, int(offset), fields.data
            )

    def _accept_token(self, offset: int, data: bytes) -> Iterator[bytes]:
        event = b"%b%d\ndata: %b\n\n" % (self._id_prefix, offset, data)
        if offset < self.next_offset or offset in self._held_events:
            self.dropped_count += 1
        elif offset == self.next_offset:
            yield event
            self._set_next_offset(self.next_offset + 1)
            yield from self._release_held()
        else:
            self._hold(offset, event)

    def _accept_end(self, total: int, data: bytes) -> Iterator[bytes]:
        try:
            end = msgspec.json.decode(data, type=_End)
        except msgspec.MsgspecError:
            self.fault = EventFault.MALFORMED
            return
        if total != self.next_offset or end.total != total or self._held_events:
            self.fault = EventFault.WRONG_TOTAL
            return
        self.ended = True
        self.reused_tokens = end.reused
        yield from ()

    def _hold(self, offset: int, event: bytes) -> None:
        self._held_events[offset] = event
        self._held_bytes += len(event)
        if (
            len(self._held_events) > MAX_HELD_EVENTS
            or self._held_bytes > MAX_HELD_BYTES
        ):
            self.fault = EventFault.GAP

    def _release_held(self) -> Iterator[bytes]:
        while self.next_offset in self._held_events:
            yield self._held_events.pop(self.next_offset)
            self._set_next_offset(self.next_offset + 1)
        if not self._held_events:
            self._held_bytes = 0

    def _clear_held(self) -> None:
        self._held_events.clear()
        self._held_bytes = 0

    def _drop_foreign(self) -> None:
        self.dropped_count += 1
        self._foreign_count += 1
        if self._foreign_count > MAX_FOREIGN_EVENTS:
            self.fault = EventFault.FOREIGN


_EVENT_HANDLERS: dict[bytes, Any] = {
    b"message": EventSequence._accept_token,
    b"end": EventSequence._accept_end,
}
_FAULTS_BY_EVENT_TYPE = {b"failed": EventFault.SERVER_FAILED}


def _parse_event(event: bytes) -> _Event | None:
    """Return an event's fields, or None if it consists of comments only."""
    fields = {b"event": b"message", b"id": b"", b"data": b""}
    has_field = False
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name in fields:
            fields[name] = value.removeprefix(b" ")
            has_field = True
    return (
        _Event(fields[b"event"], fields[b"id"], fields[b"data"]) if has_field else None
    )


def format_event(request_id: str, offset: int, text: str) -> bytes:
    """Return the bytes of the event that carries the text of one token."""
    data = json.dumps({"text": text})
    return f"id: {request_id}:{offset}\ndata: {data}\n\n".encode()


def format_end(request_id: str, total: int, reused: int) -> bytes:
    """Return the bytes of the event that ends a complete response.

    Args:
        request_id: The request's id.
        total: Number of token events in the response.
        reused: Number of prompt tokens that the engine reused from its cache.
    """
    data = json.dumps({"code": int(Code.DONE), "total": total, "reused": reused})
    return f"event: end\nid: {request_id}:{total}\ndata: {data}\n\n".encode()
