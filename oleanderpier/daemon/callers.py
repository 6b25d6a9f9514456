"""The callers' interface: addresses, chats and calls."""

import json
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web
from expression import Error, Ok

from oleanderpier.claims import Answer, NotSent, Unknown, run_call
from oleanderpier.daemon.requests import (
    CallRequest,
    ChatRequest,
    make_refusal,
    read_request,
    refuse_request,
)
from oleanderpier.exception import SettingsError
from oleanderpier.results import Code, Failure, describe_code

if TYPE_CHECKING:
    from oleanderpier.daemon.node import Node

__all__ = ["make_caller_app"]

RETRY_AFTER_S = 1.0


def make_caller_app(node: "Node") -> web.Application:
    """Return the HTTP application that callers use.

    Args:
        node: The daemon that serves them.
    """

    @web.middleware
    async def count_request(request: web.Request, handler: Any) -> web.StreamResponse:
        node.in_progress += 1
        try:
            return await handler(request)
        finally:
            node.in_progress -= 1

    async def get_addresses(request: web.Request) -> web.Response:
        hosts = node.choose_addresses(request.query.get("workspace", ""))
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
        return await serve_chat(node, request)

    async def post_call(request: web.Request) -> web.Response:
        return await serve_call(node, request)

    app = web.Application(
        client_max_size=node.settings["limits"]["max_body_bytes"],
        middlewares=[count_request],
    )
    app.router.add_get("/v1/addresses", get_addresses)
    app.router.add_post("/v1/chats", post_chat)
    app.router.add_post("/v1/calls", post_call)
    return app


async def serve_chat(node: "Node", request: web.Request) -> web.StreamResponse:
    """Answer ``POST /v1/chats`` with a stream of events."""
    try:
        body = await read_request(ChatRequest, request)
    except SettingsError as error:
        return refuse_request(Failure(Code.REQUEST_MALFORMED, str(error)))
    failure = check_names(node, body)
    if failure is not None:
        return refuse_request(failure)
    work_class = node.find_class(body["class"])
    server = node.choose_backend_server(work_class, body["chat"])
    if server is None:
        return refuse_request(Failure(Code.NO_BACKEND_SERVER, "", RETRY_AFTER_S))
    identity = f"{node.host}-{node.rng.getrandbits(64):016x}"
    order = {
        "request": identity,
        "chat": body["chat"],
        "model": work_class["needs"],
        "messages": body["messages"],
        "offset": 0,
        "max_tokens": body["max_tokens"],
        "priority": 0,
    }
    url = f"http://{server['address']}:{server['port']}/v1/generate"
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    node.in_flight[server["name"]] += 1
    try:
        async with node.session.post(url, json=order) as answer:
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
    except aiohttp.ClientError as error:
        failure = Failure(Code.STREAM_CUT, repr(error), RETRY_AFTER_S)
        if not response.prepared:
            return refuse_request(failure)
        event = f"event: failed\ndata: {json.dumps(make_refusal(failure))}\n\n"
        await response.write(event.encode())
    finally:
        node.in_flight[server["name"]] -= 1
    return response


async def serve_call(node: "Node", request: web.Request) -> web.Response:
    """Answer ``POST /v1/calls`` from a plain service."""
    try:
        body = await read_request(CallRequest, request)
    except SettingsError as error:
        return refuse_request(Failure(Code.REQUEST_MALFORMED, str(error)))
    failure = check_names(node, body)
    if failure is not None:
        return refuse_request(failure)
    work_class = node.find_class(body["class"])
    if work_class["repeatable"]:
        result = await send_once(node, work_class, body)
        result = result.map_error(lambda error: error.failure)
    else:
        if "key" not in body:
            return refuse_request(Failure(Code.KEY_REQUIRED, ""))
        result = await run_call(
            node.claims,
            body["key"],
            lambda left_s: send_once(node, work_class, body),
            work_class["first_token_s"],
        )
    if result.is_error():
        return refuse_request(result.error)
    outcome = result.ok
    code = getattr(outcome, "code", Code.DONE)
    told = make_refusal(Failure(code, ""))
    value = json.loads(outcome.body) if outcome.body else None
    return web.json_response(
        {**told, "host": node.host, "body": value},
        status=describe_code(code).http_status,
    )


async def send_once(node: "Node", work_class: Any, body: Any) -> Any:
    """Send a call to a plain service, once."""
    server = node.choose_backend_server(work_class, body["workspace"])
    if server is None:
        failure = Failure(Code.NO_BACKEND_SERVER, "", RETRY_AFTER_S)
        return Error(NotSent(failure))
    url = f"http://{server['address']}:{server['port']}/v1/calls/{work_class['needs']}"
    headers = {"Idempotency-Key": body["key"]} if "key" in body else {}
    try:
        async with node.session.post(url, json=body["body"], headers=headers) as answer:
            return Ok(Answer(await answer.read()))
    except aiohttp.ClientError as error:
        return Error(Unknown(Failure(Code.ANSWER_LOST, repr(error), RETRY_AFTER_S)))


def check_names(node: "Node", body: Any) -> Failure | None:
    """Return why a request names something that the fleet does not have."""
    if node.state == "starting":
        return Failure(Code.HOST_NOT_READY, "", RETRY_AFTER_S)
    if not node.has_workspace(body["workspace"]):
        return Failure(Code.WORKSPACE_UNKNOWN, f"no workspace {body['workspace']!r}")
    if node.find_class(body["class"]) is None:
        return Failure(Code.CLASS_UNKNOWN, f"no class {body['class']!r}")
    return None
