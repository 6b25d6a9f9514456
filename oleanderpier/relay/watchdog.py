"""Watches open streams: tells which have stopped moving, and on which side."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from oleanderpier.relay.events import EventSequence
from oleanderpier.relay.limits import WatchLimits
from oleanderpier.utils import Subscription, Timers

__all__ = ["CallerView", "IdleWatch", "Phase", "Step", "StreamWatch"]


class Step(Enum):
    """Where an answer stands: what is to be done, or how an attempt ended."""

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
    CALLER_LEFT = "caller_left"
    CALLER_STUCK = "caller_stuck"
    FAILED = "failed"
    DONE = "done"


class Phase(Enum):
    """What an answer waits for."""

    PLACING = "placing"
    OPENING = "opening"
    READING = "reading"
    WRITING = "writing"


class CallerView(Protocol):
    """What the watch sees of a caller's connection."""

    def is_gone(self) -> bool:
        """Return whether the connection is closed."""

    def count_unsent(self) -> int:
        """Return how many bytes wait in the connection's buffer."""

    def send_heartbeat(self) -> None:
        """Send a comment line, without waiting."""


class StreamWatch:
    """Tells when one answer has stopped moving.

    Until the deadline everything that an engine sends counts as a sign of
    life, and every byte that the caller takes; afterwards only events count.
    An engine that still sends heartbeats then is too late, not silent.

    Args:
        limits: The limits in ticks.
        deadline: When the class's target for the whole answer ends.
        sequence: The answer's events.
        caller: The caller's connection.
        interrupt: Called once when the answer has stopped moving.

    Attributes:
        phase: What the answer waits for.
        reads: How often something was read from an engine.
        expired: Why the answer was interrupted, until it is taken.
    """

    def __init__(
        self,
        limits: WatchLimits,
        deadline: float,
        sequence: EventSequence,
        caller: CallerView,
        interrupt: Callable[[], None],
    ) -> None:
        self.phase = Phase.PLACING
        self.reads = 0
        self.expired: Step | None = None
        self._limits = limits
        self._deadline = deadline
        self._sequence = sequence
        self._caller = caller
        self._interrupt = interrupt
        self._mark: tuple[Phase, int] = (Phase.PLACING, 0)
        self._still = 0
        self._reads = 0
        self._told = sequence.next_offset
        self._quiet = limits.caller_heartbeat - limits.begin

    def tick(self, now: float) -> None:
        """Look at the answer once.

        Args:
            now: The monotonic clock in seconds.
        """
        if self.expired is not None:
            return
        if self._caller.is_gone():
            self._expire(Step.CALLER_LEFT)
            return
        late = now >= self._deadline
        self._keep_caller()
        if self.phase is Phase.PLACING:
            if late:
                self._expire(Step.TOO_LATE)
            return
        self._count_still(late)

    def move(self) -> bool:
        """Interrupt the answer because another engine goes on with it.

        Returns:
            Whether it was interrupted. It is while it reads from an engine:
            at any other time events may be on their way to the caller.
        """
        if self.expired is not None or self.phase is not Phase.READING:
            return False
        self._expire(Step.MOVED)
        return True

    def take_expiry(self) -> Step | None:
        """Return why the answer was interrupted, and forget it."""
        expired, self.expired = self.expired, None
        self._still = 0
        return expired

    def _count_still(self, late: bool) -> None:
        mark = (self.phase, _MARKS[self.phase](self, late))
        if mark != self._mark:
            self._mark = mark
            self._still = 0
            self._reads = self.reads
            return
        self._still += 1
        limit, step = _LIMITS[self.phase](self._limits)
        if self._still >= limit:
            alive = self.phase is Phase.READING and self.reads != self._reads
            self._expire(Step.TOO_LATE if alive else step)

    def _keep_caller(self) -> None:
        """Send a heartbeat to a caller that was sent nothing for long."""
        if self._told != self._sequence.next_offset:
            self._told = self._sequence.next_offset
            self._quiet = 0
            return
        self._quiet += 1
        if self._quiet >= self._limits.caller_heartbeat:
            self._quiet = 0
            if self.phase is not Phase.WRITING:
                self._caller.send_heartbeat()

    def _expire(self, step: Step) -> None:
        self.expired = step
        self._interrupt()

    def _mark_opening(self, late: bool) -> int:
        return 0

    def _mark_reading(self, late: bool) -> int:
        return self._sequence.next_offset if late else self.reads

    def _mark_writing(self, late: bool) -> int:
        return self.reads if late else self._caller.count_unsent()


_MARKS = {
    Phase.OPENING: StreamWatch._mark_opening,
    Phase.READING: StreamWatch._mark_reading,
    Phase.WRITING: StreamWatch._mark_writing,
}
_LIMITS: dict[Phase, Callable[[WatchLimits], tuple[int, Step]]] = {
    Phase.OPENING: lambda limits: (limits.engine_idle, Step.SILENT),
    Phase.READING: lambda limits: (limits.engine_idle, Step.SILENT),
    Phase.WRITING: lambda limits: (limits.caller_idle, Step.CALLER_STUCK),
}


class IdleWatch:
    """Looks at all open streams with one subscription to the timer service.

    A process that was paused finds one tick due, not many, and so takes no
    server for silent because it slept itself.

    Args:
        timers: The timer service.
        tick_s: How often the streams are looked at, in seconds.
    """

    def __init__(self, timers: Timers, tick_s: float) -> None:
        self._timers = timers
        self._tick_s = tick_s
        self._streams: dict[int, StreamWatch] = {}
        self._subscription: Subscription | None = None

    def __len__(self) -> int:
        return len(self._streams)

    def start(self) -> None:
        """Begin to look at streams."""
        self._subscription = self._timers.subscribe(self._tick_s, self._tick)

    def stop(self) -> None:
        """End the subscription."""
        if self._subscription is not None:
            self._subscription.cancel()

    def add(self, stream: StreamWatch) -> None:
        """Watch a stream until it is removed."""
        self._streams[id(stream)] = stream

    def remove(self, stream: StreamWatch) -> None:
        """Watch a stream no longer."""
        self._streams.pop(id(stream), None)

    def _tick(self) -> None:
        now = self._timers.now()
        for stream in tuple(self._streams.values()):
            stream.tick(now)
