"""The requests, results and permits of the relay."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from aiohttp import web
from expression import Result

from oleanderpier.configuration import BackendServer, WorkClass
from oleanderpier.results import Code, Failure

__all__ = ["AcquirePermit", "Permit", "RelayRequest", "RelayResult"]


class Permit(Protocol):
    """The permission to send one request to a backend server.

    Attributes:
        backend_server: The server that may run the request.
        priority: Priority at the engine; lower values run first.
    """

    backend_server: BackendServer
    priority: int

    def release(self) -> None:
        """Return the permit; the server no longer works on the request."""

    def abandon(self) -> None:
        """Return the permit unused."""


AcquirePermit = Callable[[frozenset[str]], Awaitable[Result[Permit, Failure]]]


class RelayRequest(NamedTuple):
    """A chat whose response is to be streamed.

    Attributes:
        request_id: The request's unique id, which all events carry.
        work_class: The class of work with its targets.
        chat: The chat's id.
        messages: The messages of the chat, oldest first.
        max_tokens: Largest number of tokens in the response.
        priority: Added to the permit's priority.
    """

    request_id: str
    work_class: WorkClass
    chat: str
    messages: list[str]
    max_tokens: int
    priority: int


class RelayResult(NamedTuple):
    """The result of relaying a response.

    Attributes:
        response: The HTTP response for the handler to return.
        code: The result code; ``STREAM_CUT`` if the caller left.
        event_count: Number of token events forwarded.
        attempt_count: Number of attempts at engines.
    """

    response: web.StreamResponse
    code: Code
    event_count: int
    attempt_count: int
