"""Records how far a caller's response has come."""

from oleanderpier.forwarding.records import Caller, ResponseHead
from oleanderpier.utils import Timers

__all__ = ["TrackedCaller"]


class TrackedCaller:
    """A caller, with a record of whether the response has started.

    Args:
        caller: The caller.
        timers: The timer service.

    Attributes:
        response_started: Whether the head of a stream was sent.
        stream_start_s: Seconds from the request until then, None before.
    """

    def __init__(self, caller: Caller, timers: Timers) -> None:
        self._caller = caller
        self._timers = timers
        self._started_s = timers.now()
        self.stream_start_s: float | None = None
        self.response_started = False
        self.write = caller.write
        self.finish_stream = caller.finish_stream
        self.abort = caller.abort
        self.refuse = caller.refuse
        self.deliver = caller.deliver

    async def begin_stream(self, head: ResponseHead) -> None:
        """Send the head of a streamed response."""
        self.response_started = True
        self.stream_start_s = self._timers.now() - self._started_s
        await self._caller.begin_stream(head)
