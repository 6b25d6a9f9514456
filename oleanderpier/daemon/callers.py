"""The callers' interface: addresses, chats and calls."""

from typing import Any

import msgspec
from aiohttp import web
from expression import Error, Ok, Result

from oleanderpier.claims import Answer, Outcome, run_call
from oleanderpier.configuration import WorkClass
from oleanderpier.daemon.node import Node
from oleanderpier.daemon.requests import CallRequest, ChatRequest, read_request
from oleanderpier.exception import SettingsError
from oleanderpier.placement import PermitRequest
from oleanderpier.relay import (
    AnswerRequest,
    relay_answer,
    repeat_call,
    send_call,
)
from oleanderpier.results import (
    Code,
    Failure,
    NotSent,
    SendError,
    describe_code,
    make_refusal_body,
    make_refusal_response,
)

__all__ = ["make_caller_app"]

RETRY_AFTER_S = 1.0


def make_caller_app(node: Node) -> web.Application:
    """Return the HTTP application that callers use.

    Args:
        node: The daemon that serves them.
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
        return answer_call(node, result)

    app = web.Application(client_max_size=node.settings["limits"]["max_body_bytes"])
    app.router.add_get("/v1/addresses", get_addresses)
    app.router.add_post("/v1/chats", post_chat)
    app.router.add_post("/v1/calls", post_call)
    app.router.add_get("/v1/calls/{key}", get_call)
    return app


async def serve_chat(node: Node, request: web.Request) -> web.StreamResponse:
    """Answer ``POST /v1/chats`` with a stream of events."""
    try:
        body = await read_request(ChatRequest, request)
    except SettingsError as error:
        return refuse(node, "", Failure(Code.REQUEST_MALFORMED, str(error)))
    checked = check_request(node, body, "engine")
    if checked.is_error():
        return refuse(node, body["class"], checked.error)
    work_class = checked.ok
    identity = node.make_identity()
    place = PermitRequest(identity, body["chat"], body["workspace"], work_class["name"])
    began_s = node.timers.now()
    relayed = await relay_answer(
        node.relay,
        request,
        AnswerRequest(
            identity,
            work_class,
            body["chat"],
            body["messages"],
            body["max_tokens"],
            0,
        ),
        lambda avoid: node.permits.acquire(place, avoid),
    )
    late = node.timers.now() - began_s > work_class["whole_s"]
    node.record_end(work_class["name"], relayed.code, late, identity)
    return relayed.response


async def serve_call(node: Node, request: web.Request) -> web.Response:
    """Answer ``POST /v1/calls`` from a plain service."""
    try:
        body = await read_request(CallRequest, request)
    except SettingsError as error:
        # Another host may run the same key with a sound body.
        has_key = b'"key"' in await request.read()
        code = Code.KEY_UNCLAIMED if has_key else Code.REQUEST_MALFORMED
        return refuse(node, "", Failure(code, str(error)))
    began_s = node.timers.now()
    serve = serve_once if "key" in body else serve_repeatable
    result = await serve(node, body)
    work_class = node.find_class(body["class"])
    late = bool(work_class) and (
        node.timers.now() - began_s > work_class["first_token_s"]
    )
    code = result.ok.code if result.is_ok() else result.error.code
    name = work_class["name"] if work_class else ""
    node.record_end(name, code, late, body.get("key", ""))
    return answer_call(node, result)


async def serve_repeatable(node: Node, body: CallRequest) -> Result[Outcome, Failure]:
    """Run a call that may be repeated, on one service after another."""
    checked = check_request(node, body, "service")
    if checked.is_error():
        return checked
    work_class = checked.ok
    if not work_class["repeatable"]:
        return Error(Failure(Code.KEY_REQUIRED, ""))
    place = make_place(node, body, work_class)
    times = node.relay.measures.start_answer(work_class["name"])
    result = await repeat_call(
        node.relay.session,
        node.timers,
        lambda avoid: node.permits.acquire(place, avoid),
        work_class["needs"],
        body["body"],
        work_class["first_token_s"],
    )
    if result.is_ok():
        times.mark_delivery()
        times.finish()
    return result.map(
        lambda answer: Outcome(Code.DONE, msgspec.json.encode(answer.body))
    )


async def serve_once(node: Node, body: CallRequest) -> Result[Outcome, Failure]:
    """Run a call at most once.

    Whatever refuses it does so after the claim: before, another host might
    be running the same key, and "not run" would be false.
    """
    if node.state == "starting":
        text = "this host is not ready; ask again with the same key"
        return Error(Failure(Code.CLAIM_NO_MAJORITY, text, RETRY_AFTER_S))
    known = node.find_class(body["class"])
    timeout_s = known["first_token_s"] if known else RETRY_AFTER_S

    async def send(left_s: float) -> Result[Answer, SendError]:
        checked = check_request(node, body, "service")
        if checked.is_error():
            return Error(NotSent(checked.error))
        return await send_claimed(node, body, checked.ok, left_s)

    return await run_call(node.claims, body["key"], send, timeout_s)


async def send_claimed(
    node: Node, body: CallRequest, work_class: WorkClass, left_s: float
) -> Result[Answer, SendError]:
    """Send a call whose key this host holds, once."""
    deadline_s = node.timers.now() + left_s
    placed = await node.permits.acquire(make_place(node, body, work_class))
    if placed.is_error():
        return Error(NotSent(placed.error))
    permit = placed.ok
    left_s = deadline_s - node.timers.now()
    if left_s <= 0:
        permit.abandon()
        return Error(NotSent(Failure(Code.TARGET_UNREACHABLE, "", RETRY_AFTER_S)))
    try:
        # A late answer can still be looked up; whole_s bounds the wait for it.
        sent = await send_call(
            node.relay.session,
            permit.backend_server,
            work_class["needs"],
            body["key"],
            body["body"],
            max(left_s, work_class["whole_s"]),
        )
    finally:
        permit.release()
    return sent.map(lambda answer: Answer(msgspec.json.encode(answer.body)))


def make_place(node: Node, body: CallRequest, work_class: WorkClass) -> PermitRequest:
    """Return what the placement is asked for a call."""
    return PermitRequest(
        node.make_identity(), "", body["workspace"], work_class["name"]
    )


def check_request(node: Node, body: Any, kind: str) -> Result[WorkClass, Failure]:
    """Return a request's class, or why the request is refused.

    Args:
        node: The daemon.
        body: The checked request.
        kind: Which kind of backend server the interface is for.
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


def refuse(node: Node, work_class: str, failure: Failure) -> web.Response:
    """Count a refusal and return the answer that tells of it."""
    known = work_class if node.find_class(work_class) else ""
    node.record_end(known, failure.code, False, known)
    return make_refusal_response(failure)


def answer_call(node: Node, result: Result[Outcome, Failure]) -> web.Response:
    """Return the answer that tells what became of a call."""
    if result.is_error():
        return make_refusal_response(result.error)
    code, body = result.ok
    told = make_refusal_body(Failure(code, ""))
    value = msgspec.json.decode(body) if body else None
    return web.json_response(
        {**told, "host": node.host, "body": value},
        status=describe_code(code).http_status,
    )
