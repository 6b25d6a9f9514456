"""Parses the ``Retry-After`` header.

References:
    RFC 9110, section 10.2.3, "Retry-After".
"""

import math
from collections.abc import Sequence
from email.utils import parsedate_to_datetime
from typing import NamedTuple

__all__ = ["MAX_RETRY_AFTER_S", "RetryAfter", "parse_retry_after"]

# A longer time is cut to this, so that one wrong value does not take a server out of
# use for hours. The server can ask again.
MAX_RETRY_AFTER_S = 60.0
MAX_LOGGED_CHARS = 40


class RetryAfter(NamedTuple):
    """The time that a response asks its sender to wait.

    Attributes:
        wait_s: The time, 0 to ``MAX_RETRY_AFTER_S``; None if no value states one.
        ignored: The first value that states no time or one that is not allowed, for
            the log; empty if there is none.
    """

    wait_s: float | None
    ignored: str


def parse_retry_after(values: Sequence[str], sent_unix_s: float) -> RetryAfter:
    """Return the longest time that the values of the header state.

    Args:
        values: The values; several if the header was sent more than once.
        sent_unix_s: When the response was sent, in Unix seconds, for HTTP dates.

    Examples:
        >>> parse_retry_after(["0.5", "2"], 0.0)
        RetryAfter(wait_s=2.0, ignored='')
        >>> parse_retry_after(["-1"], 0.0)
        RetryAfter(wait_s=None, ignored='-1')
    """
    waits: list[float] = []
    ignored = ""
    for value in values:
        wait_s = _parse_value(value.strip(), sent_unix_s)
        if wait_s is None or not 0.0 <= wait_s <= MAX_RETRY_AFTER_S:
            ignored = ignored or value[:MAX_LOGGED_CHARS]
        if wait_s is not None and wait_s >= 0.0:
            waits.append(min(wait_s, MAX_RETRY_AFTER_S))
    return RetryAfter(max(waits, default=None), ignored)


def _parse_value(value: str, sent_unix_s: float) -> float | None:
    """Return the seconds that a value states, None if it is no number or date."""
    try:
        wait_s = float(value)
    except ValueError:
        try:
            return parsedate_to_datetime(value).timestamp() - sent_unix_s
        except (ValueError, OverflowError):
            return None
    return wait_s if math.isfinite(wait_s) else None
