"""Records what the heads of servers' responses say of their willingness."""

import math
import random
from collections.abc import Callable

from eliot import log_message

from oleanderpier.forwarding.records import ResponseHead
from oleanderpier.routing import (
    LimitStatement,
    ServerEntry,
    ServerStatements,
    compute_wait_s,
)
from oleanderpier.utils import Timers

__all__ = ["StatementRecorder", "log_limit"]


class StatementRecorder:
    """Records and logs the statements of servers to this host.

    Args:
        statements: What the servers have said.
        timers: The timer service.
        rng: The source of randomness.
        on_leaving: Called with each server that says that it leaves.
        on_limit: Called with each server whose limit has changed, and the limit.
        on_speed: Called with each server that states its speed, and how long work takes
            there, as a multiple of the usual time.
    """

    def __init__(
        self,
        statements: ServerStatements,
        timers: Timers,
        rng: random.Random,
        on_leaving: Callable[[ServerEntry], None] = lambda server: None,
        on_limit: Callable[[ServerEntry, LimitStatement], None] = (
            lambda server, limit: None
        ),
        on_speed: Callable[[ServerEntry, float], None] = (
            lambda server, slow_factor: None
        ),
    ) -> None:
        self._statements = statements
        self._timers = timers
        self._rng = rng
        self._on_leaving = on_leaving
        self._on_limit = on_limit
        self._on_speed = on_speed

    def record(self, server: ServerEntry, head: ResponseHead) -> None:
        """Record what the head of a response says."""
        self._record_leaving(server, head)
        self._record_limit(server, head)
        self._record_wait(server, head)
        if head.slots is not None:
            self._statements.record_slots(server, head.slots)
        if head.load is not None:
            self._statements.loads.record(server, head.load, self._timers.now())
            if head.load.slow_factor is not None:
                self._on_speed(server, head.load.slow_factor)

    def _record_leaving(self, server: ServerEntry, head: ResponseHead) -> None:
        now_s = self._timers.now()
        if head.says_leaving and self._statements.record_leaving(
            server.identity, server.born_ms, now_s
        ):
            log_message("statements:leaving", identity=server.identity, source="")
            self._on_leaving(server)

    def _record_limit(self, server: ServerEntry, head: ResponseHead) -> None:
        if head.limit_per_s is None:
            return
        limit = LimitStatement(
            server.born_ms, head.limit_per_s, self._timers.now(), source=""
        )
        if self._statements.record_limit(server.identity, limit):
            log_limit(server.identity, limit)
            self._on_limit(server, limit)

    def _record_wait(self, server: ServerEntry, head: ResponseHead) -> None:
        wait_s = compute_wait_s(head.refusal, head.wait_s, self._rng)
        if wait_s and self._statements.record_wait(server, self._timers.now() + wait_s):
            log_message(
                "statements:wait",
                identity=server.identity,
                refusal=head.refusal.value if head.refusal else "",
                asked_s=head.wait_s,
                wait_s=round(wait_s, 3),
            )


def log_limit(identity: str, limit: LimitStatement) -> None:
    """Log the limit of a server, or that it has none any more."""
    log_message(
        "statements:limit",
        identity=identity,
        per_s=None if math.isinf(limit.per_s) else limit.per_s,
        source=limit.source,
    )
