"""One attempt to send a request to a backend server."""

from collections.abc import Callable
from typing import NamedTuple

import aiohttp
from expression import Error, Ok, Result
from yarl import URL

from oleanderpier.connections import Framing, Listening, check_listening, find_framing
from oleanderpier.exception import MessageError
from oleanderpier.forwarding.activity import MIN_RESTART_S, ServerActivity
from oleanderpier.forwarding.buffers import ResponseBuffers
from oleanderpier.forwarding.callers import TrackedCaller
from oleanderpier.forwarding.events import MAX_EVENT_BYTES, EventSplitter
from oleanderpier.forwarding.progress import StreamProgress
from oleanderpier.forwarding.records import FINAL_STATUSES, Call, Dialect, ResponseHead
from oleanderpier.routing import AttemptOutcome, Refusal, RequestKind, ServerEntry
from oleanderpier.utils import Timers, limit_time

__all__ = ["Attempt", "BufferedResponse"]

MAX_RESPONSE_BYTES = 16 << 20
# A body of this length waits until there is room for it.
LARGE_RESPONSE_BYTES = 1 << 20
EVENT_STREAM = "text/event-stream"
# Silence of a server, on all connections of this host, after which a stream without
# an event is delayed; the route's latency target if that is longer.
MIN_FIRST_EVENT_TIMEOUT_S = 1.0
# The same between two events: GAP_TIMEOUT_FACTOR times the route's target for gaps.
GAP_TIMEOUT_FACTOR = 2.0
MIN_GAP_TIMEOUT_S = 0.6
# The same for an idempotent request: RESPONSE_TIMEOUT_FACTOR times its latency target.
RESPONSE_TIMEOUT_FACTOR = 2.0
MIN_RESPONSE_TIMEOUT_S = 0.25
# A write that takes longer waits for the caller; a read that does had nothing to read.
MIN_BLOCKED_S = 0.005
MIN_CAUGHT_UP_S = 0.02
# Why a response that ended with its connection may be cut, empty if it is not.
_LISTENING_REASONS = {
    Listening.YES: "",
    Listening.NO: "the server has ended with the connection",
    Listening.UNKNOWN: "the server is out of reach after the end of the connection",
}


class BufferedResponse(NamedTuple):
    """A complete response that was not streamed.

    Attributes:
        head: Its head.
        body: Its body.
    """

    head: ResponseHead
    body: bytes


