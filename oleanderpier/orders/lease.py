"""The right to give orders for one subject, for as long as it lasts."""

from typing import NamedTuple

from oleanderpier.orders.limits import LEASE_MARGIN_S, ORDER_TIMEOUT_S, TERM_FENCE_COUNT
from oleanderpier.utils import Timers

__all__ = ["Lease", "LeaseTerm"]


class LeaseTerm(NamedTuple):
    """One renewal of a lease: how long it lasts and which fences it covers.

    Attributes:
        ends_s: When it ends, by the holder's monotonic clock.
        ends_wall_s: The same by its wall clock, which also counts the time
            that the whole machine was suspended.
        fence: The first of ``TERM_FENCE_COUNT`` fencing tokens.
    """

    ends_s: float
    ends_wall_s: float
    fence: int


class Lease:
    """A lease that a majority of witnesses granted to this process.

    Once it has ended it stays ended; a new one has to be acquired.

    Args:
        subject: An engine's name, or that of a budget.
        timers: The timer service.
        term: What the first round gave.

    Attributes:
        granted_s: When it was granted, by the monotonic clock.
    """

    def __init__(self, subject: str, timers: Timers, term: LeaseTerm):
        self.subject = subject
        self.granted_s = timers.now()
        self._timers = timers
        self._term = term
        self._used_fence_count = 0
        self._order_open = False
        self._pending_until_s = 0.0
        self._released = False

    @property
    def left_s(self) -> float:
        """How long it lasts, in seconds; 0 once it has ended."""
        if self._released:
            return 0.0
        left_s = self._term.ends_s - self._timers.now()
        left_wall_s = self._term.ends_wall_s - self._timers.wall()
        return max(min(left_s, left_wall_s), 0.0)

    @property
    def settled(self) -> bool:
        """Whether no order that was started can still take effect."""
        return not self._order_open and self._timers.now() >= self._pending_until_s

    def has_time_for(self, duration_s: float) -> bool:
        """Return whether something may begin that takes up to some seconds."""
        return self.left_s > duration_s + LEASE_MARGIN_S

    def may_write(self) -> bool:
        """Return whether an order may still be written to an engine."""
        return self.has_time_for(ORDER_TIMEOUT_S)

    def start_order(self) -> int | None:
        """Return the fencing token of a new order.

        Orders go one at a time, so that none overtakes another.

        Returns:
            A token above all earlier ones; None if too little of the lease is
            left, an earlier order may still take effect, or the tokens of this
            renewal are used up.
        """
        if (
            not self.may_write()
            or not self.settled
            or self._used_fence_count == TERM_FENCE_COUNT
        ):
            return None
        fence = self._term.fence + self._used_fence_count
        self._used_fence_count += 1
        self._order_open = True
        return fence

    def finish_order(self, certain: bool) -> None:
        """Note what came of an order.

        Args:
            certain: Whether it was obeyed, refused or never sent. Otherwise it
                may still take effect for ``ORDER_TIMEOUT_S``.
        """
        self._order_open = False
        if not certain:
            self._pending_until_s = self._timers.now() + ORDER_TIMEOUT_S

    def renew(self, term: LeaseTerm) -> None:
        """Go on with a later end and higher fences."""
        self._term = term
        self._used_fence_count = 0

    def end(self) -> None:
        """Start nothing under it any more."""
        self._released = True
