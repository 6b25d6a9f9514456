"""The messages in which hosts exchange published values.

All revisions in them are positions, which contain the store's era.
"""

from typing import NamedTuple

from oleanderpier.utils import register_message

__all__ = ["PLATFORM", "Item", "ItemsQuery", "ItemsUpdate", "ReplicaSummary"]

# Names the platform, instead of a host, as the source of an update.
PLATFORM = "platform"


class Item(NamedTuple):
    """A published value.

    Attributes:
        key: Its key within the key space.
        revision: The position of its last change, as of ``positions``.
        value: Its encoded value; None if it was deleted, empty if the
            platform's value could not be decoded.
    """

    key: str
    revision: int
    value: bytes | None


class ReplicaSummary(NamedTuple):
    """How up to date a host's replica of a key space is.

    Attributes:
        as_of: The revision up to which it contains all changes.
        last_change: The revision of the last change to a value.
        age_s: The seconds since it was known to be the newest state.
    """

    as_of: int
    last_change: int
    age_s: float


@register_message(130)
class ItemsUpdate(NamedTuple):
    """The items that changed within a range of revisions.

    Attributes:
        space: The name of the key space.
        after: The lower end of the range, exclusive.
        as_of: The upper end of the range, inclusive.
        is_snapshot: Whether the items are the whole key space, so that keys
            not among them are deleted.
        items: The items that changed.
    """

    space: str
    after: int
    as_of: int
    is_snapshot: bool
    items: list[Item]


@register_message(131)
class ItemsQuery(NamedTuple):
    """Asks for the items that changed after a revision.

    Attributes:
        space: The name of the key space.
        after: The revision up to which the sender has all changes.
    """

    space: str
    after: int
