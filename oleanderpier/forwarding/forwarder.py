"""Forwards requests to backend servers; holds what all requests of a host share."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

import aiohttp

from oleanderpier.connections import Framing
from oleanderpier.forwarding.activity import ServerActivity
from oleanderpier.forwarding.buffers import MAX_BUFFERED_BYTES, ResponseBuffers
from oleanderpier.forwarding.crash_guard import CrashGuard
from oleanderpier.forwarding.records import (
    Call,
    Caller,
    Dialect,
    RequestOutcome,
    ResponseHead,
)
from oleanderpier.forwarding.request_forwarding import RequestForwarding
from oleanderpier.forwarding.request_keys import RequestKeys
from oleanderpier.results import Code, Failure
from oleanderpier.routing import (
    AttemptOutcome,
    Chooser,
    RetryBudget,
    ServerEntry,
    ServerHealth,
)
from oleanderpier.utils import EndableLimits, Timers

__all__ = ["Forwarder", "ResponseCounts"]


class ResponseCounts(NamedTuple):
    """How many responses servers sent since the counts were last reset.

    Attributes:
        responses: All responses, by server id.
        failures: Those that report a failure of the server, by server id.
    """

    responses: dict[str, int]
    failures: dict[str, int]


class Forwarder:
    """Forwards callers' requests; holds what all requests of a host share.

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
        max_buffered_bytes: Upper bound of the sum of buffered bytes of responses.

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
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
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

    async def forward(self, call: Call, caller: Caller) -> RequestOutcome:
        """Forward a request until the caller has a response or a refusal.

        Args:
            call: The request.
            caller: Receives the response, or the refusal.

        Returns:
            The outcome, for logs and metrics.
        """
        return await RequestForwarding(self, call, caller).run()

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

    def pop_response_counts(self) -> ResponseCounts:
        """Return the responses counted since the last call, and reset the counts."""
        counts, self.response_counts = self.response_counts, ResponseCounts({}, {})
        return counts
