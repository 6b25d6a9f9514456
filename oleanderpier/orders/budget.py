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
    ROUND_RETRY_S,
    ROUND_S,
    START_LIFE_S,
)
from oleanderpier.orders.messages import StartQuery, StartTell
from oleanderpier.results import Code, Failure
from oleanderpier.utils import Outbox, Subscription, Timers

__all__ = ["Budget", "NotifyStart", "Start", "StartWindow"]


class Start:
    """The right to begin one order that draws on a budget.

    Args:
        timers: The timer service.
        asked_s: When it was asked for, by the monotonic clock.
    """

    def __init__(self, timers: Timers, asked_s: float):
        self._timers = timers
        self._ends_s = asked_s + START_LIFE_S

    @property
    def valid(self) -> bool:
        """Whether the order may still be written."""
        return self._timers.now() < self._ends_s


NotifyStart = Callable[[Result[Start, Failure]], None]


class StartWindow:
    """Hands out a number of starts in any window of time, and none in the first.

    Args:
        timers: The timer service.
        starts: How many starts a window may have.
        window_s: Length of the window, in seconds.
        since_s: When the first window began, by the monotonic clock.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> timers = ManualTimers()
        >>> window = StartWindow(timers, 1, 10.0, timers.now())
        >>> window.take()
        10.0
        >>> timers.advance(10.0)
        >>> window.take(), window.take()
        (0.0, 10.0)
    """

    def __init__(self, timers: Timers, starts: int, window_s: float, since_s: float):
        self._timers = timers
        self._window_s = window_s
        self._taken = deque([since_s] * starts, maxlen=starts)

    def take(self) -> float:
        """Take one start, or return how many seconds to wait for one."""
        now = self._timers.now()
        wait_s = self._taken[0] + self._window_s - now
        if wait_s > 0:
            return wait_s
        self._taken.append(now)
        return 0.0


class Budget:
    """Shares out the starts of a budget; the holder of its lease counts them.

    Args:
        subject: The budget's name, the subject of its lease.
        incarnation: Which process of the host this is; never used twice.
        timers: The timer service.
        outbox: Sends to other hosts.
        leases: This host's leases.
        starts: How many starts there may be in any period.
        period_s: Length of the period, in seconds.
    """

    def __init__(
        self,
        subject: str,
        incarnation: str,
        timers: Timers,
        outbox: Outbox,
        leases: Leases,
        starts: int,
        period_s: float,
    ):
        self._subject = subject
        self._incarnation = incarnation
        self._timers = timers
        self._outbox = outbox
        self._leases = leases
        self._starts = starts
        self._window_s = period_s + START_LIFE_S + ORDER_TIMEOUT_S
        self._lease: Lease | None = None
        self._window: StartWindow | None = None
        self._open: dict[int, _Question] = {}
        self._number = 0

    def take(self, notify: NotifyStart) -> None:
        """Ask for one start, from whichever host has the budget's lease.

        If no host has it, this one tries to get it.

        Args:
            notify: Called once, possibly before this returns: with the start,
                or with a failure that says when to come back.
        """
        holder = self._leases.find_holder(self._subject)
        if self._leases.find_lease(self._subject) is not None:
            asked_s = self._timers.now()
            notify(self._answer(self._hand_out(), asked_s))
        elif holder is not None:
            self._ask(holder, notify)
        else:
            self._acquire(notify)

    def handle(self, sender: str, message: Any) -> None:
        """Take a message from another host."""
        self._receive(message, sender)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no message about budgets: {message!r}")

    @_receive.register
    def _(self, message: StartQuery, sender: str) -> None:
        wait_s = self._hand_out()
        retry_after_s = 0.0 if wait_s is None else wait_s
        granted = wait_s == 0
        tell = StartTell(*message, granted, retry_after_s)
        self._outbox.send(sender, tell)

    @_receive.register
    def _(self, message: StartTell, sender: str) -> None:
        if message.incarnation != self._incarnation:
            return
        question = self._open.pop(message.number, None)
        if question is None:
            return
        question.timer.cancel()
        unheld = not message.granted and not message.retry_after_s
        if unheld:
            self._leases.forget_holder(self._subject)
        wait_s = None if unheld else message.retry_after_s
        question.notify(self._answer(wait_s, question.asked_s))

    def _hand_out(self) -> float | None:
        """Take one start; return 0, the wait, or None without the lease."""
        lease = self._leases.find_lease(self._subject)
        if lease is None or not lease.allows(START_LIFE_S + ORDER_TIMEOUT_S):
            return None
        if lease is not self._lease:
            self._lease = lease
            self._window = StartWindow(
                self._timers, self._starts, self._window_s, lease.gained_s
            )
        return self._window.take()

    def _answer(self, wait_s: float | None, asked_s: float) -> Result[Start, Failure]:
        if wait_s == 0:
            return Ok(Start(self._timers, asked_s))
        retry_after_s = ROUND_RETRY_S if wait_s is None else wait_s
        text = f"no start of {self._subject} now"
        return Error(Failure(Code.LEASE_NOT_HELD, text, retry_after_s))

    def _acquire(self, notify: NotifyStart) -> None:
        def go_on(result: Result[Lease, Failure]) -> None:
            holder = self._leases.find_holder(self._subject)
            if result.is_ok():
                notify(self._answer(self._hand_out(), self._timers.now()))
            elif holder is not None:
                self._ask(holder, notify)
            else:
                notify(Error(result.error))

        self._leases.acquire(self._subject, ROUND_S, go_on)

    def _ask(self, holder: str, notify: NotifyStart) -> None:
        self._number += 1
        number = self._number

        def expire() -> None:
            del self._open[number]
            self._leases.forget_holder(self._subject)
            notify(self._answer(None, self._timers.now()))

        timer = self._timers.call_later(START_LIFE_S, expire)
        self._open[number] = _Question(notify, self._timers.now(), timer)
        self._outbox.send(holder, StartQuery(self._subject, self._incarnation, number))


class _Question:
    """A start that another host was asked for."""

    def __init__(self, notify: NotifyStart, asked_s: float, timer: Subscription):
        self.notify = notify
        self.asked_s = asked_s
        self.timer = timer
