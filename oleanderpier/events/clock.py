"""A hybrid logical clock, which orders the events of many hosts.

References:
    S. S. Kulkarni, M. Demirbas, D. Madappa, B. Avva and M. Leone, "Logical
    physical clocks", OPODIS 2014.
"""

from typing import Annotated, NamedTuple

from msgspec import Meta

from oleanderpier.utils import Timers

__all__ = ["Clock", "Stamp"]

MICROSECONDS_PER_S = 1_000_000

StampField = Annotated[int, Meta(ge=0, lt=1 << 53)]


class Stamp(NamedTuple):
    """A point in logical time; stamps are ordered as tuples.

    Attributes:
        time_us: The latest wall clock time that this host has read or
            received in a stamp, in microseconds since 1970.
        count: Counter from 0 that orders stamps of equal ``time_us``.
    """

    time_us: StampField
    count: StampField


class Clock:
    """The hybrid logical clock of one process.

    Each stamp is greater than all stamps issued or observed before. Its time
    differs from the wall clock by no more than the largest skew between the
    clocks of hosts that have exchanged stamps.

    Args:
        timers: Provides the wall clock.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> clock = Clock(ManualTimers(wall_s=1.0))
        >>> clock.tick()
        Stamp(time_us=1000000, count=0)
        >>> clock.tick()
        Stamp(time_us=1000000, count=1)
        >>> clock.observe(Stamp(5_000_000, 7))
        Stamp(time_us=5000000, count=8)
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._last = Stamp(0, 0)

    @property
    def last(self) -> Stamp:
        """The greatest stamp issued, merged or observed so far."""
        return self._last

    def merge(self, stamp: Stamp) -> None:
        """Merge the stamp of a received message without issuing a new one."""
        self._last = max(self._last, Stamp(*stamp))

    def tick(self) -> Stamp:
        """Return a new stamp for a local event or for a message to send."""
        return self._advance(self._last)

    def observe(self, stamp: Stamp) -> Stamp:
        """Merge the stamp of a received message and stamp its receipt.

        Args:
            stamp: The sender's stamp, or a plain pair of its fields.

        Returns:
            A stamp greater than the sender's and all earlier ones of this host.
        """
        return self._advance(max(self._last, Stamp(*stamp)))

    def _advance(self, latest: Stamp) -> Stamp:
        wall_us = int(self._timers.wall() * MICROSECONDS_PER_S)
        if wall_us > latest.time_us:
            self._last = Stamp(wall_us, 0)
        else:
            self._last = Stamp(latest.time_us, latest.count + 1)
        return self._last
