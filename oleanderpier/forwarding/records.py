"""A request on its way, and what the adapter to a wire format has to do for it."""

from itertools import accumulate
from typing import NamedTuple, Protocol

from multidict import CIMultiDict

from oleanderpier.results import Code, Failure
from oleanderpier.routing import (
    PromptPart,
    PromptPrefix,
    Route,
    ServerEntry,
    WorkspaceEntry,
)

__all__ = ["Call", "Caller", "Dialect", "RequestOutcome", "ResponseHead"]

Headers = list[tuple[str, str]]


class Call(NamedTuple):
    """One request of a caller, read to its end.

    Attributes:
        identity: The caller's id of this request.
        method: The HTTP method.
        path: The path with its query, as it came.
        headers: The headers as they came, without those of the connection.
        body: The whole body.
        route: Where it goes.
        workspace: Who sent it, if the configuration has workspaces.
        prompt_parts: The parts of its prompt, in order; empty without one.
        last_event_id: The id of the last event the caller has, if it says so.
        deadline_s: When the final answer is due, on the timer service's clock.
    """

    identity: str
    method: str
    path: str
    headers: Headers
    body: bytes
    route: Route
    workspace: WorkspaceEntry | None
    prompt_parts: tuple[PromptPart, ...]
    last_event_id: str | None
    deadline_s: float

    @property
    def shared_prefixes(self) -> tuple[PromptPrefix, ...]:
        """List the parts that other requests share: all but the last, its own."""
        if not self.route.sticky or not self.prompt_parts:
            return ()
        shared = self.prompt_parts[:-1] or self.prompt_parts
        lengths = accumulate(part.tokens for part in shared)
        return tuple(
            PromptPrefix(part.identity, tokens)
            for part, tokens in zip(shared, lengths, strict=True)
        )


class ResponseHead(NamedTuple):
    """The head of a backend server's answer.

    Attributes:
        status: The HTTP status.
        headers: The headers for the caller.
        not_run: Whether the server says that it has not run the request.
        whole: Whether it is the server's own, unencoded answer to this very
            request, as far as its head tells.
        signed: Whether the server vouches for it.
    """

    status: int
    headers: Headers
    not_run: bool
    whole: bool
    signed: bool


class Dialect(Protocol):
    """Writes requests and reads answers in the wire format of the servers."""

    def format_request(
        self,
        call: Call,
        server: ServerEntry,
        left_s: float,
        last_event_id: str | None,
        copy_source: ServerEntry | None,
    ) -> CIMultiDict[str]:
        """Return the headers for a server.

        Args:
            call: The request.
            server: Where it goes.
            left_s: The time left, in seconds.
            last_event_id: The id of the last event that the caller has.
            copy_source: From where the server is to copy the prompt's shared part.
        """

    def read_response_head(
        self, call: Call, status: int, headers: tuple[tuple[bytes, bytes], ...]
    ) -> ResponseHead:
        """Return what the head of an answer says."""


class Caller(Protocol):
    """The caller's side of a request."""

    async def begin_stream(self, head: ResponseHead) -> None:
        """Send the head of an answer that comes piece by piece."""

    async def write(self, data: bytes) -> None:
        """Send a piece."""

    async def finish_stream(self) -> None:
        """End the answer as a whole one."""

    async def deliver(self, head: ResponseHead, body: bytes) -> None:
        """Send a whole answer at once."""

    async def refuse(self, failure: Failure) -> None:
        """Send the final answer of a request that brought none."""

    def abort(self) -> None:
        """Break the connection, so that the answer does not look whole."""


class RequestOutcome(NamedTuple):
    """What became of a request.

    Attributes:
        code: The result code.
        status: The status that the caller got.
        attempts: To how many servers it was sent.
        server: The id of the last one, empty for none.
        reason: Why, for the log.
        stream_start_s: Seconds until the head of a stream went to the caller, None
            if none did.
    """

    code: Code
    status: int
    attempts: int
    server: str
    reason: str
    stream_start_s: float | None = None
