"""Detects streams without progress, and whether the engine or the caller stalls."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from oleanderpier.relay.events import EventSequence
from oleanderpier.relay.limits import WatchdogLimits
from oleanderpier.utils import Subscription, Timers

__all__ = ["CallerConnection", "Phase", "Step", "StreamWatchdog", "StreamWatchdogs"]


class Step(Enum):
    """Step of a response: what to do next, or how an attempt ended.

    The values are written to logs and to the event history.

    Attributes:
        ATTEMPT: Start an attempt at an engine.
        ENDED: The engine sent all events and the end event.
        UNREACHED: No connection to the engine was established.
        REFUSED: The engine responded with another status than 200.
        SILENT: The engine sent nothing within its limit.
        CUT: The connection broke before the end event.
        MOVED: The response continues at another engine.
        DISORDERED: The engine's events can't form a response; the
            ``EventSequence`` holds the fault.
        UNPLACED: No permit for an engine was granted.
        TOO_LATE: The deadline of the response has passed.
        STOPPED: This host stops.
        CALLER_LEFT: The caller closed its connection.
        CALLER_STUCK: The caller read nothing within its limit.
        FAILED: The response failed; report the failure to the caller.
        DONE: Nothing is left to do.
    """

    ATTEMPT = "attempt"
    ENDED = "ended"
    UNREACHED = "unreached"
    REFUSED = "refused"
    SILENT = "silent"
    CUT = "cut"
    MOVED = "moved"
    DISORDERED = "disordered"
    UNPLACED = "unplaced"
    TOO_LATE = "too_late"
    STOPPED = "stopped"
    CALLER_LEFT = "caller_left"
    CALLER_STUCK = "caller_stuck"
    FAILED = "failed"
    DONE = "done"


class Phase(Enum):
    """What a response is waiting for.

    Attributes:
        PLACING: A permit for an engine.
        OPENING: The head of the engine's HTTP response.
        READING: Bytes from the engine.
        WRITING: Room in the send buffer of the caller's connection.
    """

    PLACING = "placing"
    OPENING = "opening"
    READING = "reading"
    WRITING = "writing"


class CallerConnection(Protocol):
    """The caller's connection, as far as the watchdog needs it."""

    def is_gone(self) -> bool:
        """Return whether the connection is closed."""

    def count_unsent_bytes(self) -> int:
        """Return the number of bytes in the connection's send buffer."""

    def send_heartbeat(self) -> None:
        """Schedule a heartbeat (an SSE comment line) without waiting for it."""


