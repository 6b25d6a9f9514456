"""A caller that records what it receives."""

from oleanderpier.forwarding import ResponseHead
from oleanderpier.results import Failure, describe_code

__all__ = ["RecordingCaller"]


class RecordingCaller:
    """Records what the caller receives.

    Attributes:
        data: The bytes of the response.
        status: Its HTTP status, 0 before the head.
        complete: Whether it ended as a complete response.
        aborted: Whether the connection was aborted.
        failure: The refusal, if there was one.
    """

    def __init__(self) -> None:
        self.data = b""
        self.status = 0
        self.complete = False
        self.aborted = False
        self.failure: Failure | None = None

    async def begin_stream(self, head: ResponseHead) -> None:
        """Record the head of a stream."""
        self.status = head.status

    async def write(self, data: bytes) -> None:
        """Record part of a stream."""
        self.data += data

    async def finish_stream(self) -> None:
        """Record the end of a stream."""
        self.complete = True

    async def deliver(self, head: ResponseHead, body: bytes) -> None:
        """Record a complete response."""
        self.status, self.data, self.complete = head.status, body, True

    async def refuse(self, failure: Failure) -> None:
        """Record a refusal."""
        self.failure = failure
        self.status = describe_code(failure.code).http_status

    def abort(self) -> None:
        """Record that the connection was aborted."""
        self.aborted = True
