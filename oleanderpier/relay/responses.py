"""Streams one response to its caller, from several engines if some fail."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine

import aiohttp
from aiohttp import web
from eliot import log_message
from expression import Result

from oleanderpier.relay.attempts import GenerateBody, StreamContext, run_attempt
from oleanderpier.relay.callers import CallerStream
from oleanderpier.relay.connections import Cancellations
from oleanderpier.relay.events import EventSequence, format_end
from oleanderpier.relay.limits import RelaySettings, compute_watchdog_limits
from oleanderpier.relay.metrics import RelayMetrics
from oleanderpier.relay.records import (
    AcquirePermit,
    Permit,
    RelayRequest,
    RelayResult,
)
from oleanderpier.relay.watchdog import Phase, Step, StreamWatchdog, StreamWatchdogs
from oleanderpier.results import Code, Failure, make_refusal_response
from oleanderpier.utils import Timers

__all__ = ["Relay", "relay_response"]

RETRY_AFTER_S = 1.0
# Attempts without a new event after which a server is excluded for the response.
MAX_FAILURES_PER_SERVER = 2

NotifyAttemptFailure = Callable[[str, Step], None]


class Relay:
    """State shared by all responses that one process relays.

    Args:
        session: A session for backend servers, from ``make_session``.
        timers: The timer service.
        settings: Limits; the defaults if None.
        notify_attempt_failure: Called with the name of the backend server and the
            step at which the attempt ended, for each failed attempt.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        timers: Timers,
        settings: RelaySettings | None = None,
        notify_attempt_failure: NotifyAttemptFailure = lambda server, step: None,
    ) -> None:
        self.session = session
        self.timers = timers
        self.settings = settings or RelaySettings()
        self.notify_attempt_failure = notify_attempt_failure
        self.metrics = RelayMetrics(timers)
        self.watchdogs = StreamWatchdogs(timers, self.settings.check_interval_s)
        self.cancellations = Cancellations(session)
        self.active_responses: dict[str, _ResponseRelay] = {}

    def move_response(self, request_id: str) -> None:
        """Start to move a response to another engine.

        The response stays where it is if no other engine grants a permit.

        Args:
            request_id: The request's id; one that has ended is ignored.
        """
        response = self.active_responses.get(request_id)
        if response is not None:
            response.start_move()

    def start(self) -> None:
        """Start to check streams and to rotate the windows of the metrics."""
        self.watchdogs.start()
        self._rotation = self.metrics.start()

    async def close(self) -> None:
        """Wait for the cancellations in progress, then stop all timers."""
        await self.cancellations.close()
        self.watchdogs.stop()
        self._rotation.cancel()


async def relay_response(
    relay: Relay,
    request: web.Request,
    relay_request: RelayRequest,
    acquire_permit: AcquirePermit,
) -> RelayResult:
    """Stream the whole response to a chat to its caller.

    If an engine fails, the response resumes at another one from the offset
    reached, until the class's target for the whole response has passed. A
    failure before the response has started is reported by an HTTP status, a
    later one by the last event of the stream.

    Args:
        relay: The state shared by the responses of this process.
        request: The caller's HTTP request.
        relay_request: The chat.
        acquire_permit: Waits for a permit for an engine other than those named.

    Returns:
        The result, with the response for the HTTP handler.
    """
    return await _ResponseRelay(relay, request, relay_request, acquire_permit).run()