class StreamWatchdog:
    """Interrupts one response when it makes no progress.

    Before the deadline any bytes from the engine, heartbeats included, and any
    bytes that the caller reads count as progress. After it only new events and
    completed writes do: an engine that then sends heartbeats but no events
    counts as too late, not as silent.

    Args:
        limits: The limits of the stream, in ticks.
        deadline_s: Monotonic time in seconds at which the class's target for the
            whole response ends.
        sequence: The events of the response.
        caller: The caller's connection.
        on_interrupt: Called once for each interruption; it has to cancel what
            the response is waiting for.
        on_silence: Called each time that the engine was silent for its limit before the
            deadline; the response goes on.

    Attributes:
        phase: What the response is waiting for.
        read_count: Number of reads that returned data from an engine.
        interruption: Why the response was interrupted, until
            ``pop_interruption`` clears it.
    """

    def __init__(
        self,
        limits: WatchdogLimits,
        deadline_s: float,
        sequence: EventSequence,
        caller: CallerConnection,
        on_interrupt: Callable[[], None],
        on_silence: Callable[[], None],
    ) -> None:
        self.phase = Phase.PLACING
        self.read_count = 0
        self.interruption: Step | None = None
        self._limits = limits
        self._deadline_s = deadline_s
        self._sequence = sequence
        self._caller = caller
        self._on_interrupt = on_interrupt
        self._on_silence = on_silence
        # The progress at which the engine was found to be silent.
        self._silent_progress: tuple[Phase, int] | None = None
        self._progress: tuple[Phase, int] = (Phase.PLACING, 0)
        self._stalled_ticks = 0
        self._read_count_at_progress = 0
        self._forwarded_offset = sequence.next_offset
        self._ending = False
        self._ticks_without_event = (
            limits.caller_heartbeat_ticks - limits.first_heartbeat_ticks
        )

    def check(self, now_s: float) -> None:
        """Check for progress and interrupt the response if there was none.

        Called once a tick. Sends a heartbeat to the caller if one is due.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self.interruption is not None:
            return
        if self._caller.is_gone():
            self._interrupt(Step.CALLER_LEFT)
            return
        if self._ending and self.phase is not Phase.WRITING:
            self._interrupt(Step.STOPPED)
            return
        past_deadline = now_s >= self._deadline_s
        if past_deadline and self.is_engine_silent():
            self._interrupt(Step.SILENT)
            return
        self._check_caller_heartbeat()
        if self.phase is Phase.PLACING:
            if past_deadline:
                self._interrupt(Step.TOO_LATE)
            return
        self._check_progress(past_deadline)

    def interrupt_for_move(self) -> bool:
        """Interrupt the response so that it can continue at another engine.

        Returns:
            Whether the response was interrupted. Only a response that is
            reading from an engine is: in the other phases events may be on
            their way to the caller.
        """
        if self.interruption is not None or self.phase is not Phase.READING:
            return False
        self._interrupt(Step.MOVED)
        return True

    def start_attempt(self) -> None:
        """Forget the silence of the engine before."""
        self._silent_progress = None

    def is_engine_silent(self) -> bool:
        """Return whether the engine was found to be silent, and still is."""
        return self._silent_progress == (self.phase, self.read_count)

    def interrupt_for_silence(self) -> bool:
        """Interrupt the response so that it can continue at another engine.

        Returns:
            Whether the response was interrupted. It is not if its engine has sent
            something since it was found to be silent.
        """
        if self.interruption is not None or not self.is_engine_silent():
            return False
        self._interrupt(Step.SILENT)
        return True

    def end(self, now_s: float) -> None:
        """Interrupt the response because this host stops.

        A response that is writing is interrupted at the first check after that, so
        that its caller gets whole events.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._ending = True
        self.check(now_s)

    def pop_interruption(self) -> Step | None:
        """Return why the response was interrupted, and clear the reason."""
        interruption, self.interruption = self.interruption, None
        self._stalled_ticks = 0
        return interruption

    def _check_progress(self, past_deadline: bool) -> None:
        progress = (self.phase, _PROGRESS_GETTERS[self.phase](self, past_deadline))
        if progress != self._progress:
            self._progress = progress
            self._stalled_ticks = 0
            self._read_count_at_progress = self.read_count
            return
        self._stalled_ticks += 1
        limit, step = _STALL_LIMITS[self.phase](self._limits)
        if self._stalled_ticks >= limit:
            engine_is_alive = (
                self.phase is Phase.READING
                and self.read_count != self._read_count_at_progress
            )
            if step is Step.SILENT and not past_deadline:
                self._report_silence()
                return
            self._interrupt(Step.TOO_LATE if engine_is_alive else step)

    def _report_silence(self) -> None:
        self._stalled_ticks = 0
        self._silent_progress = (self.phase, self.read_count)
        self._on_silence()

    def _check_caller_heartbeat(self) -> None:
        """Send a heartbeat if no event was forwarded within the limit."""
        if self._forwarded_offset != self._sequence.next_offset:
            self._forwarded_offset = self._sequence.next_offset
            self._ticks_without_event = 0
            return
        self._ticks_without_event += 1
        if self._ticks_without_event >= self._limits.caller_heartbeat_ticks:
            self._ticks_without_event = 0
            if self.phase is not Phase.WRITING:
                self._caller.send_heartbeat()

    def _interrupt(self, step: Step) -> None:
        self.interruption = step
        self._on_interrupt()

    def _get_opening_progress(self, past_deadline: bool) -> int:
        return 0

    def _get_reading_progress(self, past_deadline: bool) -> int:
        return self._sequence.next_offset if past_deadline else self.read_count

    def _get_writing_progress(self, past_deadline: bool) -> int:
        return self.read_count if past_deadline else self._caller.count_unsent_bytes()


_PROGRESS_GETTERS = {
    Phase.OPENING: StreamWatchdog._get_opening_progress,
    Phase.READING: StreamWatchdog._get_reading_progress,
    Phase.WRITING: StreamWatchdog._get_writing_progress,
}
_STALL_LIMITS: dict[Phase, Callable[[WatchdogLimits], tuple[int, Step]]] = {
    Phase.OPENING: lambda limits: (limits.engine_silence_ticks, Step.SILENT),
    Phase.READING: lambda limits: (limits.engine_silence_ticks, Step.SILENT),
    Phase.WRITING: lambda limits: (limits.caller_stall_ticks, Step.CALLER_STUCK),
}


class StreamWatchdogs:
    """Checks all open streams, with one subscription to the timer service.

    A process that resumes after a pause gets one tick, not all that it missed,
    so that it doesn't count engines as silent because of its own pause.

    Args:
        timers: The timer service.
        check_interval_s: Time between two checks of the streams, in seconds.
    """

    def __init__(self, timers: Timers, check_interval_s: float) -> None:
        self._timers = timers
        self._check_interval_s = check_interval_s
        self._watchdogs: dict[int, StreamWatchdog] = {}
        self._subscription: Subscription | None = None

    def __len__(self) -> int:
        return len(self._watchdogs)

    def start(self) -> None:
        """Start the periodic checks."""
        self._subscription = self._timers.subscribe(
            self._check_interval_s, self._check_all
        )

    def stop(self) -> None:
        """Stop the periodic checks."""
        if self._subscription is not None:
            self._subscription.cancel()

    def add(self, watchdog: StreamWatchdog) -> None:
        """Include a stream in the checks."""
        self._watchdogs[id(watchdog)] = watchdog

    def remove(self, watchdog: StreamWatchdog) -> None:
        """Exclude a stream from the checks."""
        self._watchdogs.pop(id(watchdog), None)

    def end_all(self) -> None:
        """Interrupt all streams because this host stops."""
        now_s = self._timers.now()
        for watchdog in tuple(self._watchdogs.values()):
            watchdog.end(now_s)

    def _check_all(self) -> None:
        now_s = self._timers.now()
        for watchdog in tuple(self._watchdogs.values()):
            watchdog.check(now_s)
