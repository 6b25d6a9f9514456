"""The timer service: clocks, and one-off and repeated callbacks."""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Protocol

from eliot import log_message

__all__ = ["LoopTimers", "ManualTimers", "Subscription", "Timers"]


class Subscription:
    """A scheduled callback, which can be cancelled.

    Attributes:
        cancelled: Whether ``cancel`` has been called.
    """

    def __init__(self) -> None:
        self.cancelled = False
        self._handle: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        """Cancel the callback; further calls have no effect."""
        self.cancelled = True
        if self._handle is not None:
            self._handle.cancel()


class Timers(Protocol):
    """Interface of the timer service, through which components access time."""

    def now(self) -> float:
        """Return the monotonic clock in seconds."""

    def wall(self) -> float:
        """Return the wall clock in seconds since 1970."""

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call back once after a delay in seconds."""

    def subscribe(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call back repeatedly at an interval in seconds."""


class LoopTimers:
    """The timer service of a running event loop.

    Its monotonic clock includes the time for which the host was suspended, so
    that state from before a suspension is not mistaken for recent.
    """

    def now(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the wall clock in seconds since 1970."""
        return time.time()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call back once after a delay in seconds."""
        subscription = Subscription()
        loop = asyncio.get_running_loop()
        subscription._handle = loop.call_later(delay_s, callback)
        return subscription

    def subscribe(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call back repeatedly at an interval in seconds.

        An exception of the callback is logged; the callback is called again.
        """
        subscription = Subscription()
        loop = asyncio.get_running_loop()

        def fire() -> None:
            subscription._handle = loop.call_later(interval_s, fire)
            try:
                callback()
            except Exception as error:
                log_message("timers:callback_failed", reason=repr(error))

        subscription._handle = loop.call_later(interval_s, fire)
        return subscription


class ManualTimers:
    """A timer service whose time moves only by calls of ``advance``, for tests.

    Args:
        wall_s: The wall clock at the start, in seconds since 1970.

    Examples:
        >>> timers = ManualTimers()
        >>> seen = []
        >>> _ = timers.call_later(2.0, lambda: seen.append(timers.now()))
        >>> timers.advance(5.0)
        >>> seen
        [2.0]
    """

    def __init__(self, wall_s: float = 1_700_000_000.0) -> None:
        self._now_s = 0.0
        self._wall_offset_s = wall_s
        self._queue: list[tuple[float, int, Callable[[], None], Subscription]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Return the monotonic clock in seconds."""
        return self._now_s

    def wall(self) -> float:
        """Return the wall clock in seconds since 1970."""
        return self._wall_offset_s + self._now_s

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call back once after a delay in seconds."""
        subscription = Subscription()
        self._push(self._now_s + delay_s, callback, subscription)
        return subscription

    def subscribe(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call back repeatedly at an interval in seconds."""
        subscription = Subscription()

        def fire() -> None:
            self._push(self._now_s + interval_s, fire, subscription)
            callback()

        self._push(self._now_s + interval_s, fire, subscription)
        return subscription

    def advance(self, seconds: float) -> None:
        """Advance both clocks and run the callbacks that fall due, in order."""
        end_s = self._now_s + seconds
        while self._queue and self._queue[0][0] <= end_s:
            due_s, _, callback, subscription = heapq.heappop(self._queue)
            self._now_s = max(self._now_s, due_s)
            if not subscription.cancelled:
                callback()
        self._now_s = end_s

    def _push(
        self, due_s: float, callback: Callable[[], None], subscription: Subscription
    ) -> None:
        heapq.heappush(self._queue, (due_s, next(self._order), callback, subscription))