class _ResponseRelay:
    """State machine that relays one response.

    Each step has a handler, which does its work and returns the next step. The
    watchdog interrupts a handler by cancelling the task; the reason it gives is
    then the next step.
    """

    def __init__(
        self,
        relay: Relay,
        request: web.Request,
        relay_request: RelayRequest,
        acquire_permit: AcquirePermit,
    ) -> None:
        self._relay = relay
        self._request = relay_request
        self._acquire_permit = acquire_permit
        self._deadline_s = relay.timers.now() + relay_request.work_class["whole_s"]
        self._caller = CallerStream(request, relay.settings.max_write_buffer_bytes)
        self._task = asyncio.current_task()
        self._sequence = EventSequence(relay_request.request_id)
        self._stream = self._make_stream()
        self._response: web.StreamResponse = self._caller.response
        self._permit: Permit | None = None
        self._server_failures: Counter[str] = Counter()
        self._failure = Failure(Code.DONE, "")
        self._attempt_count = 0
        self._attempt_offset = 0
        self._attempts_without_event = 0
        self._may_have_run = False
        self._next_permit: Permit | None = None
        self._move_task: asyncio.Task[None] | None = None

    def start_move(self) -> None:
        """Start to acquire a permit for another engine, and move there."""
        if self._move_task is None and self._permit is not None:
            self._run_move(self._acquire_and_move())

    def _start_replacement(self) -> None:
        """Start to acquire a permit for another attempt, while this one is silent.

        The response stays where it is if no permit is granted, or if the engine sends
        something meanwhile.
        """
        if (
            self._move_task is None
            and self._count_attempts_without_event()
            < self._relay.settings.max_attempts_without_event
        ):
            failures = self._count_server_failures(Step.SILENT)
            self._run_move(self._acquire_and_replace(failures))

    def _run_move(self, move: Coroutine[None, None, None]) -> None:
        self._move_task = asyncio.create_task(move)
        self._move_task.add_done_callback(self._handle_move_end)

    async def run(self) -> RelayResult:
        """Run the handlers of the steps until the response is done."""
        watchdog = self._stream.watchdog
        self._relay.watchdogs.add(watchdog)
        self._relay.active_responses[self._request.request_id] = self
        step = Step.ATTEMPT
        try:
            while step is not Step.DONE:
                try:
                    step = await _STEP_HANDLERS[step](self, step)
                except asyncio.CancelledError:
                    step = self._pop_interruption()
        finally:
            self._relay.watchdogs.remove(watchdog)
            del self._relay.active_responses[self._request.request_id]
            self._cancel_generation()
            self._cancel_move()
        self._relay.metrics.counts[f"answer_{self._failure.code.name.lower()}"] += 1
        return RelayResult(
            self._response,
            self._failure.code,
            self._sequence.next_offset,
            self._attempt_count,
        )

    def _make_stream(self) -> StreamContext:
        limits = compute_watchdog_limits(self._relay.settings, self._request.work_class)
        watchdog = StreamWatchdog(
            limits,
            self._deadline_s,
            self._sequence,
            self._caller,
            self._task.cancel,
            self._start_replacement,
        )
        timer = self._relay.metrics.start_response(self._request.work_class["name"])
        return StreamContext(self._sequence, self._caller, watchdog, timer)

    def _pop_interruption(self) -> Step:
        """Return why the watchdog interrupted a handler.

        Raises:
            asyncio.CancelledError: The task was cancelled, but not by the
                watchdog or not by it alone.
        """
        interruption = self._stream.watchdog.pop_interruption()
        if interruption is None or self._task.uncancel() > 0:
            raise asyncio.CancelledError
        return interruption

    async def _start_attempt(self, step: Step) -> Step:
        self._cancel_move()
        self._stream.watchdog.phase = Phase.PLACING
        acquired = await self._acquire_attempt_permit(self._server_failures)
        if acquired.is_error():
            self._failure = acquired.error
            return Step.UNPLACED
        return await self._run_attempt(acquired.ok)

    async def _run_attempt(self, permit: Permit) -> Step:
        """Stream from the permit's engine until the attempt ends."""
        self._permit = permit
        self._attempt_count += 1
        self._attempt_offset = self._sequence.next_offset
        self._sequence.start_stream()
        self._stream.watchdog.start_attempt()
        server = self._permit.backend_server
        await self._relay.cancellations.wait_for_request(
            server, self._request.request_id
        )
        body = self._make_body()
        return await run_attempt(self._relay.session, server, body, self._stream)

    async def _acquire_attempt_permit(
        self, server_failures: Counter[str]
    ) -> Result[Permit, Failure]:
        """Acquire a permit for an engine that has not failed this response.

        If there is none, settle for an engine that has failed fewer than
        ``MAX_FAILURES_PER_SERVER`` times.

        Args:
            server_failures: How often each server has failed.
        """
        avoid = frozenset(server_failures)
        acquired = await self._acquire_permit(avoid)
        if acquired.is_ok():
            return acquired
        excluded = [
            name
            for name, failures in server_failures.items()
            if failures >= MAX_FAILURES_PER_SERVER
        ]
        return (
            acquired
            if len(excluded) == len(avoid)
            else await self._acquire_permit(frozenset(excluded))
        )

    def _make_body(self) -> GenerateBody:
        request = self._request
        return GenerateBody(
            request=request.request_id,
            chat=request.chat,
            model=request.work_class["needs"],
            messages=request.messages,
            offset=self._sequence.next_offset,
            max_tokens=request.max_tokens,
            priority=request.priority + self._permit.priority,
        )

    async def _handle_attempt_failure(self, step: Step) -> Step:
        """Record a server's failure; start another attempt if time is left."""
        self._record_attempt_failure(step)
        self._may_have_run = self._may_have_run or step not in _NOT_ACCEPTED_STEPS
        self._end_attempt(step)
        if self._relay.timers.now() >= self._deadline_s:
            return Step.TOO_LATE
        if (
            self._attempts_without_event
            >= self._relay.settings.max_attempts_without_event
        ):
            self._failure = Failure(
                Code.NO_BACKEND_SERVER, "every attempt failed", RETRY_AFTER_S
            )
            return Step.UNPLACED
        return Step.ATTEMPT

    def _record_attempt_failure(self, step: Step) -> None:
        name = self._permit.backend_server["name"]
        self._attempts_without_event = self._count_attempts_without_event()
        self._server_failures = self._count_server_failures(step)
        self._relay.metrics.counts[f"attempt_{step.value}"] += 1
        self._relay.notify_attempt_failure(name, step)
        log_message(
            "relay:attempt_failed",
            request=self._request.request_id,
            backend_server=name,
            step=step.value,
            fault=self._sequence.fault and self._sequence.fault.value,
            offset=self._sequence.next_offset,
        )

    def _has_new_event(self) -> bool:
        """Return whether the present attempt has received an event."""
        return self._sequence.next_offset > self._attempt_offset

    def _count_attempts_without_event(self) -> int:
        """Return how many attempts, with the present one, had no new event."""
        return 0 if self._has_new_event() else self._attempts_without_event + 1

    def _count_server_failures(self, step: Step) -> Counter[str]:
        """Return the failures of each server if the present attempt ends by a step."""
        name = self._permit.backend_server["name"]
        weight = _FAILURE_WEIGHTS.get(step, 1)
        failures = 1 if self._has_new_event() else self._server_failures[name] + weight
        return Counter({**self._server_failures, name: failures})

    def _end_attempt(self, step: Step) -> None:
        """Return the permit, after cancelling what the engine may still run."""
        if step in _NOT_ACCEPTED_STEPS:
            self._release_permit()
        else:
            self._cancel_generation()

    def _release_permit(self) -> None:
        permit, self._permit = self._permit, None
        permit.release()

    def _cancel_generation(self) -> None:
        """Cancel the request at the engine; its permit is released afterwards."""
        if self._permit is None:
            return
        permit, self._permit = self._permit, None
        self._relay.cancellations.cancel_request(
            permit.backend_server, self._request.request_id, permit.release
        )

    async def _acquire_and_move(self) -> None:
        """Acquire a permit for another engine, then interrupt the present one."""
        acquired = await self._acquire_permit(
            frozenset({self._permit.backend_server["name"]})
        )
        if acquired.is_error():
            return
        self._next_permit = acquired.ok
        if not self._stream.watchdog.interrupt_for_move():
            self._abandon_next_permit()

    async def _acquire_and_replace(self, server_failures: Counter[str]) -> None:
        """Acquire a permit for another attempt, then end the present, silent one."""
        acquired = await self._acquire_attempt_permit(server_failures)
        if acquired.is_error():
            return
        self._next_permit = acquired.ok
        if not self._stream.watchdog.interrupt_for_silence():
            self._abandon_next_permit()

    def _handle_move_end(self, task: asyncio.Task[None]) -> None:
        self._move_task = None
        if not task.cancelled() and task.exception() is not None:
            log_message("relay:move_failed", reason=repr(task.exception()))

    def _cancel_move(self) -> None:
        """Cancel a move that is in progress and return its permit."""
        if self._move_task is not None:
            self._move_task.cancel()
        self._abandon_next_permit()

    def _abandon_next_permit(self) -> None:
        permit, self._next_permit = self._next_permit, None
        if permit is not None:
            permit.abandon()

    async def _resume_at_next_engine(self, step: Step) -> Step:
        """Resume at the engine that the response was moved to."""
        self._cancel_generation()
        self._relay.metrics.counts["answer_moved"] += 1
        return await self._run_next_attempt()

    async def _replace_silent_engine(self, step: Step) -> Step:
        """Resume with the permit that was acquired while the engine was silent."""
        next_step = await self._handle_attempt_failure(step)
        if next_step is not Step.ATTEMPT:
            return next_step
        return await self._run_next_attempt()

    async def _run_next_attempt(self) -> Step:
        permit, self._next_permit = self._next_permit, None
        self._stream.watchdog.phase = Phase.PLACING
        return await self._run_attempt(permit)

    async def _handle_stream_end(self, step: Step) -> Step:
        """Send the end event of a complete response."""
        self._release_permit()
        sequence = self._sequence
        end = format_end(
            self._request.request_id, sequence.next_offset, sequence.reused_tokens
        )
        self._stream.watchdog.phase = Phase.WRITING
        try:
            await self._caller.finish(end)
        except ConnectionError:
            return Step.CALLER_LEFT
        self._stream.timer.record_completion()
        return Step.DONE

    async def _handle_no_permit(self, step: Step) -> Step:
        """Set the result code after no permit was granted.

        The failure says that the request did not run; if an engine may have run
        it, ``STREAM_CUT`` replaces that code.
        """
        if self._may_have_run:
            text, retry_after_s = self._failure.text, self._failure.retry_after_s
            self._failure = Failure(
                Code.STREAM_CUT, text, retry_after_s or RETRY_AFTER_S
            )
        return Step.FAILED

    async def _handle_missed_deadline(self, step: Step) -> Step:
        """Set the result code after the deadline; no server counts as failed."""
        self._may_have_run = self._may_have_run or self._permit is not None
        self._cancel_generation()
        code = Code.TARGET_MISSED if self._may_have_run else Code.TARGET_UNREACHABLE
        self._failure = Failure(code, "", RETRY_AFTER_S)
        return Step.FAILED

    async def _handle_stop(self, step: Step) -> Step:
        """Set the result code of a response that this host ends as it stops."""
        may_have_run = self._may_have_run or self._permit is not None
        self._cancel_generation()
        code = Code.STREAM_CUT if may_have_run else Code.HOST_LEAVING
        self._failure = Failure(code, "this host stops", 0.0)
        return Step.FAILED

    async def _send_failure(self, step: Step) -> Step:
        """Report the failure to the caller, by an HTTP status if still possible."""
        log_message(
            "relay:answer_failed",
            request=self._request.request_id,
            code=int(self._failure.code),
            offset=self._sequence.next_offset,
        )
        if not self._caller.started:
            self._response = make_refusal_response(self._failure)
            return Step.DONE
        self._stream.watchdog.phase = Phase.WRITING
        try:
            await self._caller.send_failure(self._failure)
        except ConnectionError:
            return Step.CALLER_LEFT
        return Step.DONE

    async def _handle_lost_caller(self, step: Step) -> Step:
        """End the response to a caller that has left or reads nothing."""
        self._caller.abort()
        self._failure = Failure(Code.STREAM_CUT, step.value)
        self._relay.metrics.counts[step.value] += 1
        return Step.DONE


