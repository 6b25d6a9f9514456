"""What hosts tell each other about published values."""

from typing import NamedTuple

from oleanderpier.utils import register_message

__all__ = ["PLATFORM", "Item", "ItemNews", "ItemsQuery", "Knowledge"]

# The source of what the platform itself told this host.
PLATFORM = "platform"


class Item(NamedTuple):
    """A published value.

    Attributes:
        key: Its name.
        revision: The platform's revision of its last change.
        value: Its bytes; None if it was deleted.
    """

    key: str
    revision: int
    value: bytes | None


class Knowledge(NamedTuple):
    """How much a host knows of a key space.

    Attributes:
        as_of: The revision up to which it knows all.
        changed: The last revision that made a difference.
        age_s: How many seconds ago that was the newest state.
    """

    as_of: int
    changed: int
    age_s: float


@register_message(130)
class ItemNews(NamedTuple):
    """Items that changed.

    Attributes:
        space: The key space.
        after: The items are all that changed later than this revision.
        as_of: Up to this revision.
        whole: Whether keys that are not among the items are deleted.
        items: The items.
    """

    space: str
    after: int
    as_of: int
    whole: bool
    items: list[Item]


@register_message(131)
class ItemsQuery(NamedTuple):
    """Asks for what changed later than a revision.

    Attributes:
        space: The key space.
        after: The revision up to which the sender knows all.
    """

    space: str
    after: int
