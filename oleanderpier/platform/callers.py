"""HTTP handlers for requests of callers, readiness checks and metrics."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

import msgspec
from aiohttp import HttpVersion11
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from eliot import log_message

from oleanderpier.connections import LINGER_RESET, ResponseRoom, has_queued_request
from oleanderpier.entry import ADDRESS_TTL_S, EntryNode
from oleanderpier.events import make_metrics_response
from oleanderpier.exception import CallerDisconnectedError
from oleanderpier.forwarding import Call, RequestOutcome, ResponseHead
from oleanderpier.platform.bodies import BodyReader
from oleanderpier.platform.dialect import (
    CREDENTIAL_HEADER,
    DEADLINE_MS_HEADER,
    PROMPT_HEADER,
    REQUEST_ID_HEADER,
    RESERVED_HEADERS,
    RESUME_AFTER_HEADER,
    filter_headers,
    read_prompt,
)
from oleanderpier.results import Code, Failure, describe_code, make_refusal_body
from oleanderpier.routing import Route
from oleanderpier.utils import Timers

__all__ = [
    "make_directory_handler",
    "make_metrics_handler",
    "make_ready_handler",
    "make_request_handler",
]

# Larger responses wait until there is room for them among those that are being sent.
LARGE_RESPONSE_BYTES = 64 << 10
RESPONSE_PART_BYTES = 256 << 10
# The longest time that they wait before others are aborted, and how often they ask.
MAX_ROOM_WAIT_S = 4.5
ROOM_CHECK_INTERVAL_S = 0.05
# The default value of SO_LINGER.
LINGER_OFF = struct.pack("ii", 0, 0)
# Upper bound of the length of an address list.
MAX_ADDRESS_COUNT = 64


class HttpCaller:
    """The caller's side of one request.

    Args:
        request: The HTTP request.
        closes: Returns whether to close the connection after a response that begins
            now.
        room: The room for large responses.
        timers: The timer service.

    Attributes:
        response: The response that the HTTP handler returns; None before one
            was started.
    """

    def __init__(
        self,
        request: BaseRequest,
        closes: Callable[[], bool],
        room: ResponseRoom,
        timers: Timers,
    ) -> None:
        self.response: StreamResponse | None = None
        self._room = room
        self._timers = timers
        # The number of the response in the room.
        self._reserved = 0
        self._body = b""
        self._request = request
        self._closes = closes

    async def begin_stream(self, head: ResponseHead) -> None:
        """Send the head of a streamed response."""
        response = StreamResponse(status=head.status, headers=head.headers)
        if self._closes():
            response.force_close()
        self.response = response
        self._set_linger(LINGER_RESET)
        with _convert_connection_errors():
            await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send a part of a streamed response's body."""
        with _convert_connection_errors():
            await self.response.write(data)

    async def finish_stream(self) -> None:
        """End a streamed response as complete."""
        self._set_linger(LINGER_OFF)
        with _convert_connection_errors():
            await self.response.write_eof()

    async def deliver(self, head: ResponseHead, body: bytes) -> None:
        """Send a response with its whole body."""
        if len(body) <= LARGE_RESPONSE_BYTES or self._request.method == "HEAD":
            self._set_response(
                Response(status=head.status, headers=head.headers, body=body)
            )
            return
        await self._reserve_room(len(body))
        response = StreamResponse(status=head.status, headers=head.headers)
        response.content_length = len(body)
        self._body = body
        self._set_response(response)

    async def _reserve_room(self, size: int) -> None:
        """Wait until there is room for a response."""
        started_s = self._timers.now()
        while not self._reserved:
            waited_s = self._timers.now() - started_s
            self._reserved = self._room.reserve(
                size,
                self._abort_slow,
                started_s + waited_s,
                forced=waited_s >= MAX_ROOM_WAIT_S,
            )
            if not self._reserved:
                await asyncio.sleep(ROOM_CHECK_INTERVAL_S)

    def _abort_slow(self) -> None:
        """Abort a response that is read too slowly."""
        log_message(
            "response:aborted",
            request=self._request.headers.get(REQUEST_ID_HEADER, ""),
            reason="others need its room",
            room_bytes=self._room.total_bytes,
        )
        self.abort()

    async def finish_large(self) -> None:
        """Send a large response to its end, and free its room.

        It is sent in parts, since aiohttp would copy it and keep it until the next
        request on the connection.
        """
        if not self._body:
            return
        view = memoryview(self._body)
        self._body = b""
        try:
            # A caller that has disconnected is noticed by the server, too.
            with contextlib.suppress(ConnectionError):
                await self.response.prepare(self._request)
                for start in range(0, len(view), RESPONSE_PART_BYTES):
                    await self.response.write(view[start : start + RESPONSE_PART_BYTES])
                    # The event loop writes at the end of its step, and only then asks
                    # to wait.
                    await asyncio.sleep(0)
                    await self._request.writer.drain()
                await self.response.write_eof()
        finally:
            self._room.release(self._reserved)

    def release_room(self) -> None:
        """Free the room of a response that is not sent."""
        self._room.release(self._reserved)

    async def refuse(self, failure: Failure) -> None:
        """Send a failure as the response."""
        headers = {"Content-Type": "application/json"}
        if failure.retry_after_s is not None:
            headers["Retry-After"] = f"{failure.retry_after_s:.3f}"
        self._set_response(
            Response(
                status=describe_code(failure.code).http_status,
                headers=headers,
                body=msgspec.json.encode(make_refusal_body(failure)),
            )
        )

    def abort(self) -> None:
        """Abort the connection, so that the response is seen to be incomplete."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    def _set_linger(self, value: bytes) -> None:
        """Set how a connection ends whose stream has no chunks.

        The end of the connection is the end of such a stream, so that only a reset
        tells the caller that it is incomplete.
        """
        transport = self._request.transport
        if self._request.version >= HttpVersion11 or transport is None:
            return
        if not transport.is_closing():
            opened = transport.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def _set_response(self, response: Response) -> None:
        if self._closes():
            response.force_close()
        self.response = response


@contextlib.contextmanager
def _convert_connection_errors():
    """Raise ``CallerDisconnectedError`` in place of a ``ConnectionError``."""
    try:
        yield
    except ConnectionError as error:
        raise CallerDisconnectedError(repr(error)) from error


def make_request_handler(node: EntryNode):
    """Return the handler of requests of callers."""

    async def handle(request: BaseRequest) -> StreamResponse:
        def closes() -> bool:
            return node.state == "draining" and not has_queued_request(request.protocol)

        caller = HttpCaller(request, closes, node.response_room, node.timers)
        reader = BodyReader(node, request)
        node.in_progress += 1
        try:
            await _serve_request(node, request, reader, caller)
        except BaseException:
            caller.release_room()
            raise
        finally:
            reader.close()
            node.in_progress -= 1
        await caller.finish_large()
        return caller.response or Response(status=500)

    return handle


def make_ready_handler(node: EntryNode):
    """Return the handler of the platform's readiness checks."""

    async def handle(request: BaseRequest) -> Response:
        return Response(status=200 if node.state == "ready" else 503)

    return handle


