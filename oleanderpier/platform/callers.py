"""What callers and the platform ask of this host, over HTTP."""

import asyncio
import contextlib

import msgspec
from aiohttp import web
from aiohttp.web_request import BaseRequest
from eliot import log_message

from oleanderpier.entry import ADDRESS_KEEP_S, EntryNode
from oleanderpier.events import make_metrics_response
from oleanderpier.exception import CallerDisconnectedError
from oleanderpier.forwarding import AnswerHead, Call, RequestEnd
from oleanderpier.platform.dialect import (
    CREDENTIAL,
    DEADLINE_MS,
    OWN_HEADERS,
    PROMPT,
    REQUEST_ID,
    RESUME_AFTER,
    keep_headers,
    read_prompt,
)
from oleanderpier.results import Code, Failure, describe_code, make_refusal
from oleanderpier.routing import Route

__all__ = [
    "make_directory_handler",
    "make_front_handler",
    "make_metrics_handler",
    "make_ready_handler",
]

# The largest body taken before a configuration says otherwise.
MAX_BODY_BYTES = 4 << 20
# A body that is not there by then is given up.
BODY_TIMEOUT_S = 10.0
MOST_ADDRESSES = 64


class HttpCaller:
    """The caller's side of one request.

    Args:
        request: The HTTP request.
        closes: Whether the connection ends with the answer.

    Attributes:
        response: What the HTTP handler returns in the end.
    """

    def __init__(self, request: BaseRequest, closes: bool) -> None:
        self.response: web.StreamResponse | None = None
        self._request = request
        self._closes = closes

    async def begin(self, head: AnswerHead) -> None:
        """Send the head of an answer that comes piece by piece."""
        response = web.StreamResponse(status=head.status, headers=head.headers)
        if self._closes:
            response.force_close()
        self.response = response
        with _translate_loss():
            await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send a piece."""
        with _translate_loss():
            await self.response.write(data)

    async def finish(self) -> None:
        """End the answer as a whole one."""
        with _translate_loss():
            await self.response.write_eof()

    async def deliver(self, head: AnswerHead, body: bytes) -> None:
        """Send a whole answer at once."""
        self._set(web.Response(status=head.status, headers=head.headers, body=body))

    async def refuse(self, failure: Failure) -> None:
        """Send the final answer of a request that brought none."""
        headers = {"Content-Type": "application/json"}
        if failure.retry_after_s is not None:
            headers["Retry-After"] = f"{failure.retry_after_s:.3f}"
        self._set(
            web.Response(
                status=describe_code(failure.code).http_status,
                headers=headers,
                body=msgspec.json.encode(make_refusal(failure)),
            )
        )

    def abort(self) -> None:
        """Break the connection, so that the answer does not look whole."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    def _set(self, response: web.Response) -> None:
        if self._closes:
            response.force_close()
        self.response = response


@contextlib.contextmanager
def _translate_loss():
    """Raise ``CallerDisconnectedError`` where the caller's connection is gone."""
    try:
        yield
    except ConnectionError as error:
        raise CallerDisconnectedError(repr(error)) from error


def make_front_handler(node: EntryNode):
    """Return the handler of callers' requests."""

    async def handle(request: BaseRequest) -> web.StreamResponse:
        caller = HttpCaller(request, closes=node.state == "draining")
        node.in_progress += 1
        try:
            await _serve(node, request, caller)
        finally:
            node.in_progress -= 1
        return caller.response or web.Response(status=500)

    return handle


def make_ready_handler(node: EntryNode):
    """Return the handler of the platform's readiness checks."""

    async def handle(request: BaseRequest) -> web.Response:
        return web.Response(status=200 if node.state == "ready" else 503)

    return handle


def make_metrics_handler(node: EntryNode):
    """Return the handler of calls for metrics."""

    async def handle(request: BaseRequest) -> web.Response:
        return make_metrics_response(node.metrics.registry)

    return handle


def make_directory_handler(node: EntryNode):
    """Return the handler of callers' questions for addresses."""

    async def handle(request: BaseRequest) -> web.Response:
        addresses = node.list_addresses()[:MOST_ADDRESSES]
        if not addresses:
            return web.Response(status=503)
        keep_s = min(ADDRESS_KEEP_S, node.settings.longest_keep_s)
        body = msgspec.json.encode({"Addresses": addresses, "TtlS": keep_s})
        return web.Response(body=body, content_type="application/json")

    return handle


