"""Which servers are reading long prompts now, and for how long.

The module addresses this load pattern: an engine reads prompts in chunks between the
tokens of its other requests. A long prompt that is not cached delays every request that
runs beside it, and two at a time delay each other.

All times are arguments, in seconds on the monotonic clock.
"""

from collections.abc import Set
from typing import NamedTuple

from oleanderpier.routing.records import ServerEntry

__all__ = ["MIN_PREFILL_TOKENS", "KnownPrefill", "Prefills"]

# Prompts with fewer uncached tokens are read in a few steps of an engine: 4,000 take 36
# to 47 ms by the users' figures, a tenth of the latency targets.
MIN_PREFILL_TOKENS = 4000
# Upper bound of the time that a server is expected to read prompts. The longest prompt
# takes 0.14 s, and up to four times that on a slow machine. The bound limits the effect
# of a wrong figure.
MAX_REMAINING_S = 2.0


class KnownPrefill(NamedTuple):
    """The long prompts that a server is reading.

    Attributes:
        born_ms: The start of the server's run, as in ``ServerEntry``.
        until_s: When it is expected to have read all of them.
        known_s: When this host learned of the last one.
    """

    born_ms: int
    until_s: float
    known_s: float


class Prefills:
    """The servers that are reading long prompts, by what hosts have sent to them.

    A server reads prompts that arrive at the same time in turns, so that their times
    add up.

    Examples:
        >>> server = ServerEntry("s1", "engine", "10.0.0.7:80", "duluth", False, 5)
        >>> prefills = Prefills()
        >>> prefills.record(server, 11_812, 0.125, now_s=1.0)
        >>> prefills.record(server, 11_812, 0.125, now_s=1.0)
        >>> prefills.get_remaining_s(server, 1.125)
        0.125
        >>> prefills.get_remaining_s(server, 1.25)
        0.0
    """

    def __init__(self) -> None:
        self._known: dict[str, KnownPrefill] = {}
        # The earliest end of a known prefill.
        self._first_end_s = 0.0

    def record(
        self, server: ServerEntry, tokens: int, expected_s: float, now_s: float
    ) -> None:
        """Record that a prompt was sent to a server.

        Args:
            server: The server.
            tokens: The tokens that it has not cached. Prompts with few are ignored.
            expected_s: How long it is expected to read them, if it reads no other.
            now_s: The time.
        """
        if tokens < MIN_PREFILL_TOKENS or not expected_s > 0.0:
            return
        known = self._known.get(server.identity)
        if known is not None and known.born_ms > server.born_ms:
            return
        begin_s = now_s
        if known is not None and known.born_ms == server.born_ms:
            begin_s = max(now_s, known.until_s)
        until_s = min(begin_s + expected_s, now_s + MAX_REMAINING_S)
        if not self._known or until_s < self._first_end_s:
            self._first_end_s = until_s
        self._known[server.identity] = KnownPrefill(server.born_ms, until_s, now_s)

    def get(self, server: ServerEntry, now_s: float) -> KnownPrefill | None:
        """Return what this run of a server is reading, None if it reads nothing."""
        known = self._known.get(server.identity)
        if known is None or known.born_ms != server.born_ms or known.until_s <= now_s:
            return None
        return known

    def get_remaining_s(self, server: ServerEntry, now_s: float) -> float:
        """Return for how long a server still reads long prompts, 0 if it does not."""
        known = self.get(server, now_s)
        return 0.0 if known is None else known.until_s - now_s

    def list_reading(self, now_s: float) -> Set[str]:
        """Return the ids of the servers that are reading long prompts."""
        if self._known and now_s >= self._first_end_s:
            self._known = {
                identity: known
                for identity, known in self._known.items()
                if known.until_s > now_s
            }
            ends_s = (known.until_s for known in self._known.values())
            self._first_end_s = min(ends_s, default=0.0)
        return self._known.keys()

    def remove_server(self, identity: str) -> None:
        """Remove what is known of a server that is gone or has restarted."""
        self._known.pop(identity, None)
