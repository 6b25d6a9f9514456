"""One send of a request to one backend server."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import aiohttp
from expression import Error, Ok, Result
from yarl import URL

from oleanderpier.exception import MessageError
from oleanderpier.forwarding.events import EventSplitter
from oleanderpier.forwarding.records import Call, Caller, Dialect, ResponseHead
from oleanderpier.routing import AttemptOutcome, RequestKind, ServerEntry
from oleanderpier.utils import Timers

__all__ = ["Attempt", "BufferedResponse", "ServerActivity"]

MAX_ANSWER_BYTES = 16 << 20
# How often a read that waits looks whether the server has gone silent.
LOOK_S = 0.2
# A server that was silent for this long, on all of this host's connections,
# before the first event; longer if the route's target is.
LEAST_FIRST_SILENCE_S = 1.0
# The same between two events, as a multiple of the pause that is on time.
GAP_MULTIPLE = 2.0
LEAST_GAP_SILENCE_S = 0.6
# A request that may be repeated waits this multiple of its target.
SAFE_WAIT_MULTIPLE = 2.0
LEAST_SAFE_WAIT_S = 0.25


class BufferedResponse(NamedTuple):
    """A whole answer that was not streamed.

    Attributes:
        head: Its head.
        body: Its body.
    """

    head: ResponseHead
    body: bytes


class ServerActivity:
    """When each backend server was last heard, on any connection.

    Args:
        timers: The timer service.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._heard_s: dict[str, float] = {}

    def record_activity(self, identity: str) -> None:
        """Take that a server has just sent something."""
        self._heard_s[identity] = self._timers.now()

    def remove_server(self, identity: str) -> None:
        """Forget a server that is gone."""
        self._heard_s.pop(identity, None)

    def get_silence_s(self, identity: str, since_s: float) -> float:
        """Return for how long a server has been silent.

        Args:
            identity: The server.
            since_s: When something was asked of it.
        """
        heard_s = max(since_s, self._heard_s.get(identity, since_s))
        return self._timers.now() - heard_s


