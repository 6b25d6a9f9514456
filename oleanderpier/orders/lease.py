"""A lease of one subject, under which its holder gives orders."""

from typing import NamedTuple

from oleanderpier.orders.limits import LEASE_MARGIN_S, ORDER_TIMEOUT_S, TERM_FENCE_COUNT
from oleanderpier.utils import Timers

__all__ = ["Lease", "LeaseTerm"]


class LeaseTerm(NamedTuple):
    """End and fencing tokens of a lease, as granted by one round.

    Attributes:
        ends_s: End, in seconds of the holder's monotonic clock.
        ends_wall_s: End, in seconds of the holder's wall clock since 1970. This
            clock continues while the whole machine is suspended.
        fence: First of ``TERM_FENCE_COUNT`` fencing tokens.
    """

    ends_s: float
    ends_wall_s: float
    fence: int


class Lease:
    """A lease that a majority of the witnesses granted to this process.

    A lease that has ended is never valid again; a new one must be acquired.

    Args:
        subject: Name of the engine or budget that the lease is for.
        timers: The timer service.
        term: The first term.

    Attributes:
        subject: Name of the engine or budget that the lease is for.
        granted_s: Time of the first grant, in seconds of the monotonic clock.
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
        """Time until the lease ends, in seconds; 0 once it has ended."""
        if self._released:
            return 0.0
        left_s = self._term.ends_s - self._timers.now()
        left_wall_s = self._term.ends_wall_s - self._timers.wall()
        return max(min(left_s, left_wall_s), 0.0)

    @property
    def settled(self) -> bool:
        """Whether no earlier order can still take effect."""
        return not self._order_open and self._timers.now() >= self._pending_until_s

    def has_time_for(self, duration_s: float) -> bool:
        """Return whether an operation that starts now ends before the lease.

        Args:
            duration_s: Longest duration of the operation, in seconds.
        """
        return self.left_s > duration_s + LEASE_MARGIN_S

    def may_write(self) -> bool:
        """Return whether an order may still be written to an engine."""
        return self.has_time_for(ORDER_TIMEOUT_S)

    def start_order(self) -> int | None:
        """Start an order and return its fencing token.

        Only one order runs at a time, so that none overtakes another.

        Returns:
            A token higher than all earlier ones; None if too little of the lease
            is left, an earlier order may still take effect, or the tokens of this
            term are used up.
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
        """Record that the started order has ended.

        Args:
            certain: Whether the order was executed, refused or never sent. If not,
                it may still take effect for ``ORDER_TIMEOUT_S``.
        """
        self._order_open = False
        if not certain:
            self._pending_until_s = self._timers.now() + ORDER_TIMEOUT_S

    def renew(self, term: LeaseTerm) -> None:
        """Replace the term by one with a later end and higher fencing tokens."""
        self._term = term
        self._used_fence_count = 0

    def end(self) -> None:
        """End the lease at once, so that no order starts under it."""
        self._released = True
