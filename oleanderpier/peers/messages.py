"""The messages that open and maintain a stream between two hosts."""

from typing import NamedTuple

from oleanderpier.utils import register_message

__all__ = ["ClockStamp", "Hello", "KeepAlive", "KeepAliveReply"]


@register_message(1)
class Hello(NamedTuple):
    """Opens a stream and identifies the sender.

    Attributes:
        host: The name of the sending host.
        incarnation: A number that differs between two runs of that host.
    """

    host: str
    incarnation: int


@register_message(2)
class KeepAlive(NamedTuple):
    """Asks the receiver of a stream for a ``KeepAliveReply``.

    Attributes:
        sequence: Increases by one with each keep-alive of a stream.
    """

    sequence: int


@register_message(3)
class KeepAliveReply(NamedTuple):
    """The reply to a ``KeepAlive``.

    Attributes:
        sequence: The sequence number of that keep-alive.
    """

    sequence: int


@register_message(4)
class ClockStamp(NamedTuple):
    """The sender's logical clock, sent ahead of the messages it applies to.

    Attributes:
        time_us: The time of the stamp, in microseconds since the Unix epoch.
        count: The counter that orders stamps of the same microsecond.
    """

    time_us: int
    count: int
