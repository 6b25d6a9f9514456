"""Positions in the history of the platform's store.

The store may return from a copy that is some seconds old. Its revisions then go back
and are given out again, and its era rises. A position orders by era, then by revision.
"""

__all__ = [
    "get_era",
    "get_revision",
    "is_retained",
    "make_position",
    "mark_retained",
]

REVISION_BITS = 44
RETAINED_BIT = 1


def make_position(era: int, revision: int) -> int:
    """Return the position of a revision within an era.

    Examples:
        >>> make_position(2, 41) > make_position(1, 50)
        True
        >>> position = make_position(2, 41)
        >>> get_era(position), get_revision(position)
        (2, 41)
    """
    return era << REVISION_BITS | revision << 1


def get_era(position: int) -> int:
    """Return the era of a position."""
    return position >> REVISION_BITS


def get_revision(position: int) -> int:
    """Return the revision of a position within its era."""
    return (position & (1 << REVISION_BITS) - 1) >> 1


def mark_retained(position: int) -> int:
    """Return the position of what is retained over the store's state at a position.

    It is higher than the store's, and lower than any later one.

    Examples:
        >>> position = make_position(2, 41)
        >>> position < mark_retained(position) < make_position(2, 42)
        True
    """
    return position | RETAINED_BIT


def is_retained(position: int) -> bool:
    """Return whether a position is that of something that is retained."""
    return bool(position & RETAINED_BIT)
