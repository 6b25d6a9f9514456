"""Selects the servers of one request, among those whose limits have room."""

from typing import NamedTuple

from oleanderpier.forwarding.admission import RequestAdmission
from oleanderpier.forwarding.decisions import log_evacuated, record_cold, record_left
from oleanderpier.forwarding.records import Call
from oleanderpier.forwarding.resources import ForwardingResources
from oleanderpier.results import Code
from oleanderpier.routing import (
    Choice,
    ServerQuery,
    combine_regions,
    pick_service,
    spread_return_s,
)

__all__ = ["RETRY_AFTER_S", "NoServer", "ServerSelection"]

# Choices for one request among servers whose limits may have no room for it.
MAX_LIMITED_CHOICES = 24
# Delay that a refusal asks the caller to wait: long enough for a server in backoff
# to be tried again, short against the latency targets.
RETRY_AFTER_S = 0.25
# The same if all servers are in evacuated failure domains: bounds of a random delay.
EVACUATED_RETRY_AFTER_S = (0.5, 1.5)


class NoServer(NamedTuple):
    """Why there is no server for a request.

    Attributes:
        code: The result code if the request has not run.
        reason: The reason, as text for the log and the caller.
        retry_after_s: Seconds after which the caller should return.
    """

    code: Code
    reason: str
    retry_after_s: float


class ServerSelection:
    """Selects the servers of one request.

    Args:
        resources: What all requests of this host share.
        call: The request.

    Attributes:
        service: The service that the request is sent to.
        query: What it requires of a server.
        tried: Ids of the servers that it was sent to.
        refused_by: Ids of the servers that have refused it.
        admission: Its permits.
    """

    def __init__(self, resources: ForwardingResources, call: Call) -> None:
        prefixes = call.shared_prefixes
        self.service = pick_service(
            call.route.shares, prefixes[-1].key if prefixes else call.identity
        )
        self.query = ServerQuery(
            self.service,
            prefixes,
            combine_regions(call.route, call.workspace),
            call.prompt_tokens,
            call.route.target_s,
        )
        self.tried: set[str] = set()
        self.refused_by: set[str] = set()
        self.admission = RequestAdmission(resources, call, self.query)
        self._resources = resources
        self._call = call

    async def choose(self, excluded: set[str], may_wait: bool = True) -> Choice | None:
        """Return the best server whose limit has room, None if there is none.

        A server without room is left out of the next choice.

        Args:
            excluded: Ids of the servers that are never chosen.
            may_wait: Whether the request may wait for the permit of a server.
        """
        if self.admission.is_needed:
            is_repeat = bool(self.tried or self._call.last_event_id)
            choice = await self.admission.choose(
                self._choose_unasked, excluded, is_repeat, may_wait
            )
        else:
            choice = await self._choose_unlimited(excluded)
        if choice is not None:
            # The wait for a permit may have outlasted the time for copies.
            choice = self._resources.chooser.confirm_source(choice)
        if choice is not None and choice.evacuated is not None:
            self._resources.on_held_back("evacuated", "moved")
            log_evacuated(self._call.identity, choice.evacuated, "moved", 0.0)
        if choice is not None and choice.left is not None:
            record_left(self._resources, self._call.identity, choice)
        return choice

    def has_other(self) -> bool:
        """Return whether a healthy server is left that was not tried."""
        return self._resources.chooser.has_other(self.query, self.tried)

    def explain(self) -> NoServer:
        """Return why no server could be chosen, and log it."""
        resources = self._resources
        refusal = self.admission.refusal
        if refusal is not None:
            return NoServer(
                Code.SERVERS_FULL, refusal.describe(), refusal.retry_after_s
            )
        evacuated = resources.chooser.find_evacuated(self.query, self.refused_by)
        if evacuated is not None:
            retry_after_s = resources.rng.uniform(*EVACUATED_RETRY_AFTER_S)
            domain = evacuated.server.failure_domain
            resources.on_held_back("evacuated", "refused")
            log_evacuated(self._call.identity, evacuated, "refused", retry_after_s)
            text = f"failure domain {domain} is evacuated"
            return NoServer(Code.NO_BACKEND_SERVER, text, retry_after_s)
        wait_s = resources.chooser.get_shortest_wait_s(self.query)
        if wait_s:
            text = f"no server wants it for {wait_s:.3f} s"
            retry_after_s = spread_return_s(max(RETRY_AFTER_S, wait_s), resources.rng)
            return NoServer(Code.NO_BACKEND_SERVER, text, retry_after_s)
        text = f"no server of {self.service} has room"
        if resources.chooser.has_stood_still():
            text = "this host just stood still"
        return NoServer(Code.NO_BACKEND_SERVER, text, RETRY_AFTER_S)

    async def _choose_unlimited(self, excluded: set[str]) -> Choice | None:
        """Return the best server of a service that is not under permits."""
        for _ in range(MAX_LIMITED_CHOICES):
            choice = self._resources.chooser.choose(self.query, self.tried, excluded)
            if choice is None:
                return None
            if self._resources.permits.has_rate(choice.server):
                if await self.admission.acquire_rate(choice):
                    return choice
                excluded = excluded | {choice.server.identity}
            elif await self._resources.may_send(choice.server):
                # The wait for the owner of its limit may have taken 0.1 s.
                if self.admission.is_still_eligible(choice):
                    return choice
                excluded = excluded | {choice.server.identity}
            else:
                record_cold(self._resources, self._call.identity, choice)
        return None

    def _choose_unasked(self, excluded: set[str]) -> Choice | None:
        """Return the best server that is not excluded, before its owner is asked."""
        # The choice by statistics passes over servers only if they are to be avoided.
        avoid = self.tried | excluded
        choice = self._resources.chooser.choose(self.query, avoid, excluded)
        has_full = bool(excluded - self.tried - self.refused_by)
        if choice is not None and has_full and choice.server.identity in self.tried:
            # The wait for a server without room is better than one that has failed.
            return None
        return choice
