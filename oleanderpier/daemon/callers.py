"""HTTP interface for callers: host addresses, chats and calls."""

from typing import Any

import msgspec
from aiohttp import web
from expression import Error, Ok, Result

from oleanderpier.claims import BackendResponse, Outcome, run_call
from oleanderpier.configuration import WorkClass
from oleanderpier.daemon.ending import make_end_failure
from oleanderpier.daemon.node import Node
from oleanderpier.daemon.permits import HeldPermit
from oleanderpier.daemon.requests import CallRequest, ChatRequest, read_request
from oleanderpier.exception import SettingsError
from oleanderpier.placement import PermitRequest
from oleanderpier.relay import (
    RelayRequest,
    relay_response,
    send_call,
    send_repeatable_call,
)
from oleanderpier.results import (
    Code,
    Failure,
    MaybeSent,
    NotSent,
    SendError,
    describe_code,
    make_refusal_body,
    make_refusal_response,
)

__all__ = ["make_caller_app"]

# Retry-After of refusals whose cause may have passed after a moment.
RETRY_AFTER_S = 1.0


def make_caller_app(node: Node) -> web.Application:
    """Return the HTTP application for callers.

    Args:
        node: The daemon that serves the requests.
    """

    async def get_addresses(request: web.Request) -> web.Response:
        hosts = node.directory.choose_hosts()
        rows = [
            {
                "host": host["name"],
                "address": host["address"],
                "port": host["caller_port"],
            }
            for host in hosts
        ]
        keep_s = node.settings["limits"]["address_keep_s"]
        return web.json_response({"addresses": rows, "keep_s": keep_s})

    async def post_chat(request: web.Request) -> web.StreamResponse:
        return await node.track_request(serve_chat(node, request))

    async def post_call(request: web.Request) -> web.StreamResponse:
        return await node.track_request(serve_call(node, request))

    async def get_call(request: web.Request) -> web.StreamResponse:
        result = await node.look_up_call(request.match_info["key"])
        return make_call_response(node, result)

    app = web.Application(client_max_size=node.settings["limits"]["max_body_bytes"])
    app.router.add_get("/v1/addresses", get_addresses)
    app.router.add_post("/v1/chats", post_chat)
    app.router.add_post("/v1/calls", post_call)
    app.router.add_get("/v1/calls/{key}", get_call)
    return app


async def serve_chat(node: Node, request: web.Request) -> web.StreamResponse:
    """Handle ``POST /v1/chats``: place the chat and stream its events back."""
    try:
        body = await read_request(ChatRequest, request)
    except SettingsError as error:
        return record_refused_request(
            node, "", Failure(Code.REQUEST_MALFORMED, str(error))
        )
    class_result = check_request(node, body, "engine")
    if class_result.is_error():
        return record_refused_request(node, body["class"], class_result.error)
    work_class = class_result.ok
    identity = node.make_request_id()
    permit_request = PermitRequest(
        identity, body["chat"], body["workspace"], work_class["name"]
    )
    started_s = node.timers.now()
    relayed = await relay_response(
        node.relay,
        request,
        RelayRequest(
            identity,
            work_class,
            body["chat"],
            body["messages"],
            body["max_tokens"],
            0,
        ),
        lambda avoid: node.permits.acquire(permit_request, avoid),
    )
    late = node.timers.now() - started_s > work_class["whole_s"]
    node.record_end(work_class["name"], relayed.code, late, identity)
    return relayed.response


async def serve_call(node: Node, request: web.Request) -> web.Response:
    """Handle ``POST /v1/calls``: run a call on a plain service."""
    try:
        body = await read_request(CallRequest, request)
    except SettingsError as error:
        # A valid request with the same key may be running on another host, so a
        # malformed body that has a key must not be reported as not run.
        has_key = b'"key"' in await request.read()
        code = Code.KEY_UNCLAIMED if has_key else Code.REQUEST_MALFORMED
        return record_refused_request(node, "", Failure(code, str(error)))
    started_s = node.timers.now()
    handler = serve_keyed_call if "key" in body else serve_repeatable_call
    result = await handler(node, body)
    work_class = node.find_class(body["class"])
    late = bool(work_class) and (
        node.timers.now() - started_s > work_class["first_token_s"]
    )
    code = result.ok.code if result.is_ok() else result.error.code
    name = work_class["name"] if work_class else ""
    node.record_end(name, code, late, body.get("key", ""))
    return make_call_response(node, result)


async def serve_repeatable_call(
    node: Node, body: CallRequest
) -> Result[Outcome, Failure]:
    """Run a repeatable call, trying further services after a failure."""
    class_result = check_request(node, body, "service")
    if class_result.is_error():
        return class_result
    work_class = class_result.ok
    if not work_class["repeatable"]:
        return Error(Failure(Code.KEY_REQUIRED, ""))
    permit_request = make_permit_request(node, body, work_class)
    response_timer = node.relay.metrics.start_response(work_class["name"])
    may_have_run = False

    async def acquire(avoid: frozenset[str]) -> Result[HeldPermit, Failure]:
        nonlocal may_have_run
        acquired = await node.permits.acquire(permit_request, avoid)
        may_have_run = may_have_run or acquired.is_ok()
        return acquired

    try:
        async with node.request_limits.limit(None):
            result = await send_repeatable_call(
                node.relay.session,
                node.timers,
                acquire,
                work_class["needs"],
                body["body"],
                work_class["first_token_s"],
            )
    except TimeoutError:
        return Error(make_end_failure(may_have_run))
    if result.is_ok():
        response_timer.record_delivery()
        response_timer.record_completion()
    return result.map(
        lambda response: Outcome(Code.DONE, msgspec.json.encode(response.body))
    )


