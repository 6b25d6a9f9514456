"""One caller's answer, streamed from one engine after another if need be."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import aiohttp
from aiohttp import web
from eliot import log_message
from expression import Result

from oleanderpier.configuration import BackendServer, WorkClass
from oleanderpier.relay.attempts import GenerateBody, Stream, open_stream
from oleanderpier.relay.callers import CallerStream
from oleanderpier.relay.connections import Cancellations
from oleanderpier.relay.events import EventSequence, format_end
from oleanderpier.relay.limits import RelaySettings, compute_limits
from oleanderpier.relay.measures import Measures
from oleanderpier.relay.watch import IdleWatch, Phase, Step, StreamWatch
from oleanderpier.results import Code, Failure, make_refusal_response
from oleanderpier.utils import Timers

__all__ = ["AnswerRequest", "Permit", "Place", "Relay", "Relayed", "relay_answer"]

RETRY_AFTER_S = 1.0
MAX_SERVER_FAILURES = 2


class Permit(Protocol):
    """The right to send one request to a backend server.

    Attributes:
        backend_server: Where the request may run.
        priority: For the engine; lower goes first.
    """

    backend_server: BackendServer
    priority: int

    def release(self) -> None:
        """Give the right back; the server no longer works on the request."""

    def abandon(self) -> None:
        """Give the right back, which says nothing of the server."""


Place = Callable[[frozenset[str]], Awaitable[Result[Permit, Failure]]]
Notify = Callable[[str, Step], None]


class AnswerRequest(NamedTuple):
    """A chat whose answer is to be streamed.

    Attributes:
        request: The request's id, unique; events carry it.
        work_class: The class of work with its targets.
        priority: Added to the permit's.
    """

    request: str
    work_class: WorkClass
    chat: str
    messages: list[str]
    max_tokens: int
    priority: int


class Relayed(NamedTuple):
    """What became of an answer.

    Attributes:
        response: What the HTTP handler returns.
        code: The result code; ``STREAM_CUT`` where the caller left.
        total: How many events were forwarded.
        attempts: How many engines were tried.
    """

    response: web.StreamResponse
    code: Code
    total: int
    attempts: int


class Relay:
    """What the answers of one process share.

    Args:
        session: Connections to backend servers, from ``make_session``.
        timers: The timer service.
        settings: Limits.
        notify: Told of each attempt that a server failed, with its name.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        timers: Timers,
        settings: RelaySettings | None = None,
        notify: Notify = lambda server, step: None,
    ) -> None:
        self.session = session
        self.timers = timers
        self.settings = settings or RelaySettings()
        self.notify = notify
        self.measures = Measures(timers)
        self.watch = IdleWatch(timers, self.settings.tick_s)
        self.cancellations = Cancellations(session)
        self.answers: dict[str, _AnswerRelay] = {}

    def move(self, request: str) -> None:
        """Let another engine go on with an answer, if there is one for it.

        Args:
            request: The request's id; one that has ended is left alone.
        """
        answer = self.answers.get(request)
        if answer is not None:
            answer.move()

    def start(self) -> None:
        """Begin to watch streams and to turn the measures' windows."""
        self.watch.start()
        self._rotation = self.measures.start()

    async def close(self) -> None:
        """End the watch after the cancellations under way."""
        await self.cancellations.close()
        self.watch.stop()
        self._rotation.cancel()


async def relay_answer(
    relay: Relay, request: web.Request, answer: AnswerRequest, place: Place
) -> Relayed:
    """Stream the whole answer of a chat to its caller.

    Where an engine fails, another goes on from the offset reached, while the
    class's target for the whole answer allows it. A failure before the first
    event is an HTTP refusal, a later one the last event of the stream.

    Args:
        relay: What the answers of this process share.
        request: The caller's request.
        answer: The chat.
        place: Asks for the right to use an engine, avoiding some by name.

    Returns:
        What became of the answer, with the response for the HTTP handler.
    """
    return await _AnswerRelay(relay, request, answer, place).run()


