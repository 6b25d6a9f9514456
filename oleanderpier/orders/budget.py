"""A rate that the whole fleet shares, such as that of the weight store."""

from collections import deque
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from expression import Error, Ok, Result

from oleanderpier.orders.lease import Lease
from oleanderpier.orders.leases import Leases
from oleanderpier.orders.limits import (
    ORDER_TIMEOUT_S,
    PERMIT_LIFETIME_S,
    RETRY_DELAY_S,
    ROUND_TIMEOUT_S,
)
from oleanderpier.orders.messages import StartQuery, StartReply
from oleanderpier.results import Code, Failure
from oleanderpier.utils import Outbox, Subscription, Timers

__all__ = ["Budget", "PermitCallback", "SlidingWindow", "StartPermit"]


class StartPermit:
    """The right to begin one order that draws on a budget.

    Args:
        timers: The timer service.
        requested_s: When it was asked for, by the monotonic clock.
    """

    def __init__(self, timers: Timers, requested_s: float):
        self._timers = timers
        self._expires_s = requested_s + PERMIT_LIFETIME_S

    @property
    def valid(self) -> bool:
        """Whether the order may still be written."""
        return self._timers.now() < self._expires_s


PermitCallback = Callable[[Result[StartPermit, Failure]], None]


class SlidingWindow:
    """Hands out a number of starts in any window of time, and none in the first.

    Args:
        timers: The timer service.
        limit: How many starts a window may have.
        window_s: Length of the window, in seconds.
        since_s: When the first window began, by the monotonic clock.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> timers = ManualTimers()
        >>> window = SlidingWindow(timers, 1, 10.0, timers.now())
        >>> window.try_start()
        10.0
        >>> timers.advance(10.0)
        >>> window.try_start(), window.try_start()
        (0.0, 10.0)
    """

    def __init__(self, timers: Timers, limit: int, window_s: float, since_s: float):
        self._timers = timers
        self._window_s = window_s
        self._start_times_s = deque([since_s] * limit, maxlen=limit)

    def try_start(self) -> float:
        """Take one start, or return how many seconds to wait for one."""
        now = self._timers.now()
        wait_s = self._start_times_s[0] + self._window_s - now
        if wait_s > 0:
            return wait_s
        self._start_times_s.append(now)
        return 0.0


class Budget:
    """Shares out the starts of a budget; the holder of its lease counts them.

    Args:
        subject: The budget's name, the subject of its lease.
        incarnation: Which process of the host this is; never used twice.
        timers: The timer service.
        outbox: Sends to other hosts.
        leases: This host's leases.
        limit: How many starts there may be in any period.
        period_s: Length of the period, in seconds.
    """

    def __init__(
        self,
        subject: str,
        incarnation: str,
        timers: Timers,
        outbox: Outbox,
        leases: Leases,
        limit: int,
        period_s: float,
    ):
        self._subject = subject
        self._incarnation = incarnation
        self._timers = timers
        self._outbox = outbox
        self._leases = leases
        self._limit = limit
        self._window_s = period_s + PERMIT_LIFETIME_S + ORDER_TIMEOUT_S
        self._lease: Lease | None = None
        self._window: SlidingWindow | None = None
        self._pending: dict[int, _PendingQuery] = {}
        self._sequence = 0

    def request_permit(self, notify: PermitCallback) -> None:
        """Ask for one start, from whichever host has the budget's lease.

        If no host has it, this one tries to get it.

        Args:
            notify: Called once, possibly before this returns: with the start,
                or with a failure that says when to come back.
        """
        holder = self._leases.find_holder(self._subject)
        if self._leases.find_lease(self._subject) is not None:
            asked_s = self._timers.now()
            notify(self._make_result(self._try_grant(), asked_s))
        elif holder is not None:
            self._query_holder(holder, notify)
        else:
            self._acquire_lease(notify)

    def handle(self, sender: str, message: Any) -> None:
        """Take a message from another host."""
        self._receive(message, sender)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no message about budgets: {message!r}")

    @_receive.register
    def _(self, message: StartQuery, sender: str) -> None:
        wait_s = self._try_grant()
        retry_after_s = 0.0 if wait_s is None else wait_s
        granted = wait_s == 0
        tell = StartReply(*message, granted, retry_after_s)
        self._outbox.send(sender, tell)

    @_receive.register
    def _(self, message: StartReply, sender: str) -> None:
        if message.incarnation != self._incarnation:
            return
        query = self._pending.pop(message.sequence, None)
        if query is None:
            return
        query.timer.cancel()
        unheld = not message.granted and not message.retry_after_s
        if unheld:
            self._leases.forget_holder(self._subject)
        wait_s = None if unheld else message.retry_after_s
        query.notify(self._make_result(wait_s, query.requested_s))

    def _try_grant(self) -> float | None:
        """Take one start; return 0, the wait, or None without the lease."""
        lease = self._leases.find_lease(self._subject)
        if lease is None or not lease.has_time_for(PERMIT_LIFETIME_S + ORDER_TIMEOUT_S):
            return None
        if lease is not self._lease:
            self._lease = lease
            self._window = SlidingWindow(
                self._timers, self._limit, self._window_s, lease.granted_s
            )
        return self._window.try_start()

    def _make_result(
        self, wait_s: float | None, asked_s: float
    ) -> Result[StartPermit, Failure]:
        if wait_s == 0:
            return Ok(StartPermit(self._timers, asked_s))
        retry_after_s = RETRY_DELAY_S if wait_s is None else wait_s
        text = f"no start of {self._subject} now"
        return Error(Failure(Code.LEASE_NOT_HELD, text, retry_after_s))

    def _acquire_lease(self, notify: PermitCallback) -> None:
        def go_on(result: Result[Lease, Failure]) -> None:
            holder = self._leases.find_holder(self._subject)
            if result.is_ok():
                notify(self._make_result(self._try_grant(), self._timers.now()))
            elif holder is not None:
                self._query_holder(holder, notify)
            else:
                notify(Error(result.error))

        self._leases.acquire(self._subject, ROUND_TIMEOUT_S, go_on)

    def _query_holder(self, holder: str, notify: PermitCallback) -> None:
        self._sequence += 1
        sequence = self._sequence

        def expire() -> None:
            del self._pending[sequence]
            self._leases.forget_holder(self._subject)
            notify(self._make_result(None, self._timers.now()))

        timer = self._timers.call_later(PERMIT_LIFETIME_S, expire)
        self._pending[sequence] = _PendingQuery(notify, self._timers.now(), timer)
        self._outbox.send(
            holder, StartQuery(self._subject, self._incarnation, sequence)
        )


class _PendingQuery:
    """A start that another host was asked for."""

    def __init__(self, notify: PermitCallback, asked_s: float, timer: Subscription):
        self.notify = notify
        self.requested_s = asked_s
        self.timer = timer
