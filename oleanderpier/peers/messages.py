"""The messages that keep a stream between two hosts."""

from typing import NamedTuple

from oleanderpier.utils import register_message

__all__ = ["ClockStamp", "Hello", "KeepAlive", "KeepAliveReply"]


@register_message(1)
class Hello(NamedTuple):
    """Opens a stream and says who speaks.

    Attributes:
        host: The name of the sending host.
        incarnation: Differs between two runs of one host.
    """

    host: str
    incarnation: int


@register_message(2)
class KeepAlive(NamedTuple):
    """Asks the other end for a sign of life.

    Attributes:
        sequence: Rises by one with each ping of a stream.
    """

    sequence: int


@register_message(3)
class KeepAliveReply(NamedTuple):
    """Answers a ping.

    Attributes:
        sequence: The sequence of the ping.
    """

    sequence: int


@register_message(4)
class ClockStamp(NamedTuple):
    """Carries the sender's logical clock ahead of the next messages.

    Attributes:
        time_us: The stamp's time, in microseconds since 1970.
        count: The stamp's count.
    """

    time_us: int
    count: int
