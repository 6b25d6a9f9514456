"""The interface through which requests ask for permits of servers' owners."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from oleanderpier.routing import PermitOutcome, ServerEntry

__all__ = ["NoPermits", "PermitAnswer", "PermitQuery", "PermitSource", "SentQuery"]


class PermitQuery(NamedTuple):
    """What a request asks of the owner of a server.

    Attributes:
        server: The server.
        urgency: 0 to 9; 0 is the most urgent.
        workspace: The name of the workspace, empty without one.
        is_repeat: Whether it is a retry, a hedged request or a resumed stream.
        uncached_tokens: Prompt tokens that are not cached at the server.
        max_wait_s: How long the request may wait at the owner; 0 to decide now.
        expires_after_s: The seconds after which a permit expires without a release.
    """

    server: ServerEntry
    urgency: int
    workspace: str
    is_repeat: bool
    uncached_tokens: int
    max_wait_s: float
    expires_after_s: float


class PermitAnswer(NamedTuple):
    """The answer to a query.

    Attributes:
        outcome: The decision; ``NOT_OWNER`` if no owner could be asked and the request
            may be sent without a permit.
        wait_s: The expected seconds until there is room, 0 if it may be sent.
        in_flight: The permits of the server that are held.
        age_s: The seconds from the query to the answer.
    """

    outcome: PermitOutcome
    wait_s: float
    in_flight: int
    age_s: float

    @property
    def may_send(self) -> bool:
        """Whether the request may be sent."""
        return self.outcome in (PermitOutcome.GRANTED, PermitOutcome.NOT_OWNER)


class SentQuery(Protocol):
    """A query that was sent, and the permit once it is granted."""

    def release(self) -> None:
        """Return the permit, or withdraw the query; further calls have no effect."""

    def end_prefill(self) -> None:
        """Record that the first event of the response has arrived."""


class PermitSource(Protocol):
    """Asks the owners of servers for permits."""

    def covers(self, service: str) -> bool:
        """Return whether requests to a service need permits."""

    def has_rate(self, server: ServerEntry) -> bool:
        """Return whether the requests per second to a server are limited now."""

    def request(
        self, query: PermitQuery, notify: Callable[[PermitAnswer], None]
    ) -> SentQuery:
        """Ask for a permit.

        Args:
            query: What the request needs.
            notify: Called once with the answer, unless the query is withdrawn before;
                possibly before this method returns.
        """


class NoPermits:
    """The source of permits of a host without services under permits."""

    def covers(self, service: str) -> bool:
        """Return False."""
        return False

    def has_rate(self, server: ServerEntry) -> bool:
        """Return False."""
        return False
