"""Fakes: scripted backend servers and a minimal dialect."""

import asyncio
import random
from collections.abc import Callable

from oleanderpier.connections import make_session
from oleanderpier.forwarding import (
    Call,
    CrashGuard,
    Forwarder,
    PermitSource,
    RequestKeys,
    RequestOutcome,
    ServerActivity,
    StatementRecorder,
)
from oleanderpier.forwarding.tests.dialect import MinimalDialect
from oleanderpier.forwarding.tests.recording import RecordingCaller
from oleanderpier.forwarding.tests.scripted_servers import (
    Behaviour,
    ReceivedRequest,
    ScriptedServer,
    close_connection,
    cut_stream,
    format_events,
    never_respond,
    reset_connection,
    respond,
    respond_not_run,
    stream_events,
    stream_without_length,
)
from oleanderpier.routing import (
    BudgetLimits,
    CacheMap,
    Choice,
    Chooser,
    ColdServers,
    CrashCauses,
    Evacuations,
    PromptPart,
    Quarantine,
    RetryBudget,
    Roster,
    Route,
    ServerEntry,
    ServerHealth,
    ServerStatements,
    ServiceEntry,
)
from oleanderpier.routing.tests.fakes import (
    ENGINE,
    FakeRemoteLoads,
    make_route,
    make_server,
)
from oleanderpier.utils import LoopTimers, run_coroutine

__all__ = [
    "USED_UP_S",
    "Behaviour",
    "ForwarderFixture",
    "ReceivedRequest",
    "RecordingCaller",
    "close_connection",
    "cut_stream",
    "format_events",
    "forward_request",
    "make_call",
    "never_respond",
    "reset_connection",
    "respond",
    "respond_not_run",
    "stream_events",
    "stream_without_length",
]

USED_UP_S = 1.0