async def _serve(node: EntryNode, request: BaseRequest, caller: HttpCaller) -> None:
    """Check a request, forward it, and log and count its end once."""
    began_s = node.timers.now()
    call: Call | Failure | None = None
    try:
        call = await _read_call(node, request, began_s)
        if isinstance(call, Failure):
            await caller.refuse(call)
            ended = RequestEnd(call.code, _find_status(call), 0, "", call.text)
        else:
            ended = await node.forwarder.forward(call, caller)
    except CallerDisconnectedError as error:
        ended = RequestEnd(Code.CALLER_LEFT, 0, 0, "", str(error))
    except asyncio.CancelledError:
        ended = _judge_cancellation(request)
        _note_end(node, request, call, ended, began_s)
        raise
    _note_end(node, request, call, ended, began_s)


def _judge_cancellation(request: BaseRequest) -> RequestEnd:
    """Return why a request's handler was cancelled."""
    transport = request.transport
    if transport is None or transport.is_closing():
        return RequestEnd(Code.CALLER_LEFT, 0, 0, "", "the connection was closed")
    return RequestEnd(Code.STREAM_CUT, 0, 0, "", "this host ended before the answer")


def _note_end(
    node: EntryNode,
    request: BaseRequest,
    call: Call | Failure | None,
    ended: RequestEnd,
    began_s: float,
) -> None:
    route = call.route if isinstance(call, Call) else None
    took_s = node.timers.now() - began_s
    node.metrics.count_end(route and route.kind, ended.code, took_s, ended.first_s)
    log_message(
        "request:end",
        request=request.headers.get(REQUEST_ID, ""),
        host_name=request.headers.get("Host", ""),
        path=request.raw_path,
        route=route.name if route else "",
        code=int(ended.code),
        name=ended.code.name,
        status=ended.status,
        sends=ended.sends,
        server=ended.server,
        reason=ended.text,
        version=node.index.table.version if node.index else 0,
        version_age_s=round(node.get_configuration_age_s(), 3),
        first_s=None if ended.first_s is None else round(ended.first_s, 4),
        took_s=round(took_s, 4),
    )


def _find_status(failure: Failure) -> int:
    return describe_code(failure.code).http_status


async def _read_call(
    node: EntryNode, request: BaseRequest, began_s: float
) -> Call | Failure:
    """Return the checked request, or why it is refused."""
    path = request.raw_path
    host_name = request.headers.get("Host", "").partition(":")[0].lower()
    found = node.find_route(host_name, path.partition("?")[0])
    if found.is_error():
        return found.error
    route: Route = found.ok
    workspace = node.find_workspace(route, request.headers.get(CREDENTIAL))
    if workspace.is_error():
        return workspace.error
    refused = node.admit(route)
    if refused is not None:
        return refused
    body = await _read_body(node, request)
    if isinstance(body, Failure):
        return body
    return Call(
        identity=request.headers.get(REQUEST_ID, ""),
        method=request.method,
        path=path,
        headers=keep_headers(request.headers.items(), OWN_HEADERS),
        body=body,
        route=route,
        workspace=workspace.ok,
        prompt=read_prompt(request.headers.get(PROMPT)),
        resume_after=request.headers.get(RESUME_AFTER),
        deadline_s=began_s + _read_wait_s(request, route),
    )


def _read_wait_s(request: BaseRequest, route: Route) -> float:
    """Return for how many seconds the caller may be kept waiting."""
    try:
        wait_s = float(request.headers.get(DEADLINE_MS, "")) / 1000
    except ValueError:
        return route.timeout_s
    return max(0.0, min(wait_s, route.timeout_s))


async def _read_body(node: EntryNode, request: BaseRequest) -> bytes | Failure:
    """Return the whole body."""
    limit = node.index.table.limits.max_body_bytes or MAX_BODY_BYTES
    if not request.can_read_body:
        return b""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0
    parts, size = [], 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            while data := await request.content.readany():
                size += len(data)
                if size > limit:
                    return Failure(Code.BODY_TOO_LARGE, f"over {limit} bytes")
                parts.append(data)
    except TimeoutError:
        return Failure(Code.REQUEST_INCOMPLETE, f"{size} bytes came")
    return b"".join(parts)
