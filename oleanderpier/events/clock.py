"""A hybrid logical clock, by which events of many hosts are ordered.

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
        time_us: The latest wall clock seen by this host or by one whose
            message it got, in microseconds since 1970.
        count: Orders the events of one ``time_us``, from 0.
    """

    time_us: StampField
    count: StampField


class Clock:
    """The hybrid logical clock of one process.

    Each stamp is above all stamps given out or observed before. Its time
    stays within the largest skew between wall clocks that have met.

    Args:
        timers: Where the wall clock is read.

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
        """The highest stamp given out or taken in so far."""
        return self._last

    def merge(self, stamp: Stamp) -> None:
        """Take in the stamp of a message that came, without an event here."""
        self._last = max(self._last, Stamp(*stamp))

    def tick(self) -> Stamp:
        """Return the stamp of a local event or of a message to be sent."""
        return self._advance(self._last)

    def observe(self, stamp: Stamp) -> Stamp:
        """Take in the stamp of a message that came, and stamp its arrival.

        Args:
            stamp: The sender's stamp; a plain pair is taken as well.

        Returns:
            A stamp above the message's and all of this host.
        """
        return self._advance(max(self._last, Stamp(*stamp)))

    def _advance(self, latest: Stamp) -> Stamp:
        wall_us = int(self._timers.wall() * MICROSECONDS_PER_S)
        if wall_us > latest.time_us:
            self._last = Stamp(wall_us, 0)
        else:
            self._last = Stamp(latest.time_us, latest.count + 1)
        return self._last
