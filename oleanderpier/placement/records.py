"""The values that placement exchanges with the rest of the daemon."""

from enum import Enum
from typing import NamedTuple

__all__ = ["Explanation", "Outcome", "Permit", "PermitRequest", "ServerStatus"]


class PermitRequest(NamedTuple):
    """A request that needs a backend server.

    Attributes:
        request: The request's id.
        chat: The chat's id, or "" if the request belongs to no chat.
        workspace: The workspace's name.
        work_class: The name of the class of work.
        avoid: A backend server not to use, for instance because it failed the
            request or the stream is being moved away from it; "" if none.
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
        backend_server: The server that may run the request.
        priority: The priority to pass to the engine; lower values run first.
        number: The permit's number, unique on the entry host.
        pool: The number of the server's pool.
    """

    request: str
    backend_server: str
    priority: int
    number: int
    pool: int


class Outcome(Enum):
    """How the use of a permit ended.

    ABANDONED says nothing about the backend server: the permit arrived too
    late, the caller disconnected, or the stream was resumed on another server.
    """

    DONE = "done"
    FAILED = "failed"
    ABANDONED = "abandoned"


class ServerStatus(NamedTuple):
    """The state of a backend server at the owner of its pool.

    Attributes:
        name: The backend server's name.
        in_flight: The number of permits granted and not yet released.
        limit: The number of permits that the server may hold now.
        usable: Whether the server may get new requests: it is neither leaving
            nor backed off after failures.
    """

    name: str
    in_flight: int
    limit: int
    usable: bool


class Explanation(NamedTuple):
    """Where a chat's next request would be placed, as known to this host.

    Attributes:
        pools: The names of the chat's candidate pools, best first.
        owner: The host that this host considers the owner of the first pool.
        recent_servers: The servers on which the owner last placed the chat,
            newest first; empty if this host is not the owner.
        ranked_servers: All servers of the first pool in the chat's rendezvous
            order.
        server_statuses: The state of the first pool's servers; empty if this
            host is not the owner.
    """

    pools: list[str]
    owner: str
    recent_servers: list[str]
    ranked_servers: list[str]
    server_statuses: list[ServerStatus]
