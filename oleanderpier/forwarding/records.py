"""A caller's request, its response, and the interfaces that adapters implement."""

from itertools import accumulate
from typing import NamedTuple, Protocol

from multidict import CIMultiDict

from oleanderpier.results import Code, Failure
from oleanderpier.routing import (
    LoadStatement,
    PromptPart,
    PromptPrefix,
    Refusal,
    Route,
    ServerEntry,
    WorkspaceEntry,
)

__all__ = [
    "FINAL_STATUSES",
    "Call",
    "Caller",
    "Dialect",
    "RequestOutcome",
    "ResponseHead",
]

Headers = list[tuple[str, str]]
# The statuses that end a request (RFC 9110, section 15). A failing server may send
# others, such as 000 or 999.
FINAL_STATUSES = range(200, 600)


class Call(NamedTuple):
    """A caller's request, completely received.

    Attributes:
        identity: The caller's id of this request.
        method: The HTTP method.
        path: The path with its query, unchanged.
        headers: The headers that are forwarded, without those of the connection.
        body: The whole body.
        route: The route of the request.
        workspace: The workspace of the caller; None if the configuration has no
            workspaces, or if the route is public and the credential unknown.
        prompt_parts: The parts of its prompt, in order; empty if it has none.
        last_event_id: The id of the last event that the caller received, if it
            resumes a stream.
        deadline_s: When the response has to be complete, on the monotonic clock.
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
    def prompt_tokens(self) -> int:
        """The tokens of the whole prompt, 0 if the route is not sticky."""
        if not self.route.sticky:
            return 0
        return sum(part.tokens for part in self.prompt_parts)

    @property
    def shared_prefixes(self) -> tuple[PromptPrefix, ...]:
        """The prefixes that other requests share, from the shortest to the longest.

        The last part of the prompt is left out, since only this request has it,
        unless it is the only part. Empty if the route is not sticky.
        """
        if not self.route.sticky or not self.prompt_parts:
            return ()
        shared_parts = self.prompt_parts[:-1] or self.prompt_parts
        prefix_lengths = accumulate(part.tokens for part in shared_parts)
        return tuple(
            PromptPrefix(part.identity, tokens)
            for part, tokens in zip(shared_parts, prefix_lengths, strict=True)
        )


class ResponseHead(NamedTuple):
    """The head of a backend server's response.

    Attributes:
        status: The HTTP status.
        headers: The headers for the caller.
        not_run: Whether the server says that it has not run the request.
        valid: Whether it is an unencoded response of the server itself to this
            request, as far as the head tells.
        signed: Whether the server has signed it.
        refusal: Why the server has not run the request; None if it may have.
        says_leaving: Whether the server says that it leaves.
        wait_s: For how long the server wants no requests, None if it does not say.
        limit_per_s: The requests per second that the server takes from all hosts
            together, infinite without a limit; None if the response does not tell.
        load: What the server states about its load, None if it states nothing.
    """

    status: int
    headers: Headers
    not_run: bool
    valid: bool
    signed: bool
    refusal: Refusal | None = None
    says_leaving: bool = False
    wait_s: float | None = None
    limit_per_s: float | None = None
    load: LoadStatement | None = None

    @property
    def slots(self) -> int | None:
        """How many requests the server runs at a time, None if it does not say."""
        return (self.load.slots or None) if self.load else None


class Dialect(Protocol):
    """Writes requests and reads responses in the wire format of backend servers."""

    def format_request(
        self,
        call: Call,
        server: ServerEntry,
        time_left_s: float,
        last_event_id: str | None,
        copy_source: ServerEntry | None,
    ) -> CIMultiDict[str]:
        """Return the headers of a request to a server.

        Args:
            call: The request.
            server: The server that it is sent to.
            time_left_s: The time until the deadline, in seconds.
            last_event_id: The id of the last event that the caller received.
            copy_source: The server from which the prompt's shared prefix is to be
                copied; None for no copy.
        """

    def read_response_head(
        self, call: Call, status: int, headers: tuple[tuple[bytes, bytes], ...]
    ) -> ResponseHead:
        """Return the decoded head of a response.

        Args:
            call: The request.
            status: The HTTP status.
            headers: Pairs of name and value, undecoded.
        """


class Caller(Protocol):
    """The connection to the caller of a request."""

    async def begin_stream(self, head: ResponseHead) -> None:
        """Send the head of a streamed response."""

    async def write(self, data: bytes) -> None:
        """Send part of a streamed response."""

    async def finish_stream(self) -> None:
        """End a streamed response as complete."""

    async def deliver(self, head: ResponseHead, body: bytes) -> None:
        """Send a complete response at once."""

    async def refuse(self, failure: Failure) -> None:
        """Send a refusal, for a request without a response of a server."""

    def abort(self) -> None:
        """Abort the connection, so that the response does not look complete."""


class RequestOutcome(NamedTuple):
    """The outcome of a request, for logs and metrics.

    Attributes:
        code: The result code.
        status: The HTTP status that the caller received, 0 if the connection was
            aborted.
        attempts: How many servers the request was sent to.
        server: The id of the last server, empty if there was none.
        reason: The reason for the outcome, as text for the log.
        stream_start_s: Seconds until the head of a stream was sent to the caller,
            None if none was.
    """

    code: Code
    status: int
    attempts: int
    server: str
    reason: str
    stream_start_s: float | None = None