class _AnswerRelay:
    """The steps of one answer."""

    def __init__(
        self, relay: Relay, request: web.Request, answer: AnswerRequest, place: Place
    ) -> None:
        self._relay = relay
        self._answer = answer
        self._place = place
        self._deadline = relay.timers.now() + answer.work_class["whole_s"]
        self._caller = CallerStream(request, relay.settings.write_buffer_bytes)
        self._task = asyncio.current_task()
        self._sequence = EventSequence(answer.request)
        self._stream = self._make_stream()
        self._response: web.StreamResponse = self._caller.response
        self._permit: Permit | None = None
        self._failures: Counter[str] = Counter()
        self._failure = Failure(Code.DONE, "")
        self._attempts = 0
        self._began_at = 0
        self._fruitless = 0
        self._sent = False
        self._next_permit: Permit | None = None
        self._moving: asyncio.Task[None] | None = None

    def move(self) -> None:
        """Ask for another engine, and change over once there is one."""
        if self._moving is None and self._permit is not None:
            self._moving = asyncio.create_task(self._change_over())
            self._moving.add_done_callback(self._end_move)

    async def run(self) -> Relayed:
        """Go from step to step until the answer is done."""
        watch = self._stream.watch
        self._relay.watch.add(watch)
        self._relay.answers[self._answer.request] = self
        step = Step.ATTEMPT
        try:
            while step is not Step.DONE:
                try:
                    step = await _ACTIONS[step](self, step)
                except asyncio.CancelledError:
                    step = self._take_expiry()
        finally:
            self._relay.watch.remove(watch)
            del self._relay.answers[self._answer.request]
            self._cancel_work()
            self._drop_move()
        self._relay.measures.counts[f"answer_{self._failure.code.name.lower()}"] += 1
        return Relayed(
            self._response,
            self._failure.code,
            self._sequence.next_offset,
            self._attempts,
        )

    def _make_stream(self) -> Stream:
        limits = compute_limits(self._relay.settings, self._answer.work_class)
        watch = StreamWatch(
            limits, self._deadline, self._sequence, self._caller, self._task.cancel
        )
        times = self._relay.measures.start_answer(self._answer.work_class["name"])
        return Stream(self._sequence, self._caller, watch, times)

    def _take_expiry(self) -> Step:
        """Return why the watch interrupted an action.

        Raises:
            asyncio.CancelledError: Somebody else cancelled the task.
        """
        expired = self._stream.watch.take_expiry()
        if expired is None or self._task.uncancel() > 0:
            raise asyncio.CancelledError
        return expired

    async def _attempt(self, step: Step) -> Step:
        self._stream.watch.phase = Phase.PLACING
        placed = await self._ask_for_permit()
        if placed.is_error():
            self._failure = placed.error
            return Step.UNPLACED
        return await self._use_permit(placed.ok)

    async def _use_permit(self, permit: Permit) -> Step:
        """Stream from the permit's engine until it ends or fails."""
        self._permit = permit
        self._attempts += 1
        self._began_at = self._sequence.next_offset
        self._sequence.restart()
        server = self._permit.backend_server
        await self._relay.cancellations.wait_for(server, self._answer.request)
        body = self._make_body()
        return await open_stream(self._relay.session, server, body, self._stream)

    async def _ask_for_permit(self) -> Result[Permit, Failure]:
        """Ask for an engine that has not failed, else for one that may recover."""
        avoid = frozenset(self._failures)
        placed = await self._place(avoid)
        if placed.is_ok():
            return placed
        lost = [
            name
            for name, failures in self._failures.items()
            if failures >= MAX_SERVER_FAILURES
        ]
        return placed if len(lost) == len(avoid) else await self._place(frozenset(lost))

    def _make_body(self) -> GenerateBody:
        answer = self._answer
        return GenerateBody(
            request=answer.request,
            chat=answer.chat,
            model=answer.work_class["needs"],
            messages=answer.messages,
            offset=self._sequence.next_offset,
            max_tokens=answer.max_tokens,
            priority=answer.priority + self._permit.priority,
        )

    async def _go_on(self, step: Step) -> Step:
        """Note a server's failure; try elsewhere while there is time."""
        self._note_failure(step)
        self._sent = self._sent or step not in _NOT_SENT
        self._give_back(step)
        if self._relay.timers.now() >= self._deadline:
            return Step.TOO_LATE
        if self._fruitless >= self._relay.settings.max_fruitless_attempts:
            self._failure = Failure(
                Code.NO_BACKEND_SERVER, "every attempt failed", RETRY_AFTER_S
            )
            return Step.UNPLACED
        return Step.ATTEMPT

    def _note_failure(self, step: Step) -> None:
        name = self._permit.backend_server["name"]
        offset = self._sequence.next_offset
        if offset > self._began_at:
            self._fruitless = 0
            self._failures[name] = 1
        else:
            self._fruitless += 1
            self._failures[name] += _WEIGHTS.get(step, 1)
        self._relay.measures.counts[f"attempt_{step.value}"] += 1
        self._relay.notify(name, step)
        log_message(
            "relay:attempt_failed",
            request=self._answer.request,
            backend_server=name,
            step=step.value,
            fault=self._sequence.fault and self._sequence.fault.value,
            offset=offset,
        )

    def _give_back(self, step: Step) -> None:
        if step in _NOT_SENT:
            self._release()
        else:
            self._cancel_work()

    def _release(self) -> None:
        permit, self._permit = self._permit, None
        permit.release()

    def _cancel_work(self) -> None:
        """End the work at the engine; its permit is released afterwards."""
        if self._permit is None:
            return
        permit, self._permit = self._permit, None
        self._relay.cancellations.start(
            permit.backend_server, self._answer.request, permit.release
        )

    async def _change_over(self) -> None:
        """Get a permit for another engine, then leave the present one."""
        placed = await self._place(frozenset({self._permit.backend_server["name"]}))
        if placed.is_error():
            return
        self._next_permit = placed.ok
        if not self._stream.watch.move():
            self._abandon_next()

    def _end_move(self, task: asyncio.Task[None]) -> None:
        self._moving = None
        if not task.cancelled() and task.exception() is not None:
            log_message("relay:move_failed", reason=repr(task.exception()))

    def _drop_move(self) -> None:
        """Give up a change of engine that the answer did not wait for."""
        if self._moving is not None:
            self._moving.cancel()
        self._abandon_next()

    def _abandon_next(self) -> None:
        permit, self._next_permit = self._next_permit, None
        if permit is not None:
            permit.abandon()

    async def _resume_elsewhere(self, step: Step) -> Step:
        """Go on at the engine that the answer was moved to."""
        self._cancel_work()
        permit, self._next_permit = self._next_permit, None
        self._relay.measures.counts["answer_moved"] += 1
        self._stream.watch.phase = Phase.PLACING
        return await self._use_permit(permit)

    async def _finish(self, step: Step) -> Step:
        """Send the end event: the answer is whole."""
        self._release()
        sequence = self._sequence
        end = format_end(self._answer.request, sequence.next_offset, sequence.reused)
        self._stream.watch.phase = Phase.WRITING
        try:
            await self._caller.finish(end)
        except ConnectionError:
            return Step.CALLER_LEFT
        self._stream.times.finish()
        return Step.DONE

    async def _refuse(self, step: Step) -> Step:
        """Settle the code where no engine was to be had."""
        if self._sent:
            text, retry_after_s = self._failure.text, self._failure.retry_after_s
            self._failure = Failure(
                Code.STREAM_CUT, text, retry_after_s or RETRY_AFTER_S
            )
        return Step.FAILED

    async def _miss_target(self, step: Step) -> Step:
        """Settle the code after the deadline; no server is to blame."""
        self._sent = self._sent or self._permit is not None
        self._cancel_work()
        code = Code.TARGET_MISSED if self._sent else Code.TARGET_UNREACHABLE
        self._failure = Failure(code, "", RETRY_AFTER_S)
        return Step.FAILED

    async def _fail(self, step: Step) -> Step:
        """Tell the caller of the failure, with a status if it still can be."""
        log_message(
            "relay:answer_failed",
            request=self._answer.request,
            code=int(self._failure.code),
            offset=self._sequence.next_offset,
        )
        if not self._caller.begun:
            self._response = make_refusal_response(self._failure)
            return Step.DONE
        self._stream.watch.phase = Phase.WRITING
        try:
            await self._caller.fail(self._failure)
        except ConnectionError:
            return Step.CALLER_LEFT
        return Step.DONE

    async def _abandon(self, step: Step) -> Step:
        """End the work of a caller who has left, or takes nothing."""
        self._caller.abort()
        self._failure = Failure(Code.STREAM_CUT, step.value)
        self._relay.measures.counts[step.value] += 1
        return Step.DONE


_NOT_SENT = frozenset({Step.UNREACHED, Step.REFUSED})
_WEIGHTS = dict.fromkeys(_NOT_SENT, MAX_SERVER_FAILURES)
_ACTIONS: dict[Step, Callable[[_AnswerRelay, Step], Awaitable[Step]]] = {
    Step.ATTEMPT: _AnswerRelay._attempt,
    Step.ENDED: _AnswerRelay._finish,
    Step.UNREACHED: _AnswerRelay._go_on,
    Step.REFUSED: _AnswerRelay._go_on,
    Step.SILENT: _AnswerRelay._go_on,
    Step.CUT: _AnswerRelay._go_on,
    Step.MOVED: _AnswerRelay._resume_elsewhere,
    Step.DISORDERED: _AnswerRelay._go_on,
    Step.UNPLACED: _AnswerRelay._refuse,
    Step.TOO_LATE: _AnswerRelay._miss_target,
    Step.CALLER_LEFT: _AnswerRelay._abandon,
    Step.CALLER_STUCK: _AnswerRelay._abandon,
    Step.FAILED: _AnswerRelay._fail,
}