class Attempt:
    """One attempt to send a request to a server.

    Args:
        session: The HTTP client.
        dialect: The wire format of the backend servers.
        activity: When each server last sent something.
        buffers: The buffered bytes of all responses.
        timers: The timer service.
        call: The request.
        server: The server.
        copy_source: The server from which it is to copy the prompt's shared prefix,
            None for no copy.
        splitter: Splits the stream; holds the id of the event to begin after.
        on_head: Called with the server and the head of its response.
        claim: Called before a part of the response is passed on, with the attempt and
            whether the part is progress. Returns whether it may be passed on.

    Attributes:
        server: The server.
        splitter: Splits the stream into events.
        response: The complete response, of a request that is not streamed.
        reason: The reason for the outcome, as text for the log.
        framing: What ends the body of the response, None before its head.
        received_bytes: Bytes of the body received so far.
        first_event_at_s: When the first whole event was received, None before.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        dialect: Dialect,
        activity: ServerActivity,
        buffers: ResponseBuffers,
        timers: Timers,
        call: Call,
        server: ServerEntry,
        copy_source: ServerEntry | None,
        splitter: EventSplitter,
        on_head: Callable[[ServerEntry, ResponseHead], None],
        claim: Callable[["Attempt", bool], bool],
    ) -> None:
        self.server = server
        self.splitter = splitter
        self.response: BufferedResponse | None = None
        self.reason = ""
        self.framing: Framing | None = None
        self.received_bytes = 0
        self.first_event_at_s: float | None = None
        self._session = session
        self._dialect = dialect
        self._activity = activity
        self._timers = timers
        self._call = call
        self._copy_source = copy_source
        self._on_head = on_head
        self._claim = claim
        self._http_response: aiohttp.ClientResponse | None = None
        self._progress: StreamProgress | None = None
        self._timeout_s = self._get_first_timeout_s()
        # When the wait for the server's next bytes began, None while there is none.
        self._waiting_since_s: float | None = None
        # When the last silence ended in which the server may have restarted.
        self._silence_ended_s = float("-inf")
        # Since when bytes may have been waiting to be read, None if none are.
        self._behind_since_s: float | None = None
        # Events without progress that were not passed on yet.
        self._held_events = b""
        self._body_parts: list[bytes] = []
        self._buffer = buffers.open(server.identity, self._end_overflow)

    def is_silent(self) -> bool:
        """Return whether the server has sent this host nothing for too long."""
        if self._waiting_since_s is None:
            return False
        silence_s = self._activity.get_silence_s(
            self.server.identity, self._waiting_since_s
        )
        return silence_s >= self._timeout_s

    def is_stalled(self) -> bool:
        """Return whether the server sends bytes, but no events of a stream."""
        return (
            self._waiting_since_s is not None
            and self._progress is not None
            and self._call.route.repeatable
            and self._progress.is_stalled(self._timers.now())
        )

    async def run(self, caller: TrackedCaller) -> AttemptOutcome:
        """Send the request and pass its response on as far as it is received.

        Args:
            caller: Receives the events of a stream.

        Returns:
            The outcome. The connection is closed in every case; what was received
            counts as buffered until ``release``.
        """
        try:
            head_result = await self._open_response()
            if head_result.is_error():
                return head_result.error
            head = head_result.ok
            if self._is_stream(head):
                return await self._relay_stream(head, caller)
            if caller.response_started:
                self.reason = f"no stream to go on with, status {head.status}"
                return AttemptOutcome.CUT
            return await self._read_response(head)
        finally:
            self._waiting_since_s = None
            self._close()

    def release(self) -> None:
        """Drop what is buffered of the response."""
        self.splitter.drop_remainder()
        self._held_events = b""
        self._body_parts.clear()
        self._buffer.close()

    def _end_overflow(self) -> None:
        """End a response that has too large a part of what this host may buffer."""
        self._body_parts.clear()
        error = MessageError(
            f"{self.received_bytes} bytes of a response, and all responses together "
            "are more than this host may hold"
        )
        self._http_response.content.set_exception(error)

    async def _open_response(self) -> Result[ResponseHead, AttemptOutcome]:
        """Send the request and wait for the head of the response."""
        call, server = self._call, self.server
        headers = self._dialect.format_request(
            call,
            server,
            call.deadline_s - self._timers.now(),
            self.splitter.last_event_id or call.last_event_id,
            self._copy_source,
        )
        url = URL(f"http://{server.address}{call.path}", encoded=True)
        self._waiting_since_s = self._timers.now()
        try:
            self._http_response = await self._session.request(
                call.method,
                url,
                headers=headers,
                data=call.body or (b"" if call.method == "POST" else None),
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self.reason = repr(error)
            return Error(AttemptOutcome.UNREACHED)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self.reason = repr(error)
            return Error(AttemptOutcome.LOST)
        # What another instance at this address sends is no sign of the server.
        self._record_activity(is_data=False)
        self.framing = find_framing(self._http_response.headers)
        return self._check_head()

    def _check_head(self) -> Result[ResponseHead, AttemptOutcome]:
        """Return the head if the response is valid, else how the attempt ended."""
        http_response = self._http_response
        head = self._dialect.read_response_head(
            self._call, http_response.status, http_response.raw_headers
        )
        self._on_head(self.server, head)
        if head.status not in FINAL_STATUSES:
            self.reason = (
                f"status {head.status}, allowed {FINAL_STATUSES.start} to "
                f"{FINAL_STATUSES.stop - 1}"
            )
            return Error(AttemptOutcome.LOST)
        if head.not_run:
            self.reason = f"not run, status {head.status}"
            if head.refusal is Refusal.MISDIRECTED:
                return Error(AttemptOutcome.MISDIRECTED)
            return Error(AttemptOutcome.NOT_RUN)
        if not head.valid or (200 <= head.status < 300 and not head.signed):
            self.reason = f"not an answer to this request, status {head.status}"
            return Error(AttemptOutcome.LOST)
        self._activity.record_activity(self.server.identity)
        return Ok(head)

    def _is_stream(self, head: ResponseHead) -> bool:
        """Return whether the response is a stream of events.

        A response with a length and another content type is a document.
        """
        if self._call.route.kind is not RequestKind.STREAM or head.status != 200:
            return False
        headers = self._http_response.headers
        content_type = headers.get("Content-Type", EVENT_STREAM).partition(";")[0]
        is_event_stream = content_type.strip().lower() == EVENT_STREAM
        return is_event_stream or self.framing is not Framing.LENGTH

    async def _read_response(self, head: ResponseHead) -> AttemptOutcome:
        """Read a response that is not streamed."""
        try:
            body = await self._read_body()
        except (aiohttp.ClientError, OSError, MessageError) as error:
            self.reason = repr(error)
            return AttemptOutcome.LOST
        if await self._ended_with_server():
            return AttemptOutcome.LOST
        self.response = BufferedResponse(head, body)
        if head.status >= 500:
            return AttemptOutcome.FAILED
        self._claim(self, True)
        return AttemptOutcome.DELIVERED

    async def _read_body(self) -> bytes:
        """Return the whole body.

        Raises:
            MessageError: It is too large.
        """
        length = self._http_response.content_length
        if length is not None and length > MAX_RESPONSE_BYTES:
            raise MessageError(
                f"a body of {length} bytes, allowed {MAX_RESPONSE_BYTES}"
            )
        reserved = await self._reserve_room(length or 0)
        while data := await self._read_data(self._http_response.content):
            if self.received_bytes > MAX_RESPONSE_BYTES:
                raise MessageError(f"a body of more than {MAX_RESPONSE_BYTES} bytes")
            self._body_parts.append(data)
            self._buffer.resize(max(reserved, self.received_bytes))
        self._buffer.complete()
        body = b"".join(self._body_parts)
        self._body_parts.clear()
        return body

    async def _reserve_room(self, length: int) -> int:
        """Wait until a large body has room, and return the number of reserved bytes.

        0 if it is small, or still has no room after half of the time that is left: then
        it is read as far as there is room.
        """
        if length < LARGE_RESPONSE_BYTES:
            return 0
        wait_s = (self._call.deadline_s - self._timers.now()) / 2
        try:
            async with limit_time(self._timers, max(0.0, wait_s)):
                await self._buffer.reserve(length)
        except TimeoutError:
            return 0
        return length

    async def _relay_stream(
        self, head: ResponseHead, caller: TrackedCaller
    ) -> AttemptOutcome:
        """Pass complete events on to the caller as they are received."""
        splitter = self.splitter
        try:
            await self._relay_events(head, caller)
        except (aiohttp.ClientError, MessageError) as error:
            self.reason = f"{error!r} after event {splitter.last_event_id}"
            return AttemptOutcome.CUT
        self.reason = self._explain_missing_part(splitter)
        if self.reason or await self._ended_with_server():
            return AttemptOutcome.CUT
        self._claim(self, True)
        if not caller.response_started:
            await caller.begin_stream(head)
        rest = self._held_events + splitter.remainder
        if rest:
            await caller.write(rest)
        await caller.finish_stream()
        return AttemptOutcome.DELIVERED

    async def _relay_events(self, head: ResponseHead, caller: TrackedCaller) -> None:
        """Pass complete events on until the body ends.

        Raises:
            aiohttp.ClientError: The connection failed.
            MessageError: The bytes are no events.
        """
        content = self._http_response.content
        progress = self._progress = StreamProgress(self._call.route, self.splitter)
        while data := await self._read_data(content):
            events = self._held_events + progress.feed(data, self._timers.now())
            self._buffer.resize(self.splitter.buffered_bytes + len(self._held_events))
            self.first_event_at_s = progress.first_event_at_s
            self._timeout_s = self._get_gap_timeout_s()
            if not events:
                continue
            if not self._claim(self, progress.has_advanced):
                self._hold_events(events)
                continue
            self._held_events = b""
            if not caller.response_started:
                await caller.begin_stream(head)
            await self._write(events, caller)

    async def _write(self, events: bytes, caller: TrackedCaller) -> None:
        """Write events; while the caller takes none, nothing is read."""
        began_s = self._timers.now()
        await caller.write(events)
        is_blocked = self._timers.now() - began_s >= MIN_BLOCKED_S
        if is_blocked and self._behind_since_s is None:
            self._behind_since_s = began_s

    def _hold_events(self, events: bytes) -> None:
        """Keep events that another attempt at the request does not let through.

        Raises:
            MessageError: They are more than ``MAX_EVENT_BYTES``.
        """
        if len(events) > MAX_EVENT_BYTES:
            raise MessageError(f"more than {MAX_EVENT_BYTES} bytes without an event")
        self._held_events = events

    def _explain_missing_part(self, splitter: EventSplitter) -> str:
        """Return why a stream whose body has ended is incomplete, empty if it is not.

        The end of a connection alone shows no end of a stream: a server that fails
        closes its connections as well.
        """
        if splitter.is_inside_event:
            return f"ended inside the event after {splitter.last_event_id}"
        if self.framing is Framing.CONNECTION and self.first_event_at_s is None:
            return "the connection ended before an event"
        return ""

    async def _ended_with_server(self) -> bool:
        """Return whether a response with neither a length nor chunks may be cut.

        Its end is that of its connection, which also ends when the server crashes. That
        the server listens proves nothing if the end was read late, since it may have
        started again meanwhile.
        """
        if self.framing is not Framing.CONNECTION:
            return False
        now_s = self._timers.now()
        if now_s - self._silence_ended_s < MIN_RESTART_S:
            self.reason = "the server or this host stood still before the end"
            return True
        behind_since_s = now_s if self._behind_since_s is None else self._behind_since_s
        if now_s - behind_since_s >= MIN_RESTART_S:
            self.reason = "the caller was slow, and the end was read late"
            return True
        listening = await check_listening(self.server.address, self._timers)
        self.reason = _LISTENING_REASONS[listening]
        return bool(self.reason)

    def _record_activity(self, is_data: bool) -> None:
        """Record that the server has sent something, or closed the connection."""
        identity, waiting_since_s = self.server.identity, self._waiting_since_s
        self._waiting_since_s = None
        self._activity.record_activity(identity, is_data)
        silence_s = self._activity.get_last_silence_s(identity, waiting_since_s)
        if silence_s >= MIN_RESTART_S:
            self._silence_ended_s = self._timers.now()

    async def _read_data(self, content: aiohttp.StreamReader) -> bytes:
        """Return the next bytes of a stream, empty at its end."""
        began_s = self._waiting_since_s = self._timers.now()
        data = await content.readany()
        if self._timers.now() - began_s >= MIN_CAUGHT_UP_S:
            self._behind_since_s = None
        self._record_activity(is_data=bool(data))
        self.received_bytes += len(data)
        return data

    def _get_first_timeout_s(self) -> float:
        """Return how long a server may be silent until its first event or response.

        Infinite if the request is not repeatable, since it can't be sent to another
        server meanwhile.
        """
        route = self._call.route
        if not route.repeatable:
            return float("inf")
        if route.kind is RequestKind.STREAM:
            return max(MIN_FIRST_EVENT_TIMEOUT_S, route.target_s)
        return max(MIN_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_FACTOR * route.target_s)

    def _get_gap_timeout_s(self) -> float:
        """Return how long a server may be silent between two events, in seconds."""
        route = self._call.route
        if not route.repeatable:
            return float("inf")
        return max(MIN_GAP_TIMEOUT_S, GAP_TIMEOUT_FACTOR * route.gap_target_s)

    def _close(self) -> None:
        """Close the connection, so that the server stops its work on the request."""
        if self._http_response is not None:
            self._http_response.close()
