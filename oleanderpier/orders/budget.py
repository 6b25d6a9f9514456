"""Limits a rate of orders over the whole fleet, such as loads from the weight store."""

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
    """Permission to start one order that counts towards a budget.

    Args:
        timers: The timer service.
        requested_s: Time of the request for the permit, in seconds of the monotonic
            clock. The permit expires ``PERMIT_LIFETIME_S`` later.
    """

    def __init__(self, timers: Timers, requested_s: float):
        self._timers = timers
        self._expires_s = requested_s + PERMIT_LIFETIME_S

    @property
    def valid(self) -> bool:
        """Whether the order may still be sent."""
        return self._timers.now() < self._expires_s


PermitCallback = Callable[[Result[StartPermit, Failure]], None]


class SlidingWindow:
    """Limits the number of starts in any time window; the first one counts as full.

    Args:
        timers: The timer service.
        limit: Largest number of starts in a window.
        window_s: Length of the window, in seconds.
        since_s: Start of the first window, in seconds of the monotonic clock.

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
        """Count one start and return 0, or return the seconds until one is free."""
        now = self._timers.now()
        wait_s = self._start_times_s[0] + self._window_s - now
        if wait_s > 0:
            return wait_s
        self._start_times_s.append(now)
        return 0.0


class Budget:
    """Grants start permits, so that the whole fleet keeps to one rate of orders.

    The holder of the budget's lease counts the permits that all hosts request. Its
    window is longer than the period by the lifetime of a permit and the time-out of
    an order, since an order may arrive that much after its permit was granted.

    Args:
        subject: Name of the budget, which is the subject of its lease.
        incarnation: Id of this process; never used twice on the host.
        timers: The timer service.
        outbox: Sends messages to other hosts.
        leases: This host's leases.
        limit: Largest number of starts in any period.
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
        """Request a start permit from the host that holds the budget's lease.

        If no holder is known, this host tries to acquire the lease.

        Args:
            notify: Called once, possibly before this returns: with the permit, or
                with a failure of code ``LEASE_NOT_HELD`` that has the seconds after
                which to retry.
        """
        holder = self._leases.find_holder(self._subject)
        if self._leases.find_lease(self._subject) is not None:
            requested_s = self._timers.now()
            notify(self._make_result(self._try_grant(), requested_s))
        elif holder is not None:
            self._query_holder(holder, notify)
        else:
            self._acquire_lease(notify)

    def handle(self, sender: str, message: Any) -> None:
        """Handle a message from a peer."""
        self._receive(message, sender)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no handler for budget message {message!r}")

    @_receive.register
    def _(self, message: StartQuery, sender: str) -> None:
        wait_s = self._try_grant()
        retry_after_s = 0.0 if wait_s is None else wait_s
        granted = wait_s == 0
        reply = StartReply(*message, granted, retry_after_s)
        self._outbox.send(sender, reply)

    @_receive.register
    def _(self, message: StartReply, sender: str) -> None:
        if message.incarnation != self._incarnation:
            return
        query = self._pending.pop(message.sequence, None)
        if query is None:
            return
        query.timer.cancel()
        not_held = not message.granted and not message.retry_after_s
        if not_held:
            self._leases.forget_holder(self._subject)
        wait_s = None if not_held else message.retry_after_s
        query.notify(self._make_result(wait_s, query.requested_s))

    def _try_grant(self) -> float | None:
        """Grant a permit if the lease is held and one is free.

        Returns:
            0 if a permit is granted; the seconds until one is free; None if this
            process does not hold the lease or too little of it is left.
        """
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
        self, wait_s: float | None, requested_s: float
    ) -> Result[StartPermit, Failure]:
        if wait_s == 0:
            return Ok(StartPermit(self._timers, requested_s))
        retry_after_s = RETRY_DELAY_S if wait_s is None else wait_s
        text = f"no start permit for {self._subject} now"
        return Error(Failure(Code.LEASE_NOT_HELD, text, retry_after_s))

    def _acquire_lease(self, notify: PermitCallback) -> None:
        def handle_lease(result: Result[Lease, Failure]) -> None:
            holder = self._leases.find_holder(self._subject)
            if result.is_ok():
                notify(self._make_result(self._try_grant(), self._timers.now()))
            elif holder is not None:
                self._query_holder(holder, notify)
            else:
                notify(Error(result.error))

        self._leases.acquire(self._subject, ROUND_TIMEOUT_S, handle_lease)

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
    """A query for a start permit that awaits its reply.

    Args:
        notify: Called with the permit or a failure.
        requested_s: Time of the query, in seconds of the monotonic clock.
        timer: Ends the wait for the reply.
    """

    def __init__(self, notify: PermitCallback, requested_s: float, timer: Subscription):
        self.notify = notify
        self.requested_s = requested_s
        self.timer = timer