async def serve_keyed_call(node: Node, body: CallRequest) -> Result[Outcome, Failure]:
    """Run a call with an idempotency key at most once in the fleet.

    The key is claimed before any check that can refuse the call. Until the
    claim is granted, another host may be running the same key, and a refusal
    as "not run" would be wrong.
    """
    if node.state == "starting":
        text = "this host is not ready; ask again with the same key"
        return Error(Failure(Code.CLAIM_NO_MAJORITY, text, RETRY_AFTER_S))
    work_class = node.find_class(body["class"])
    timeout_s = work_class["first_token_s"] if work_class else RETRY_AFTER_S

    async def send(remaining_s: float) -> Result[BackendResponse, SendError]:
        node.request_limits.lift(claim_limit)
        class_result = check_request(node, body, "service")
        if class_result.is_error():
            return Error(NotSent(class_result.error))
        return await send_claimed_call(node, body, class_result.ok, remaining_s)

    try:
        async with node.request_limits.limit(None) as claim_limit:
            return await run_call(node.claims, body["key"], send, timeout_s)
    except TimeoutError:
        text = "this host stops; ask another with the same key"
        return Error(Failure(Code.CLAIM_NO_MAJORITY, text, 0.0))


async def send_claimed_call(
    node: Node, body: CallRequest, work_class: WorkClass, remaining_s: float
) -> Result[BackendResponse, SendError]:
    """Send a call once, after this host was granted the claim of its key.

    Args:
        node: The daemon.
        body: The validated request.
        work_class: The class of the request.
        remaining_s: Seconds in which the call has to be sent.

    Returns:
        The body of the response; or ``NotSent`` or ``MaybeSent`` with the reason.
    """
    deadline_s = node.timers.now() + remaining_s
    permit_request = make_permit_request(node, body, work_class)
    try:
        async with node.request_limits.limit(None):
            acquired = await node.permits.acquire(permit_request)
    except TimeoutError:
        return Error(NotSent(make_end_failure(False)))
    if acquired.is_error():
        return Error(NotSent(acquired.error))
    permit = acquired.ok
    remaining_s = deadline_s - node.timers.now()
    if remaining_s <= 0:
        permit.abandon()
        return Error(NotSent(Failure(Code.TARGET_UNREACHABLE, "", RETRY_AFTER_S)))
    try:
        async with node.request_limits.limit(None):
            # The caller can look up a response that arrives after the target, so
            # the send may wait for whole_s.
            sent = await send_call(
                node.relay.session,
                node.timers,
                permit.backend_server,
                work_class["needs"],
                body["key"],
                body["body"],
                max(remaining_s, work_class["whole_s"]),
            )
    except TimeoutError:
        return Error(MaybeSent(make_end_failure(True)))
    finally:
        permit.release()
    return sent.map(
        lambda response: BackendResponse(msgspec.json.encode(response.body))
    )


def make_permit_request(
    node: Node, body: CallRequest, work_class: WorkClass
) -> PermitRequest:
    """Return the request for a permit to send a call."""
    return PermitRequest(
        node.make_request_id(), "", body["workspace"], work_class["name"]
    )


def check_request(node: Node, body: Any, kind: str) -> Result[WorkClass, Failure]:
    """Check whether this host can serve a request and return its class of work.

    Args:
        node: The daemon.
        body: The validated request.
        kind: Kind of backend server that the HTTP path uses, ``engine`` or
            ``service``.

    Returns:
        The class of work, or why the request is refused.
    """
    if node.state == "starting":
        return Error(Failure(Code.HOST_NOT_READY, "", RETRY_AFTER_S))
    if node.address_expired:
        return Error(Failure(Code.HOST_LEAVING, "", 0.0))
    if not node.has_workspace(body["workspace"]):
        text = f"no workspace {body['workspace']!r}"
        return Error(Failure(Code.WORKSPACE_UNKNOWN, text))
    work_class = node.find_class(body["class"])
    if work_class is None or work_class["kind"] != kind:
        text = f"no class {body['class']!r} of kind {kind!r}"
        return Error(Failure(Code.CLASS_UNKNOWN, text))
    return Ok(work_class)


def record_refused_request(
    node: Node, work_class: str, failure: Failure
) -> web.Response:
    """Record a request that was refused and return its response.

    Args:
        node: The daemon.
        work_class: The class of work that the request names, "" if it could not
            be read. A class outside the configuration is recorded as "", which
            bounds the number of metric labels.
        failure: Why the request is refused.
    """
    known_class = work_class if node.find_class(work_class) else ""
    node.record_end(known_class, failure.code, False, known_class)
    return make_refusal_response(failure)


def make_call_response(node: Node, result: Result[Outcome, Failure]) -> web.Response:
    """Return the response that reports the outcome of a call."""
    if result.is_error():
        return make_refusal_response(result.error)
    code, body = result.ok
    status_fields = make_refusal_body(Failure(code, ""))
    decoded_body = msgspec.json.decode(body) if body else None
    return web.json_response(
        {**status_fields, "host": node.host, "body": decoded_body},
        status=describe_code(code).http_status,
    )