class Attempt:
    """One request at one server.

    Args:
        session: The HTTP client.
        dialect: The wire format of the servers.
        last_heard: When servers were last heard.
        timers: The timer service.
        call: The request.
        server: The server.
        source: From where it is to copy the prompt's shared part, if anywhere.
        may_give_up: Returns whether a silent server may be left for another.

    Attributes:
        answer: The whole answer, of a request that is not streamed.
        reason: Why it ended as it did, for the log.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        dialect: Dialect,
        last_heard: ServerActivity,
        timers: Timers,
        call: Call,
        server: ServerEntry,
        source: ServerEntry | None,
        may_give_up: Callable[[], bool],
    ) -> None:
        self.answer: BufferedResponse | None = None
        self.reason = ""
        self._session = session
        self._dialect = dialect
        self._last_heard = last_heard
        self._timers = timers
        self._call = call
        self._server = server
        self._source = source
        self._may_give_up = may_give_up
        self._response: aiohttp.ClientResponse | None = None
        self._asked_s = timers.now()

    async def run(
        self, caller: Caller, splitter: EventSplitter, begun: bool
    ) -> AttemptOutcome:
        """Send the request and bring the answer as far as it comes.

        Args:
            caller: Gets the pieces of a stream.
            splitter: Holds the events that the caller has already.
            begun: Whether the caller has the head of an answer.

        Returns:
            How it ended. The connection is closed in every case.
        """
        try:
            opened = await self._open(splitter.last_id)
            if opened.is_error():
                return opened.error
            head = opened.ok
            if self._call.route.kind is RequestKind.STREAM and head.status == 200:
                return await self._stream(head, caller, splitter, begun)
            if begun:
                self.reason = f"no stream to go on with, status {head.status}"
                return AttemptOutcome.CUT
            return await self._read_whole(head)
        finally:
            self._close()

    async def _open(self, last_id: str | None) -> Result[ResponseHead, AttemptOutcome]:
        """Send the request and wait for the head of the answer."""
        call, server = self._call, self._server
        left_s = call.deadline_s - self._timers.now()
        headers = self._dialect.format_request(
            call, server, left_s, last_id or call.last_event_id, self._source
        )
        url = URL(f"http://{server.address}{call.path}", encoded=True)
        self._asked_s = self._timers.now()
        task = asyncio.ensure_future(
            self._session.request(
                call.method,
                url,
                headers=headers,
                data=call.body or (b"" if call.method == "POST" else None),
                allow_redirects=False,
            )
        )
        try:
            await self._wait(task, self._get_first_limit_s())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self.reason = repr(error)
            return Error(AttemptOutcome.UNREACHED)
        except TimeoutError:
            self.reason = "no answer"
            return Error(AttemptOutcome.SILENT)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self.reason = repr(error)
            return Error(AttemptOutcome.LOST)
        self._response = task.result()
        self._last_heard.record_activity(server.identity)
        return self._judge_head()

    async def _wait(self, task: asyncio.Future, limit_s: float) -> None:
        """Wait for the head, as long as the server is not taken for silent.

        Raises:
            TimeoutError: It is.
        """
        try:
            while True:
                done, _ = await asyncio.wait({task}, timeout=LOOK_S)
                if done:
                    await task
                    return
                if self._is_silent(limit_s):
                    raise TimeoutError
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait({task})
            if not task.cancelled() and task.exception() is None:
                self._response = task.result()

    def _judge_head(self) -> Result[ResponseHead, AttemptOutcome]:
        response = self._response
        head = self._dialect.read_response_head(
            self._call, response.status, response.raw_headers
        )
        if head.not_run:
            self.reason = f"not run, status {head.status}"
            return Error(AttemptOutcome.NOT_RUN)
        if not head.whole or (200 <= head.status < 300 and not head.signed):
            self.reason = f"not an answer to this request, status {head.status}"
            return Error(AttemptOutcome.LOST)
        return Ok(head)

    async def _read_whole(self, head: ResponseHead) -> AttemptOutcome:
        """Read an answer that is delivered at once."""
        try:
            body = await self._response.content.read(MAX_ANSWER_BYTES)
            while data := await self._response.content.read(MAX_ANSWER_BYTES):
                body += data
                if len(body) > MAX_ANSWER_BYTES:
                    raise MessageError(f"more than {MAX_ANSWER_BYTES} bytes")
        except (aiohttp.ClientError, OSError, MessageError) as error:
            self.reason = repr(error)
            return AttemptOutcome.LOST
        self._last_heard.record_activity(self._server.identity)
        self.answer = BufferedResponse(head, body)
        return AttemptOutcome.FAILED if head.status >= 500 else AttemptOutcome.DELIVERED

    async def _stream(
        self, head: ResponseHead, caller: Caller, splitter: EventSplitter, begun: bool
    ) -> AttemptOutcome:
        """Pass whole events on as they come."""
        content = self._response.content
        limit_s = self._get_first_limit_s()
        self._asked_s = self._timers.now()
        try:
            while True:
                data = await self._read(content, limit_s)
                if not data:
                    break
                ready = splitter.feed(data)
                limit_s = self._get_gap_limit_s()
                if not ready:
                    continue
                if not begun:
                    await caller.begin_stream(head)
                    begun = True
                await caller.write(ready)
        except TimeoutError:
            self.reason = f"silent after event {splitter.last_id}"
            return AttemptOutcome.SILENT
        except (aiohttp.ClientError, MessageError) as error:
            self.reason = f"{error!r} after event {splitter.last_id}"
            return AttemptOutcome.CUT
        if not begun:
            await caller.begin_stream(head)
        if splitter.rest:
            await caller.write(splitter.rest)
        await caller.finish_stream()
        return AttemptOutcome.DELIVERED

    async def _read(self, content: aiohttp.StreamReader, limit_s: float) -> bytes:
        """Return the next bytes.

        Raises:
            TimeoutError: The server is silent, and may be left.
        """
        while True:
            try:
                async with asyncio.timeout(LOOK_S):
                    data = await content.readany()
            except TimeoutError:
                if self._is_silent(limit_s):
                    raise
                continue
            self._asked_s = self._timers.now()
            self._last_heard.record_activity(self._server.identity)
            return data

    def _is_silent(self, limit_s: float) -> bool:
        silence_s = self._last_heard.get_silence_s(self._server.identity, self._asked_s)
        return silence_s >= limit_s and self._may_give_up()

    def _get_first_limit_s(self) -> float:
        """Return how long a server may take for its first sign."""
        route = self._call.route
        if not route.repeatable:
            return float("inf")
        if route.kind is RequestKind.STREAM:
            return max(LEAST_FIRST_SILENCE_S, route.target_s)
        return max(LEAST_SAFE_WAIT_S, SAFE_WAIT_MULTIPLE * route.target_s)

    def _get_gap_limit_s(self) -> float:
        """Return how long a server may be silent between two events."""
        route = self._call.route
        if not route.repeatable:
            return float("inf")
        return max(LEAST_GAP_SILENCE_S, GAP_MULTIPLE * route.gap_target_s)

    def _close(self) -> None:
        """Close the connection, so that the server ends its work."""
        if self._response is not None:
            self._response.close()
