"""Runs one call that may not be repeated: claim, send once, settle."""

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
    """The whole answer of the backend server."""

    body: bytes


SendRequest = Callable[[float], Awaitable[Result[BackendResponse, SendError]]]


async def run_call(
    claims: Claims, key: str, send: SendRequest, timeout_s: float
) -> Result[Outcome, Failure]:
    """Run a call at most once in the whole fleet.

    Whatever may refuse the call as not run (admission, the choice of a backend
    server) belongs into ``send``: before the claim, a refusal would say not
    run of a key that another host may be running.

    Args:
        claims: This host's claims.
        key: The caller's key, a UUID of version 7.
        send: Sends the request once, given the seconds that are left. It
            returns ``NotSent`` only while no byte can have left. An exception
            counts as ``MaybeSent``.
        timeout_s: When the caller is answered at the latest. A send that is
            still running then goes on, and its late answer can be looked up.

    Returns:
        What became of the key, now or the first time; or why nothing is known.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    claimed = await _claim(claims, key, timeout_s)
    if claimed.is_error():
        reason = claimed.error
        return Ok(reason) if isinstance(reason, Outcome) else Error(reason)
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
    """Wait for sends that go on without their caller, before the process ends.

    Args:
        timeout_s: How long to wait at most, in seconds.

    Returns:
        How many still run; what comes of them will not be known.
    """
    if not _send_tasks:
        return 0
    _, running = await asyncio.wait(set(_send_tasks), timeout=timeout_s)
    return len(running)


async def _claim(
    claims: Claims, key: str, timeout_s: float
) -> Result[SendRight, Failure | Outcome]:
    """Wait for the claim; a right that nobody waits for is given up."""
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
    """Send and say what came of it; goes on when the caller is gone."""
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
