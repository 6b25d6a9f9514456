"""What all requests of a host share while they are forwarded."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

import aiohttp

from oleanderpier.connections import Framing
from oleanderpier.forwarding.activity import ServerActivity
from oleanderpier.forwarding.buffers import MAX_BUFFERED_BYTES, ResponseBuffers
from oleanderpier.forwarding.crash_guard import CrashGuard
from oleanderpier.forwarding.permits import NoPermits, PermitSource
from oleanderpier.forwarding.records import Dialect, ResponseHead
from oleanderpier.forwarding.request_keys import RequestKeys
from oleanderpier.results import Code, Failure
from oleanderpier.routing import (
    AttemptOutcome,
    Choice,
    Chooser,
    ColdServers,
    RetryBudget,
    ServerEntry,
    ServerHealth,
)
from oleanderpier.utils import EndableLimits, Timers

__all__ = ["ForwardingResources", "ResponseCounts"]


class ResponseCounts(NamedTuple):
    """How many responses servers sent since the counts were last reset.

    Attributes:
        responses: All responses, by server id.
        failures: Those that report a failure of the server, by server id.
    """

    responses: dict[str, int]
    failures: dict[str, int]


class ForwardingResources:
    """Holds what all requests of a host share while they are forwarded.

    Args:
        session: The HTTP client.
        dialect: The wire format of the backend servers.
        chooser: Chooses servers.
        health: Failures and backoff of the servers.
        budget: The retry budget.
        server_activity: When each server last sent something.
        timers: The timer service.
        record_statements: Records what the head of a server's response says.
        guard: Keeps requests that crash servers away from them.
        rng: The source of randomness.
        on_attempt_end: Called after each attempt, with its outcome, what ended the
            response (None without a response) and its duration in seconds; not
            called for an attempt that was cancelled.
        request_send: Asks whether a request may be sent to a server that may name a
            limit; called with the server and a callback for the decision.
        on_held_back: Called for each request that does not reach a server because the
            server is evacuated, cold, slow or reading a long prompt, with the reason
            and the decision.
        cold_servers: The servers that are cold; None if none is.
        permits: Asks the owners of servers for permits; None if no service is under
            permits.
        max_buffered_bytes: Upper bound of the sum of buffered bytes of responses.
        on_send: Called with the choice of the server of each attempt.

    Attributes:
        response_counts: Responses since the counts were last reset.
        limits: The time limits of the requests in progress; ended when this host stops.
        buffers: The buffered bytes of all responses.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        dialect: Dialect,
        chooser: Chooser,
        health: ServerHealth,
        budget: RetryBudget,
        server_activity: ServerActivity,
        timers: Timers,
        record_statements: Callable[[ServerEntry, ResponseHead], None],
        guard: CrashGuard,
        rng: random.Random,
        on_attempt_end: Callable[
            [AttemptOutcome, Framing | None, float], None
        ] = lambda outcome, framing, took_s: None,
        request_send: Callable[
            [ServerEntry, Callable[[bool], None]], None
        ] = lambda server, notify: notify(True),
        on_held_back: Callable[[str, str], None] = lambda reason, decision: None,
        cold_servers: ColdServers | None = None,
        permits: PermitSource | None = None,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
        on_send: Callable[[Choice], None] = lambda choice: None,
    ) -> None:
        self.on_held_back = on_held_back
        self.on_send = on_send
        self.cold_servers = cold_servers
        self.permits = permits or NoPermits()
        self.on_attempt_end = on_attempt_end
        self._request_send = request_send
        self.record_statements = record_statements
        self.guard = guard
        self.rng = rng
        self.session = session
        self.dialect = dialect
        self.chooser = chooser
        self.health = health
        self.budget = budget
        self.server_activity = server_activity
        self.timers = timers
        self.response_counts = ResponseCounts({}, {})
        self.limits = EndableLimits()
        self.buffers = ResponseBuffers(max_buffered_bytes)

    def find_refusal(self, keys: RequestKeys) -> Failure | None:
        """Return the failure to refuse a request with at once, None to forward it."""
        if self.limits.ended:
            return Failure(Code.HOST_LEAVING, "this host stops", 0.0)
        return self.guard.find_refusal(keys)

    async def may_send(self, server: ServerEntry) -> bool:
        """Return whether a server's limit has room for a request now."""
        decision = asyncio.get_running_loop().create_future()

        def notify(may_send: bool) -> None:
            if not decision.done():
                decision.set_result(may_send)

        self._request_send(server, notify)
        return await decision

    def record_response(self, identity: str, failed: bool) -> None:
        """Record a server's response, in its health and for this host's reports."""
        self.health.record_response(identity, failed)
        responses, failures = self.response_counts
        responses[identity] = responses.get(identity, 0) + 1
        failures[identity] = failures.get(identity, 0) + failed

    def record_first_event(
        self, choice: Choice, first_at_s: float | None, took_s: float
    ) -> None:
        """Record when the first event of an attempt that ends now was received.

        Args:
            choice: The choice of its server.
            first_at_s: The time, None if there was no event.
            took_s: How long the attempt took, in seconds.
        """
        if first_at_s is not None:
            started_s = self.timers.now() - took_s
            self.chooser.costs.record_first_event(choice, first_at_s - started_s)

    def pop_response_counts(self) -> ResponseCounts:
        """Return the responses counted since the last call, and reset the counts."""
        counts, self.response_counts = self.response_counts, ResponseCounts({}, {})
        return counts
