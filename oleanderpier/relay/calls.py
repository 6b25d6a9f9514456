"""Calls to plain services, whose errors say whether a call may have run."""

from functools import singledispatch
from typing import Any, NamedTuple

import aiohttp
import msgspec
from expression import Error, Ok, Result

from oleanderpier.configuration import BackendServer
from oleanderpier.relay.connections import CONNECT_TIMEOUT_S, format_url
from oleanderpier.relay.responses import AcquirePermit, Permit
from oleanderpier.results import Code, Failure, MaybeSent, NotSent, SendError
from oleanderpier.utils import Timers, limit_time

__all__ = [
    "CallResponse",
    "send_call",
    "send_repeatable_call",
]

MAX_RESPONSE_BYTES = 1 << 20
# Fraction of the remaining time for one attempt, which leaves time for another.
ATTEMPT_TIMEOUT_RATIO = 0.5
MAX_ATTEMPTS = 5
RETRY_AFTER_S = 1.0


class CallResponse(NamedTuple):
    """A service's response to a call that ran.

    Attributes:
        backend_server: The name of the service.
        body: The JSON object in the body of the HTTP response.
    """

    backend_server: str
    body: dict[str, Any]


async def send_call(
    session: aiohttp.ClientSession,
    timers: Timers,
    backend_server: BackendServer,
    operation: str,
    key: str | None,
    body: dict[str, Any],
    timeout_s: float,
) -> Result[CallResponse, SendError]:
    """Send a call at most once, over a connection of its own, without retries.

    Args:
        session: A session from ``make_session``.
        timers: The clock.
        backend_server: The service.
        operation: The operation's name.
        key: The idempotency key, or None if the call may be repeated.
        body: The call's JSON object.
        timeout_s: Timeout for the whole exchange, in seconds.

    Returns:
        The response, or an error: ``NotSent`` if no connection was made, so
        that certainly no byte was sent, else ``MaybeSent``. Any status but
        200 and any malformed body count as ``MaybeSent``.
    """
    headers = {"Content-Type": "application/json"}
    if key is not None:
        headers["Idempotency-Key"] = key
    connect_s = min(CONNECT_TIMEOUT_S, timeout_s / 2)
    try:
        async with limit_time(timers, timeout_s):
            return await _read_response(
                session.post(
                    format_url(backend_server, f"/v1/calls/{operation}"),
                    data=msgspec.json.encode(body),
                    headers=headers,
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_s),
                ),
                backend_server["name"],
            )
    except (aiohttp.ClientError, OSError) as error:
        return Error(_classify_error(error))


async def _read_response(
    request: Any, backend_server: str
) -> Result[CallResponse, SendError]:
    async with request as response:
        if response.status != 200:
            return Error(
                _make_maybe_sent(f"{backend_server} answered {response.status}")
            )
        data = b""
        while len(data) <= MAX_RESPONSE_BYTES:
            chunk = await response.content.readany()
            if not chunk:
                break
            data += chunk
    try:
        return Ok(CallResponse(backend_server, msgspec.json.decode(data, type=dict)))
    except msgspec.MsgspecError as error:
        return Error(_make_maybe_sent(f"{backend_server}: {error}"))


def _make_maybe_sent(text: str) -> MaybeSent:
    return MaybeSent(Failure(Code.ANSWER_LOST, text, RETRY_AFTER_S))


@singledispatch
def _classify_error(error: Exception) -> SendError:
    """Return whether a call that raised this error may have been sent.

    Only errors while connecting prove that it was not sent.
    """
    return _make_maybe_sent(repr(error))


@_classify_error.register(aiohttp.ClientConnectorError)
@_classify_error.register(aiohttp.ConnectionTimeoutError)
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

    Each attempt may use half of the remaining time, so that a silent service
    leaves time for another one.

    Args:
        session: A session from ``make_session``.
        timers: The clock.
        acquire_permit: Waits for a permit for a service other than those named.
        operation: The operation's name.
        body: The call's JSON object.
        timeout_s: The class's target for the response, in seconds.

    Returns:
        The response, or the failure to report. It says that the call may have
        run if any attempt may have sent it.
    """
    deadline_s = timers.now() + timeout_s
    avoid: frozenset[str] = frozenset()
    failure: Failure | None = None
    for _ in range(MAX_ATTEMPTS):
        if timers.now() >= deadline_s:
            break
        acquired = await acquire_permit(avoid)
        if acquired.is_error():
            return Error(failure or acquired.error)
        permit: Permit = acquired.ok
        try:
            attempt_timeout_s = (deadline_s - timers.now()) * ATTEMPT_TIMEOUT_RATIO
            sent = await send_call(
                session,
                timers,
                permit.backend_server,
                operation,
                None,
                body,
                attempt_timeout_s,
            )
        finally:
            permit.release()
        if sent.is_ok():
            return sent
        failure = _choose_failure(failure, sent.error)
        avoid |= {permit.backend_server["name"]}
    return Error(failure or Failure(Code.TARGET_UNREACHABLE, "", RETRY_AFTER_S))


def _choose_failure(previous: Failure | None, error: SendError) -> Failure:
    """Return the failure to report: "may have run" outweighs later failures."""
    may_have_run = previous is not None and previous.code is Code.ANSWER_LOST
    return previous if may_have_run else error.failure