def make_metrics_handler(node: EntryNode):
    """Return the handler of metric scrapes."""

    async def handle(request: BaseRequest) -> Response:
        return make_metrics_response(node.metrics.registry)

    return handle


def make_directory_handler(node: EntryNode):
    """Return the handler of callers' requests for the address list."""

    async def handle(request: BaseRequest) -> Response:
        addresses = node.list_addresses()[:MAX_ADDRESS_COUNT]
        if not addresses:
            return Response(status=503)
        ttl_s = min(ADDRESS_TTL_S, node.settings.longest_keep_s)
        body = msgspec.json.encode({"Addresses": addresses, "TtlS": ttl_s})
        return Response(body=body, content_type="application/json")

    return handle


async def _serve_request(
    node: EntryNode, request: BaseRequest, reader: BodyReader, caller: HttpCaller
) -> None:
    """Validate and forward a request; log and count its end exactly once."""
    started_s = node.timers.now()
    call: Call | Failure | None = None
    try:
        call = await _read_call(node, request, reader, started_s)
        if isinstance(call, Failure):
            await caller.refuse(call)
            outcome = RequestOutcome(
                call.code, _get_http_status(call), 0, "", call.text
            )
        else:
            outcome = await node.forward(call, caller)
    except CallerDisconnectedError as error:
        outcome = RequestOutcome(Code.CALLER_LEFT, 0, 0, "", str(error))
    except asyncio.CancelledError:
        outcome = _classify_cancellation(node, request)
        _record_end(node, request, call, outcome, started_s)
        raise
    _record_end(node, request, call, outcome, started_s)