class ForwarderFixture:
    """A forwarder with scripted servers.

    Args:
        scripts: The behaviours of each server; earlier servers are preferred.
        slack: Retries that the retry budget allows over all hosts.
        used_up: Ids of the servers whose limits are used up, for ``USED_UP_S``.

    Attributes:
        unreachable: The numbers of servers that do not listen.
        held_back: Whether other hosts hold the requests back from the first attempt on.
        differ_in_path: Whether each request has another path.
        differ_in_prompt: Whether each request has another prompt.
        at_once: Whether the requests are forwarded at the same time.
        permits: Where the requests ask for permits, None for no permits.
        forwarder: The forwarder of the requests, once they have begun.
        evacuations: The evacuated failure domains likewise.
        evacuated: Ids of the servers whose failure domain is evacuated from the start.
        evacuated_in_wait: The same, but from when the limit of one is asked for.
        cold: Ids of the servers that are cold.
        moved: The reason and the decision for each request that did not reach one.
        reading: Ids of servers that are reading a long prompt, of an uneven service.
        sent: The choice of the server of each attempt.
    """

    def __init__(
        self,
        *scripts: list[Behaviour],
        slack: float = 80.0,
        used_up: tuple[str, ...] = (),
    ) -> None:
        self.servers = [ScriptedServer(*script) for script in scripts]
        self.caller = RecordingCaller()
        self._slack = slack
        self.unreachable: tuple[int, ...] = ()
        self.held_back = False
        self.differ_in_path = False
        self.differ_in_prompt = False
        self.at_once = False
        self.permits: PermitSource | None = None
        self.forwarder: Forwarder | None = None
        self.evacuations: Evacuations | None = None
        self._used_up = used_up
        self.evacuated: tuple[str, ...] = ()
        self.evacuated_in_wait: tuple[str, ...] = ()
        self.cold: tuple[str, ...] = ()
        self.moved: list[tuple[str, str]] = []
        self.reading: tuple[str, ...] = ()
        self.sent: list[Choice] = []

    async def forward(self, route: Route, timeout_s: float) -> RequestOutcome:
        """Forward one request, then close all servers."""
        (outcome,) = await self.forward_all(route, timeout_s, [self.caller])
        return outcome

    def _record_reading(
        self, statements: ServerStatements, roster: Roster, now_s: float
    ) -> None:
        """Record the servers that are reading a long prompt."""
        statements.loads.allow_permits(not self.reading)
        for identity in self.reading:
            server = roster.get_entry(identity)
            statements.loads.record_speed(server, 1.0, now_s)
            statements.prefills.record(server, 12_000, 2.0, now_s)

    async def forward_all(
        self, route: Route, timeout_s: float, callers: list[RecordingCaller]
    ) -> list[RequestOutcome]:
        """Forward the requests of several callers, then close all servers."""
        timers = LoopTimers()
        roster, health = Roster(timers), ServerHealth(timers)
        order = {f"s{number}": number for number in range(len(self.servers))}
        for identity, server in zip(order, self.servers, strict=True):
            address = await server.listen()
            is_evacuated = identity in self.evacuated + self.evacuated_in_wait
            domain = "alpena" if is_evacuated else "duluth"
            roster.update_entry(
                identity,
                make_server(identity, address=address, failure_domain=domain),
            )
            if order[identity] in self.unreachable:
                server._listener.close()
        budget = RetryBudget(
            BudgetLimits(0.0, self._slack, 10.0), timers, lambda: len(order)
        )
        # The n-th server has n requests of other hosts in flight, so that servers
        # are tried in order.
        remote_loads = FakeRemoteLoads()
        remote_loads.in_flight.update(order)
        statements, rng = ServerStatements(), random.Random(1)
        evacuations = self.evacuations = Evacuations(timers)
        cold_servers = ColdServers(evacuations, timers)
        cold_servers.update_services((ServiceEntry(ENGINE, 20.0, 11.0),))
        for identity in self.cold:
            entry = roster.get_entry(identity)
            cold_servers.update_entry(identity, entry._replace(cold_remaining_s=9.0))
        self._record_reading(statements, roster, timers.now())
        if self.evacuated:
            evacuations.update("alpena", True)
        self.chooser = chooser = Chooser(
            roster,
            health,
            CacheMap(timers),
            "duluth",
            remote_loads,
            rng,
            timers,
            statements=statements,
            evacuations=evacuations,
        )

        def request_send(server: ServerEntry, notify: Callable[[bool], None]) -> None:
            if server.identity in self._used_up:
                statements.record_wait(server, timers.now() + USED_UP_S)
            if server.identity in self.evacuated_in_wait:
                evacuations.update("alpena", True)
            notify(server.identity not in self._used_up)

        causes = CrashCauses()
        async with make_session() as session:
            forwarder = Forwarder(
                session,
                MinimalDialect(),
                chooser,
                health,
                budget,
                ServerActivity(timers),
                timers,
                StatementRecorder(statements, timers, rng).record,
                CrashGuard(causes, health, timers),
                rng,
                self._make_attempt_recorder(causes, route, timers),
                request_send,
                lambda *decision: self.moved.append(decision),
                cold_servers,
                self.permits,
                on_send=self.sent.append,
            )
            self.forwarder = forwarder
            try:
                requests = [
                    lambda caller=caller, number=number: forwarder.forward(
                        self._make_call(number, route, timers.now() + timeout_s), caller
                    )
                    for number, caller in enumerate(callers)
                ]
                if self.at_once:
                    return await asyncio.gather(*(request() for request in requests))
                return [await request() for request in requests]
            finally:
                self.in_flight = dict(chooser.in_flight)
                await asyncio.sleep(0.05)
                for server in self.servers:
                    await server.close()

    def _make_attempt_recorder(
        self, causes: CrashCauses, route: Route, timers: LoopTimers
    ) -> Callable[..., None]:
        """Return what is called after each attempt; see ``Forwarder``."""

        def record(outcome, framing, took_s) -> None:
            if self.held_back:
                key = RequestKeys(make_call(route, 0.0)).whole
                group = frozenset([key])
                causes.receive_quarantine(Quarantine(key, timers.now(), 60.0, group))

        return record

    def _make_call(self, number: int, route: Route, deadline_s: float) -> Call:
        """Return the request of one of several callers."""
        call = make_call(route, deadline_s)
        if self.differ_in_path:
            call = call._replace(path=f"{call.path}{number}")
        if self.differ_in_prompt:
            parts = (PromptPart(f"p{number}", 10), PromptPart("own", 5))
            call = call._replace(prompt_parts=parts)
        return call

    def count_requests(self) -> list[int]:
        """Return the number of requests that each server received."""
        return [len(server.requests) for server in self.servers]


def make_call(route: Route, deadline_s: float) -> Call:
    """Return a request for a route."""
    return Call(
        identity="r-1",
        method="POST",
        path="/chat/x",
        headers=[],
        body=b"hello",
        route=route,
        workspace=None,
        prompt_parts=(PromptPart("p", 10), PromptPart("own", 5)),
        last_event_id=None,
        deadline_s=deadline_s,
    )


def forward_request(
    fixture: ForwarderFixture, timeout_s: float = 5.0, **changes
) -> RequestOutcome:
    """Forward one request of a route that is not sticky.

    Args:
        fixture: The forwarder and the servers.
        timeout_s: Time until the request's deadline, in seconds.
        changes: Fields of the route to change.
    """
    route = make_route(sticky=False, **changes)
    return run_coroutine(fixture.forward(route, timeout_s))