# After these the engine certainly does not run the request.
_NOT_ACCEPTED_STEPS = frozenset({Step.UNREACHED, Step.REFUSED})
# A server that accepts no request is excluded after one attempt.
_FAILURE_WEIGHTS = dict.fromkeys(_NOT_ACCEPTED_STEPS, MAX_FAILURES_PER_SERVER)
_STEP_HANDLERS: dict[Step, Callable[[_ResponseRelay, Step], Awaitable[Step]]] = {
    Step.ATTEMPT: _ResponseRelay._start_attempt,
    Step.ENDED: _ResponseRelay._handle_stream_end,
    Step.UNREACHED: _ResponseRelay._handle_attempt_failure,
    Step.REFUSED: _ResponseRelay._handle_attempt_failure,
    Step.SILENT: _ResponseRelay._replace_silent_engine,
    Step.CUT: _ResponseRelay._handle_attempt_failure,
    Step.MOVED: _ResponseRelay._resume_at_next_engine,
    Step.DISORDERED: _ResponseRelay._handle_attempt_failure,
    Step.UNPLACED: _ResponseRelay._handle_no_permit,
    Step.TOO_LATE: _ResponseRelay._handle_missed_deadline,
    Step.STOPPED: _ResponseRelay._handle_stop,
    Step.CALLER_LEFT: _ResponseRelay._handle_lost_caller,
    Step.CALLER_STUCK: _ResponseRelay._handle_lost_caller,
    Step.FAILED: _ResponseRelay._send_failure,
}
