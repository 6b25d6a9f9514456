"""Parses a limit on requests per second that a header states."""

import math
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["RateLimit", "parse_rate_limit"]

MAX_LOGGED_CHARS = 40


class RateLimit(NamedTuple):
    """The requests per second that the sender of a response takes.

    Attributes:
        per_s: The limit, 0 or more; None if no value states one.
        ignored: The first value that states none, for the log; empty if each does.
    """

    per_s: float | None
    ignored: str


def parse_rate_limit(values: Sequence[str]) -> RateLimit:
    """Return the lowest limit that the values of the header state.

    Args:
        values: The values; several if the header was sent more than once.

    Examples:
        >>> parse_rate_limit(["2.5"])
        RateLimit(per_s=2.5, ignored='')
        >>> parse_rate_limit(["none"])
        RateLimit(per_s=None, ignored='none')
    """
    limits_per_s = [_parse_value(value) for value in values]
    stated = [per_s for per_s in limits_per_s if per_s is not None]
    unread = [
        value[:MAX_LOGGED_CHARS]
        for value, per_s in zip(values, limits_per_s, strict=True)
        if per_s is None
    ]
    return RateLimit(min(stated, default=None), unread[0] if unread else "")


def _parse_value(value: str) -> float | None:
    """Return the limit that a value states, None if it states none."""
    try:
        per_s = float(value)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0.0 else None
