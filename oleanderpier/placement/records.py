"""What the daemon hands to placement and gets back."""

from enum import Enum
from typing import NamedTuple

__all__ = ["Explanation", "Outcome", "Permit", "PermitRequest", "ServerStatus"]


class PermitRequest(NamedTuple):
    """A request that needs a backend server.

    Attributes:
        request: The request's id.
        chat: The chat's id, or "" where no earlier request matters.
        workspace: The workspace's name.
        work_class: The name of the class of work.
        avoid: A backend server that failed the request or is to be left; "".
    """

    request: str
    chat: str
    workspace: str
    work_class: str
    avoid: str = ""


class Permit(NamedTuple):
    """The right to run one request on one backend server.

    Attributes:
        request: The request's id.
        backend_server: Where it may run.
        priority: For the engine; lower goes first.
        number: This host's number for the permit.
        pool: The pool's number.
    """

    request: str
    backend_server: str
    priority: int
    number: int
    pool: int


class Outcome(Enum):
    """How a permit was used.

    ABANDONED says nothing about the backend server: the permit came too
    late, the caller left, or the stream was resumed elsewhere.
    """

    DONE = "done"
    FAILED = "failed"
    ABANDONED = "abandoned"


class ServerStatus(NamedTuple):
    """A backend server as a pool's owner sees it.

    Attributes:
        name: The backend server.
        in_flight: Permits given and not released.
        limit: How many it may hold now.
        usable: Whether it is neither leaving nor avoided after failures.
    """

    name: str
    in_flight: int
    limit: int
    usable: bool


class Explanation(NamedTuple):
    """Where a chat goes and why, as far as this host can tell.

    Attributes:
        pools: The pools in the chat's order, first choice first.
        owner: The host that this host believes to own the first.
        homes: Where the owner last placed the chat, newest first; empty if
            this host is not the owner.
        order: The backend servers of the first pool in the chat's order.
        servers: Their state; empty if this host is not the owner.
    """

    pools: list[str]
    owner: str
    recent_servers: list[str]
    ranked_servers: list[str]
    server_statuses: list[ServerStatus]
