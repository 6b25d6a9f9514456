"""The messages between entry hosts and the owners of pools.

Several of them are sent for each request. To keep them small, a name is
replaced by its hash where the receiver only compares it for equality: 32 bits
for pools and workspaces, 64 bits for chats.
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
    """Return a 32-bit hash of a name, the same on every host.

    Examples:
        >>> hash_name("coop-7") == hash_name("coop-7") < 1 << 32
        True
    """
    return hash_text(name) >> 32


@register_message(80)
class PermitQuery(NamedTuple):
    """Sent by an entry host to ask a pool's owner for a permit.

    Attributes:
        number: The query's number, unique on the entry host. The owner's
            replies and the permit carry the same number.
        pool: The pool's number.
        chat: The hash of the chat's id; 0 if the request belongs to no chat.
        workspace: The hash of the workspace's name.
        target_ms: Milliseconds until the target of the class of work passes.
        fleet_load_percent: The mean load of all pools that provide the same
            model or operation, in percent of their slots. The owner refuses
            the query if its pool exceeds this load by more than the load
            multiple, since the entry host can ask another pool. 0 if the
            entry host has no other pool to ask or does not know the load.
        avoid: A backend server not to use; "" if none.
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
    """Sent by a pool's owner to grant a permit.

    Attributes:
        number: The number of the query.
        backend_server: The server that may run the request.
        load_percent: Requests in flight and queued in the pool, in percent of
            its slots.
    """

    number: int
    backend_server: str
    load_percent: int


@register_message(82)
class Refusal(NamedTuple):
    """Sent by a pool's owner to refuse a permit; the query is finished.

    Attributes:
        number: The number of the query.
        code: A result code that means the request was not run.
        retry_after_ms: Milliseconds after which the caller should retry.
        load_percent: Requests in flight and queued in the pool, in percent of
            its slots.
    """

    number: int
    code: Code
    retry_after_ms: int
    load_percent: int


@register_message(83)
class Queued(NamedTuple):
    """Sent by a pool's owner that has queued a query.

    A grant or a refusal follows.

    Attributes:
        number: The number of the query.
    """

    number: int


@register_message(84)
class NotOwner(NamedTuple):
    """Sent by a host that does not own the pool it was asked about.

    Attributes:
        number: The number of the query.
        owner: The host that the sender considers the owner, or "".
    """

    number: int
    owner: str


@register_message(85)
class Release(NamedTuple):
    """Sent by an entry host to release permits.

    Attributes:
        pool: The pool's number; 0 if the entry host does not know the pool.
        done: Numbers of permits whose request succeeded.
        failed: Numbers of permits whose backend server failed the request.
        abandoned: Numbers of permits that were not used, or were released
            before the request ended.
    """

    pool: int
    done: list[int]
    failed: list[int]
    abandoned: list[int]


@register_message(86)
class Renewal(NamedTuple):
    """Sent by an entry host to renew the lease of all its permits in a pool.

    Attributes:
        pool: The pool's number.
        numbers: The numbers of all permits that the entry host holds there.
    """

    pool: int
    numbers: list[int]


@register_message(87)
class HoldingsQuery(NamedTuple):
    """Sent by an owner to ask an entry host which permits it holds in a pool.

    Attributes:
        pool: The pool's number.
    """

    pool: int


class Holding(NamedTuple):
    """A permit as recorded by the entry host that holds it.

    Attributes:
        number: The permit's number.
        backend_server: The server that runs the request.
        chat: The hash of the chat's id; 0 if the request belongs to no chat.
        workspace: The hash of the workspace's name.
    """

    number: int
    backend_server: str
    chat: int
    workspace: int


@register_message(88)
class HoldingsReply(NamedTuple):
    """Sent by an entry host to list all permits that it holds in a pool.

    Attributes:
        pool: The pool's number.
        holdings: The permits.
    """

    pool: int
    holdings: list[Holding]


@register_message(89)
class LeavingNotice(NamedTuple):
    """Sent to a pool's owner by a host that knows a server to be leaving.

    Attributes:
        pool: The pool's number.
        backend_server: The leaving server.
    """

    pool: int
    backend_server: str


@register_message(90)
class FailureNotice(NamedTuple):
    """Sent to a pool's owner by a host that found a server failing.

    The failure does not belong to a permit: it comes from a probe, for example.

    Attributes:
        pool: The pool's number.
        backend_server: The failing server.
    """

    pool: int
    backend_server: str


@register_message(91)
class Migrate(NamedTuple):
    """Sent by a pool's owner to have a stream resumed on another server.

    Its server exceeds the bound because requests on other servers have ended.
    The entry host asks for a second permit, resumes the stream there, and
    releases the first permit.

    Attributes:
        number: The number of the permit in use.
    """

    number: int
