"""Calls to plain services, whose errors say whether a call may have run."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import singledispatch
from typing import Any, NamedTuple

import aiohttp
import msgspec
from expression import Error, Ok, Result

from oleanderpier.configuration import BackendServer
from oleanderpier.relay.connections import CONNECT_TIMEOUT_S, format_url
from oleanderpier.relay.records import AcquirePermit, Permit
from oleanderpier.results import Code, Failure, MaybeSent, NotSent, SendError
from oleanderpier.utils import Timers, limit_time

__all__ = [
    "CallResponse",
    "send_call",
    "send_repeatable_call",
]

MAX_RESPONSE_BYTES = 1 << 20
# Fraction of the remaining time after which another service is tried besides.
HEDGE_TIME_RATIO = 0.5
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


SendingCall = Coroutine[Any, Any, Result[CallResponse, SendError]]


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
    """Send a call that may be repeated, to another service if one fails or is silent.

    A service that has not responded in half of the remaining time is not given up: the
    call is sent to another one besides, and the first response counts.

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

    def send(permit: Permit, time_left_s: float) -> SendingCall:
        return send_call(
            session,
            timers,
            permit.backend_server,
            operation,
            None,
            body,
            time_left_s,
        )

    return await _RepeatableCall(timers, acquire_permit, send, timeout_s).run()


class _RepeatableCall:
    """The attempts at one call; see ``send_repeatable_call``.

    Args:
        timers: The clock.
        acquire_permit: Waits for a permit for a service other than those named.
        send: Sends the call once, with the time left in seconds.
        timeout_s: The time for all attempts, in seconds.
    """

    def __init__(
        self,
        timers: Timers,
        acquire_permit: AcquirePermit,
        send: Callable[[Permit, float], SendingCall],
        timeout_s: float,
    ) -> None:
        self._timers = timers
        self._acquire_permit = acquire_permit
        self._send = send
        self._deadline_s = timers.now() + timeout_s
        self._avoid: frozenset[str] = frozenset()
        self._attempts = 0
        self._failure: Failure | None = None
        self._sending: set[asyncio.Task[Result[CallResponse, SendError]]] = set()
        self._placing: asyncio.Task[Result[Permit, Failure]] | None = None
        # When the call is sent to another service besides.
        self._hedge_at_s = self._deadline_s

    async def run(self) -> Result[CallResponse, Failure]:
        """Return the first response, or the failure when no attempt is left."""
        self._start_placing()
        try:
            while self._sending or self._placing is not None:
                await self._wait()
                response = self._handle_ended_attempts()
                if response is not None:
                    return response
                self._handle_placed()
        finally:
            await self._cancel()
        return Error(
            self._failure or Failure(Code.TARGET_UNREACHABLE, "", RETRY_AFTER_S)
        )

    async def _wait(self) -> None:
        """Wait until a task ends, or until the call is to be sent once more."""
        placing = set() if self._placing is None else {self._placing}
        wait_s = None if placing else max(0.0, self._hedge_at_s - self._timers.now())
        done, _ = await asyncio.wait(
            self._sending | placing,
            timeout=wait_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            self._hedge_at_s = self._deadline_s
            self._start_placing()

    def _start_placing(self) -> None:
        """Start to acquire a permit for a service that was not tried."""
        has_time = self._timers.now() < self._deadline_s
        if self._placing is None and self._attempts < MAX_ATTEMPTS and has_time:
            self._placing = asyncio.ensure_future(self._acquire_permit(self._avoid))

    def _handle_ended_attempts(self) -> Result[CallResponse, Failure] | None:
        """Return a response if there is one; try another service after a failure."""
        for task in [task for task in self._sending if task.done()]:
            self._sending.remove(task)
            sent = task.result()
            if sent.is_ok():
                return sent
            self._failure = _choose_failure(self._failure, sent.error)
            self._start_placing()
        return None

    def _handle_placed(self) -> None:
        """Send the call to the service that a permit was granted for."""
        if self._placing is None or not self._placing.done():
            return
        acquired, self._placing = self._placing.result(), None
        if acquired.is_error():
            self._failure = self._failure or acquired.error
            return
        permit = acquired.ok
        self._attempts += 1
        self._avoid |= {permit.backend_server["name"]}
        time_left_s = self._deadline_s - self._timers.now()
        self._hedge_at_s = self._timers.now() + time_left_s * HEDGE_TIME_RATIO
        task = asyncio.create_task(self._send(permit, time_left_s))
        # Also called if the task is cancelled before its first step.
        task.add_done_callback(lambda task: permit.release())
        self._sending.add(task)

    async def _cancel(self) -> None:
        """End the attempts in progress, and return a permit that is not used."""
        placing = set() if self._placing is None else {self._placing}
        for task in self._sending | placing:
            task.cancel()
        await asyncio.gather(*self._sending, *placing, return_exceptions=True)
        for task in placing:
            if not task.cancelled() and task.exception() is None:
                task.result().map(lambda permit: permit.abandon())


def _choose_failure(previous: Failure | None, error: SendError) -> Failure:
    """Return the failure to report: "may have run" outweighs later failures."""
    may_have_run = previous is not None and previous.code is Code.ANSWER_LOST
    return previous if may_have_run else error.failure
