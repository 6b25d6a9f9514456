"""Holds back the requests of a host that has just started.

It answers this load pattern: hosts restart one after the other while a request comes
again and again that crashes each server that runs it. A host that starts can have the
routes and servers from the store, and serve callers, some milliseconds before the
other hosts have told it which requests to refuse.
"""

import asyncio
from collections.abc import Callable

from oleanderpier.utils import Timers

__all__ = ["FirstContact"]

# Upper bound of the hold, for hosts that none of the others answer. On a busy machine
# quarantines arrive up to 0.19 s after a host is ready.
MAX_HOLD_S = 0.25
# A host sends its quarantines when it gets the first report of a host that starts, but
# may have reported to it before.
SETTLE_S = 0.05


class FirstContact:
    """Tells when a host that has just started has heard from a ready one.

    Until ``begin`` is called nothing is held back.

    Args:
        list_others: Returns the other hosts that are not known to have failed.
        timers: The timer service.
    """

    def __init__(self, list_others: Callable[[], list[str]], timers: Timers) -> None:
        self._list_others = list_others
        self._timers = timers
        self._reported: set[str] = set()
        self._has_heard = False
        self._is_over = asyncio.Event()
        self._is_over.set()

    @property
    def is_over(self) -> bool:
        """Whether requests are no longer held back."""
        return self._is_over.is_set()

    def begin(self) -> None:
        """Hold requests back, unless this host has no others to hear from."""
        if self._list_others():
            self._is_over.clear()
            self._timers.call_later(MAX_HOLD_S, self._is_over.set)

    def receive_report(self, host: str, ready: bool) -> None:
        """Record the report of another host."""
        if self.is_over or self._has_heard:
            return
        self._reported.add(host)
        if ready:
            self._has_heard = True
            self._timers.call_later(SETTLE_S, self._is_over.set)
        elif self._reported.issuperset(self._list_others()):
            # All hosts start at once, and none knows more than this one.
            self._is_over.set()

    async def wait(self) -> None:
        """Wait until requests are no longer held back."""
        await self._is_over.wait()
