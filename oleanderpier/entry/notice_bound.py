"""Upper bound of the notices that a host sends to all other hosts per second."""

from collections import deque

__all__ = ["NoticeBound"]

# A notice goes to up to 130 hosts, so that 10 of each kind are 1,300 messages a second.
MAX_NOTICES_PER_S = 10


class NoticeBound:
    """Allows a number of notices in any second.

    Examples:
        >>> bound = NoticeBound(max_per_s=2)
        >>> [bound.acquire(now_s) for now_s in (0.0, 0.5, 0.9, 1.0, 1.2)]
        [True, True, False, True, False]
    """

    def __init__(self, max_per_s: int = MAX_NOTICES_PER_S) -> None:
        self._sent_s: deque[float] = deque(maxlen=max_per_s)

    def acquire(self, now_s: float) -> bool:
        """Return whether a notice may be sent now, and count it if so."""
        sent_s = self._sent_s
        if len(sent_s) == sent_s.maxlen and now_s < sent_s[0] + 1.0:
            return False
        sent_s.append(now_s)
        return True
