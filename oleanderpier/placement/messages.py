"""The messages between entry hosts and the owners of pools.

They are sent several times a request, so names are hashed to numbers where
the receiver needs no more than equality: pools and workspaces to 32 bits,
chats to 64.
"""

from typing import NamedTuple

from oleanderpier.results import Code
from oleanderpier.utils import hash_text, register_message

__all__ = [
    "FailureNotice",
    "Grant",
    "Holding",
    "HoldingsQuery",
    "HoldingsReply",
    "LeavingNotice",
    "Migrate",
    "NotOwner",
    "PermitQuery",
    "Queued",
    "Refusal",
    "Release",
    "Renewal",
    "hash_name",
]


def hash_name(name: str) -> int:
    """Return a name's 32-bit number on the wire, the same on every host.

    Examples:
        >>> hash_name("coop-7") == hash_name("coop-7") < 1 << 32
        True
    """
    return hash_text(name) >> 32


@register_message(80)
class PermitQuery(NamedTuple):
    """An entry host asks a pool's owner for a permit.

    Attributes:
        number: The entry host's number for the request.
        pool: The pool's number.
        chat: Hash of the chat's id; 0 where nothing ties it to a server.
        workspace: The workspace's number.
        target_ms: How long until the class's target passes.
        fleet_load: The mean load of all pools that provide the same, percent
            of slots; a pool that is fuller by the multiple refuses, since the
            entry host has another pool to ask. 0 if it has none.
        avoid: A backend server that should not run it; "" if none.
    """

    number: int
    pool: int
    chat: int
    workspace: int
    target_ms: int
    fleet_load_percent: int = 0
    avoid: str = ""


@register_message(81)
class Grant(NamedTuple):
    """The owner gives a permit.

    Attributes:
        number: The number of the query.
        backend_server: Where the request may run.
        load: In flight and queued in the pool, percent of its slots.
    """

    number: int
    backend_server: str
    load_percent: int


@register_message(82)
class Refusal(NamedTuple):
    """The owner gives no permit, for good.

    Attributes:
        number: The number of the query.
        code: A result code that means not run.
        retry_after_ms: When to come back.
        load: In flight and queued in the pool, percent of its slots.
    """

    number: int
    code: Code
    retry_after_ms: int
    load_percent: int


@register_message(83)
class Queued(NamedTuple):
    """The owner has the query in its queue; a grant or refusal will follow."""

    number: int


@register_message(84)
class NotOwner(NamedTuple):
    """The host that was asked does not own the pool.

    Attributes:
        number: The number of the query.
        owner: The host that it believes to be the owner, or "".
    """

    number: int
    owner: str


@register_message(85)
class Release(NamedTuple):
    """An entry host gives permits back.

    Attributes:
        pool: The pool's number; 0 where the entry host no longer knows it.
        done: Numbers whose request ended as it should.
        failed: Numbers whose backend server failed the request.
        abandoned: Numbers given back unused, or before the request ended.
    """

    pool: int
    done: list[int]
    failed: list[int]
    abandoned: list[int]


@register_message(86)
class Renewal(NamedTuple):
    """An entry host renews the lease of all its permits in a pool."""

    pool: int
    numbers: list[int]


@register_message(87)
class HoldingsQuery(NamedTuple):
    """An owner asks an entry host for its holdings in a pool."""

    pool: int


class Holding(NamedTuple):
    """A permit as its entry host knows it."""

    number: int
    backend_server: str
    chat: int
    workspace: int


@register_message(88)
class HoldingsReply(NamedTuple):
    """All permits that an entry host holds in a pool."""

    pool: int
    holdings: list[Holding]


@register_message(89)
class LeavingNotice(NamedTuple):
    """A host has learnt that a backend server is leaving."""

    pool: int
    backend_server: str


@register_message(90)
class FailureNotice(NamedTuple):
    """A host has found a backend server failing, apart from any permit."""

    pool: int
    backend_server: str


@register_message(91)
class Migrate(NamedTuple):
    """The owner asks for a stream to be resumed on another backend server.

    Its server holds more than the bound since others have finished work. The
    entry host asks for a second permit, resumes there, and releases this one.
    """

    number: int
