"""When backend servers sent something, and when they were silent.

It answers this load pattern: a server crashes while its link is cut, or while this host
stands still, and listens again when this host reads the end of its connections. Whether
it listens then says nothing about the responses; that nothing at all came from it for
as long as a restart takes does.
"""

from typing import NamedTuple

from oleanderpier.utils import Timers

__all__ = ["MIN_RESTART_S", "ServerActivity"]

# A server that has crashed listens again no sooner.
MIN_RESTART_S = 1.0


class _Silence(NamedTuple):
    """A time in which a server sent nothing, in seconds on the timer service's clock.

    Attributes:
        since_s: When it had last sent something.
        until_s: When it sent something again.
    """

    since_s: float
    until_s: float


class ServerActivity:
    """When each backend server last sent something, on any connection of this host.

    Args:
        timers: The timer service.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> timers = ManualTimers()
        >>> activity = ServerActivity(timers)
        >>> activity.record_activity("i-1")
        >>> timers.advance(3.0)
        >>> activity.record_activity("i-1")
        >>> activity.get_last_silence_s("i-1", since_s=0.5)
        2.5
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._last_activity_s: dict[str, float] = {}
        self._last_data_s: dict[str, float] = {}
        # The last silence of each server that lasted ``MIN_RESTART_S`` or longer.
        self._silences: dict[str, _Silence] = {}

    def record_activity(self, identity: str, is_data: bool = True) -> None:
        """Record that a server has just sent something.

        Args:
            identity: The id of the server.
            is_data: Whether it was more than the end of a connection, which servers
                send as they end.
        """
        now_s = self._timers.now()
        since_s = self._last_activity_s.get(identity, float("-inf"))
        if now_s - since_s >= MIN_RESTART_S:
            self._silences[identity] = _Silence(since_s, now_s)
        self._last_activity_s[identity] = now_s
        if is_data:
            self._last_data_s[identity] = now_s

    def remove_server(self, identity: str) -> None:
        """Remove the record of a server that is gone or has restarted."""
        self._last_activity_s.pop(identity, None)
        self._last_data_s.pop(identity, None)
        self._silences.pop(identity, None)

    def has_sent_data_since(self, identity: str, at_s: float) -> bool:
        """Return whether a server has sent data after some time."""
        return self._last_data_s.get(identity, float("-inf")) > at_s

    def get_silence_s(self, identity: str, since_s: float) -> float:
        """Return how long a server has been silent, in seconds.

        Args:
            identity: The id of the server.
            since_s: When the wait for it began; earlier silence does not count.
        """
        last_activity_s = max(since_s, self._last_activity_s.get(identity, since_s))
        return self._timers.now() - last_activity_s

    def get_last_silence_s(self, identity: str, since_s: float) -> float:
        """Return how long the last silence of a server was, in seconds.

        0 if none was as long as ``MIN_RESTART_S``.

        Args:
            identity: The id of the server.
            since_s: When the wait for it began; earlier silence does not count.
        """
        silence = self._silences.get(identity)
        if silence is None:
            return 0.0
        return max(0.0, silence.until_s - max(since_s, silence.since_s))
