"""The timer service: clocks, and callbacks that parts subscribe to."""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Protocol

from eliot import log_message

__all__ = ["LoopTimers", "ManualTimers", "Subscription", "Timers"]


class Subscription:
    """A callback's place in a timer service, which ``cancel`` ends.

    Attributes:
        cancelled: Whether the callback is no longer due.
    """

    def __init__(self) -> None:
        self.cancelled = False
        self._handle: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        """End the subscription; calling it again has no effect."""
        self.cancelled = True
        if self._handle is not None:
            self._handle.cancel()


class Timers(Protocol):
    """What the parts of the daemon may ask of time."""

    def now(self) -> float:
        """Return the monotonic clock in seconds."""

    def wall(self) -> float:
        """Return the wall clock in seconds since 1970."""

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call back once, after a delay in seconds."""

    def subscribe(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call back again and again, an interval in seconds apart."""


class LoopTimers:
    """The timer service of a running event loop.

    Its clock counts the time for which the host was suspended, so that what
    was known before does not look fresh afterwards.
    """

    def now(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the wall clock in seconds since 1970."""
        return time.time()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call back once, after a delay in seconds."""
        subscription = Subscription()
        loop = asyncio.get_running_loop()
        subscription._handle = loop.call_later(delay_s, callback)
        return subscription

    def subscribe(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call back again and again, an interval in seconds apart.

        A callback that raises is logged and keeps its subscription.
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
    """A timer service that moves only when told to.

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
        self._now = 0.0
        self._wall_offset = wall_s
        self._due: list[tuple[float, int, Callable[[], None], Subscription]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Return the monotonic clock in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the wall clock in seconds since 1970."""
        return self._wall_offset + self._now

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call back once, after a delay in seconds."""
        subscription = Subscription()
        self._push(self._now + delay_s, callback, subscription)
        return subscription

    def subscribe(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call back again and again, an interval in seconds apart."""
        subscription = Subscription()

        def fire() -> None:
            self._push(self._now + interval_s, fire, subscription)
            callback()

        self._push(self._now + interval_s, fire, subscription)
        return subscription

    def advance(self, seconds: float) -> None:
        """Move both clocks on, calling back whatever falls due, in order."""
        end = self._now + seconds
        while self._due and self._due[0][0] <= end:
            due, _, callback, subscription = heapq.heappop(self._due)
            self._now = max(self._now, due)
            if not subscription.cancelled:
                callback()
        self._now = end

    def _push(
        self, due: float, callback: Callable[[], None], subscription: Subscription
    ) -> None:
        heapq.heappush(self._due, (due, next(self._order), callback, subscription))