def _classify_cancellation(node: EntryNode, request: BaseRequest) -> RequestOutcome:
    """Return the end of a request whose handler was cancelled.

    Either the caller closed its connection, or this host is shutting down.
    """
    transport = request.transport
    is_closed = transport is None or transport.is_closing()
    if is_closed and not node.forwarder.limits.ended:
        return RequestOutcome(Code.CALLER_LEFT, 0, 0, "", "the connection was closed")
    return RequestOutcome(
        Code.STREAM_CUT, 0, 0, "", "this host ended before the answer"
    )


def _record_end(
    node: EntryNode,
    request: BaseRequest,
    call: Call | Failure | None,
    outcome: RequestOutcome,
    started_s: float,
) -> None:
    route = call.route if isinstance(call, Call) else None
    took_s = node.timers.now() - started_s
    draining_s = node.draining.get_elapsed_s()
    node.metrics.record_request_end(
        route and route.kind, outcome.code, took_s, outcome.stream_start_s
    )
    log_message(
        "request:end",
        request=request.headers.get(REQUEST_ID_HEADER, ""),
        host_name=request.headers.get("Host", ""),
        path=request.raw_path,
        route=route.name if route else "",
        code=int(outcome.code),
        name=outcome.code.name,
        status=outcome.status,
        sends=outcome.attempts,
        server=outcome.server,
        reason=outcome.reason,
        version=node.route_index.table.version if node.route_index else 0,
        version_age_s=round(node.get_configuration_age_s(), 3),
        first_s=None
        if outcome.stream_start_s is None
        else round(outcome.stream_start_s, 4),
        took_s=round(took_s, 4),
        draining_s=draining_s and round(draining_s, 3),
    )


def _get_http_status(failure: Failure) -> int:
    return describe_code(failure.code).http_status


async def _read_call(
    node: EntryNode, request: BaseRequest, reader: BodyReader, started_s: float
) -> Call | Failure:
    """Return the validated request, or the failure to refuse it with."""
    path = request.raw_path
    host_name = request.headers.get("Host", "").partition(":")[0].lower()
    lookup = node.find_route(host_name, path.partition("?")[0])
    if lookup.is_error():
        return lookup.error
    route: Route = lookup.ok
    workspace = node.find_workspace(route, request.headers.get(CREDENTIAL_HEADER))
    if workspace.is_error():
        return workspace.error
    time_limit_s = _read_timeout_s(request, route)
    refusal = node.draining.check_admission(route, time_limit_s)
    if refusal is not None:
        return refusal
    body = await reader.read()
    if isinstance(body, Failure):
        return body
    # The body may have come much later than the head.
    refusal = node.draining.check_admission(route, time_limit_s)
    if refusal is not None:
        return refusal
    return Call(
        identity=request.headers.get(REQUEST_ID_HEADER, ""),
        method=request.method,
        path=path,
        headers=filter_headers(request.headers.items(), RESERVED_HEADERS),
        body=body,
        route=route,
        workspace=workspace.ok,
        prompt_parts=read_prompt(request.headers.get(PROMPT_HEADER)),
        last_event_id=request.headers.get(RESUME_AFTER_HEADER),
        deadline_s=started_s + time_limit_s,
    )


def _read_timeout_s(request: BaseRequest, route: Route) -> float:
    """Return the request's time limit in seconds.

    It is the caller's, but at most the route's; the route's if the caller gave
    none or an invalid one.
    """
    try:
        timeout_s = float(request.headers.get(DEADLINE_MS_HEADER, "")) / 1000
    except ValueError:
        return route.timeout_s
    return max(0.0, min(timeout_s, route.timeout_s))
