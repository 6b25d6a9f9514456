"""Calls to plain services: what was certainly not sent, and what may have run."""

import asyncio
from functools import singledispatch
from typing import Any, NamedTuple

import aiohttp
import msgspec
from expression import Error, Ok, Result

from oleanderpier.configuration import BackendServer
from oleanderpier.relay.connections import CONNECT_TIMEOUT_S, format_url
from oleanderpier.relay.responses import AcquirePermit, Permit
from oleanderpier.results import Code, Failure, MaybeSent, NotSent, SendError
from oleanderpier.utils import Timers

__all__ = [
    "CallResponse",
    "send_call",
    "send_repeatable_call",
]

MAX_ANSWER_BYTES = 1 << 20
ATTEMPT_SHARE = 0.5
MAX_ATTEMPTS = 5
RETRY_AFTER_S = 1.0


class CallResponse(NamedTuple):
    """A service's answer to a call that ran.

    Attributes:
        backend_server: The name of the service.
        body: The JSON object that it answered with.
    """

    backend_server: str
    body: dict[str, Any]


async def send_call(
    session: aiohttp.ClientSession,
    backend_server: BackendServer,
    operation: str,
    key: str | None,
    body: dict[str, Any],
    timeout_s: float,
) -> Result[CallResponse, SendError]:
    """Send a call once, over a connection of its own, and never again.

    Args:
        session: A session from ``make_session``.
        backend_server: The service.
        operation: The operation's name.
        key: The idempotency key, or None where the call may be repeated.
        body: The call's JSON object.
        timeout_s: How long to wait for the answer, in seconds.

    Returns:
        The answer, or an error that tells whether a byte may have left. Any
        status but 200 counts as "may have been sent".
    """
    headers = {"Content-Type": "application/json"}
    if key is not None:
        headers["Idempotency-Key"] = key
    connect_s = min(CONNECT_TIMEOUT_S, timeout_s / 2)
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(
                session.post(
                    format_url(backend_server, f"/v1/calls/{operation}"),
                    data=msgspec.json.encode(body),
                    headers=headers,
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(total=None, connect=connect_s),
                ),
                backend_server["name"],
            )
    except (aiohttp.ClientError, OSError) as error:
        return Error(_classify(error))


async def _exchange(
    request: Any, backend_server: str
) -> Result[CallResponse, SendError]:
    async with request as answer:
        if answer.status != 200:
            return Error(_lose_answer(f"{backend_server} answered {answer.status}"))
        data = b""
        while len(data) <= MAX_ANSWER_BYTES:
            chunk = await answer.content.readany()
            if not chunk:
                break
            data += chunk
    try:
        return Ok(CallResponse(backend_server, msgspec.json.decode(data, type=dict)))
    except msgspec.MsgspecError as error:
        return Error(_lose_answer(f"{backend_server}: {error}"))


def _lose_answer(text: str) -> MaybeSent:
    return MaybeSent(Failure(Code.ANSWER_LOST, text, RETRY_AFTER_S))


@singledispatch
def _classify(error: Exception) -> SendError:
    """Return what an error says of the call; in doubt it may have been sent."""
    return _lose_answer(repr(error))


@_classify.register(aiohttp.ClientConnectorError)
@_classify.register(aiohttp.ConnectionTimeoutError)
def _(error: Exception) -> SendError:
    return NotSent(Failure(Code.NO_BACKEND_SERVER, repr(error), RETRY_AFTER_S))


async def send_repeatable_call(
    session: aiohttp.ClientSession,
    timers: Timers,
    acquire_permit: AcquirePermit,
    operation: str,
    body: dict[str, Any],
    timeout_s: float,
) -> Result[CallResponse, Failure]:
    """Send a call that may be repeated, to one service after another.

    Each attempt may use half of the time that is left, so that a silent
    service leaves time for another one.

    Args:
        session: A session from ``make_session``.
        timers: The clock.
        acquire_permit: Asks for the right to use a service, avoiding some by name.
        operation: The operation's name.
        body: The call's JSON object.
        timeout_s: The target for the answer, in seconds.

    Returns:
        The answer, or why there is none.
    """
    deadline = timers.now() + timeout_s
    avoid: frozenset[str] = frozenset()
    failure: Failure | None = None
    for _ in range(MAX_ATTEMPTS):
        if timers.now() >= deadline:
            break
        placed = await acquire_permit(avoid)
        if placed.is_error():
            return Error(failure or placed.error)
        permit: Permit = placed.ok
        try:
            attempt_s = (deadline - timers.now()) * ATTEMPT_SHARE
            sent = await send_call(
                session, permit.backend_server, operation, None, body, attempt_s
            )
        finally:
            permit.release()
        if sent.is_ok():
            return sent
        failure = _worse(failure, sent.error)
        avoid |= {permit.backend_server["name"]}
    return Error(failure or Failure(Code.TARGET_UNREACHABLE, "", RETRY_AFTER_S))


def _worse(before: Failure | None, error: SendError) -> Failure:
    """Return the failure to tell of: once sent, a call may have run."""
    keep = before is not None and before.code is Code.ANSWER_LOST
    return before if keep else error.failure
