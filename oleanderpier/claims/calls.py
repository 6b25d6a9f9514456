"""Runs one call that must not be repeated: claims its key, sends once, settles."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from eliot import log_message
from expression import Error, Ok, Result

from oleanderpier.claims.claims import Claims
from oleanderpier.claims.key_states import Outcome, SendRight
from oleanderpier.results import Code, Failure, MaybeSent, NotSent, SendError

__all__ = ["BackendResponse", "SendRequest", "finish_calls", "run_call"]

_send_tasks: set[asyncio.Task] = set()


class BackendResponse(NamedTuple):
    """The whole response of the backend server.

    Attributes:
        body: Its body.
    """

    body: bytes


SendRequest = Callable[[float], Awaitable[Result[BackendResponse, SendError]]]


async def run_call(
    claims: Claims, key: str, send: SendRequest, timeout_s: float
) -> Result[Outcome, Failure]:
    """Run a call at most once in the whole fleet.

    Every step that may refuse the call as not run, such as admission or the choice
    of a backend server, belongs into ``send``. If such a step came before the claim,
    it could report "not run" for a key whose request runs on another host.

    Args:
        claims: This host's claims.
        key: The caller's key, a UUID of version 7.
        send: Sends the request once, given the seconds that are left. It must
            return ``NotSent`` only if no byte can have been sent. An exception
            counts as ``MaybeSent``.
        timeout_s: Time limit of the reply to the caller, in seconds. If the send
            still runs then, it continues, and its late result can be looked up.

    Returns:
        The outcome of this call or of an earlier one with the key, or the failure
        if there is no outcome.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    claimed = await _claim(claims, key, timeout_s)
    if claimed.is_error():
        error = claimed.error
        return Ok(error) if isinstance(error, Outcome) else Error(error)
    right = claimed.ok
    left_s = deadline_s - loop.time()
    if left_s <= 0:
        claims.void(right)
        return Error(Failure(Code.TARGET_UNREACHABLE, "the claim took too long", 0.0))
    task = asyncio.ensure_future(_send_once(claims, right, send, left_s))
    _send_tasks.add(task)
    task.add_done_callback(_send_tasks.discard)
    done, _ = await asyncio.wait({task}, timeout=left_s)
    if done:
        return task.result()
    late = Failure(Code.TARGET_MISSED, "no answer within the target", timeout_s)
    claims.settle(right, late.code, b"")
    return Error(late)


async def finish_calls(timeout_s: float) -> int:
    """Wait for running sends, also those without a caller, before the process ends.

    Args:
        timeout_s: Longest wait, in seconds.

    Returns:
        Number of sends that still run; their results will stay unknown.
    """
    if not _send_tasks:
        return 0
    _, running = await asyncio.wait(set(_send_tasks), timeout=timeout_s)
    return len(running)


async def _claim(
    claims: Claims, key: str, timeout_s: float
) -> Result[SendRight, Failure | Outcome]:
    """Claim a key and wait; give up a right that is won after a cancellation."""
    future = asyncio.get_running_loop().create_future()

    def notify(result: Result[SendRight, Failure | Outcome]) -> None:
        if not future.done():
            future.set_result(result)
        elif result.is_ok():
            claims.void(result.ok)

    claims.claim(key, timeout_s, notify)
    try:
        return await future
    except asyncio.CancelledError:
        if future.done() and not future.cancelled() and future.result().is_ok():
            claims.void(future.result().ok)
        raise


async def _send_once(
    claims: Claims, right: SendRight, send: SendRequest, left_s: float
) -> Result[Outcome, Failure]:
    """Send the request and record its result.

    Runs as a task of its own, so it continues when the caller has left.
    """
    try:
        sent = await send(left_s)
    except Exception as error:
        log_message("claims:send_raised", reason=repr(error))
        sent = Error(MaybeSent(Failure(Code.ANSWER_LOST, "the send failed", 0.0)))
    if sent.is_ok():
        claims.settle(right, Code.DONE, sent.ok.body)
        return Ok(Outcome(Code.DONE, sent.ok.body))
    if isinstance(sent.error, NotSent):
        claims.void(right)
    else:
        claims.settle(right, sent.error.failure.code, b"")
    return Error(sent.error.failure)
