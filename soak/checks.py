"""Checks of the fleet's guarantees against the observations of one run."""

import re
from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from soak.crashing_requests import CRASHING_PROMPT_PREFIX, REPEATED_REQUEST_PREFIX
from soak.limits import LIMIT_PER_S, NamedLimit
from soak.observations import (
    CallerRequest,
    Execution,
    InjectedFault,
    Observations,
    Statement,
)
from soak.schedule import FaultKind

__all__ = ["CHAT_EVENT_COUNT", "Violation", "find_violations"]

# Bounds that the users set. MAX_STRETCH_S is added to CONFIG_APPLY_S while the store
# or hosts fail; a fault counts for FAULT_MARGIN_S after its end.
LEAVING_APPLY_S = 2.0
CONFIG_APPLY_S = 2.0
MAX_STRETCH_S = 5.0
FAULT_MARGIN_S = 3.0
RECOVERY_S = 12.0
SHUTDOWN_GRACE_S = 8.0
RESPONSE_SLACK_S = 0.5
# A connection that ends earlier after a request may have been closed before the request
# was read.
LOST_SLACK_S = 0.2
# A response that has begun may end early in the last part of the grace period, if its
# request was sent no later than EARLY_IN_DRAIN_S after SIGTERM.
LAST_GRACE_RATIO = 5 / 6
EARLY_IN_DRAIN_S = 3.0
GRACE_SLACK_S = 1.0
# Time-out of the routes in the stand-in configuration.
ROUTE_TIMEOUT_S = 10.0
# For how long a caller waits for its response.
DEADLINE_S = 8.0
# Upper bound of the time from a caller's send to the arrival at a host or server.
IN_FLIGHT_S = 0.2
# Requests that may reach a server while it wants none, from WAIT_APPLY_S on.
WAIT_APPLY_S = 0.5
MAX_UNWANTED_REQUESTS = 2
# Requests that may still reach servers from CONTACT_S on after the last tolerated crash
# on requests whose ids begin alike.
CONTACT_S = 3.0
MAX_CRASHING_REQUESTS = 3
_TOLERATED_CRASHES = {
    "crashing_prompt": (CRASHING_PROMPT_PREFIX, 5),
    "crashing_request": (REPEATED_REQUEST_PREFIX, 3),
}
# From CONTACT_S after a server first named a limit it gets no more than this in any
# LIMIT_WINDOW_S.
LIMIT_WINDOW_S = 4.0
MAX_LIMITED_REQUESTS = 1.5 * LIMIT_WINDOW_S * LIMIT_PER_S + 5
CHAT_EVENT_COUNT = 8
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

_STORE_FAULTS = frozenset(kind for kind in FaultKind if kind.value.startswith("store"))
_SERVER_FAULTS = frozenset(
    kind for kind in FaultKind if kind.value.startswith(("server", "prompt", "request"))
)
# Behind these a server breaks nothing off.
_SOUND_SERVER_FAULTS = frozenset(
    {
        FaultKind.SERVER_LEAVES,
        FaultKind.SERVER_SAYS_LEAVING,
        FaultKind.SERVER_ASKS_FOR_TIME,
        FaultKind.SERVER_NAMES_LIMIT,
    }
)
_BREAKING_FAULTS = _SERVER_FAULTS - _SOUND_SERVER_FAULTS
_KILL_FAULTS = frozenset(
    {FaultKind.HOST_KILLED, FaultKind.ALL_KILLED, FaultKind.HOST_KILLED_AFTER_CHANGE}
)
_STOP_FAULTS = _KILL_FAULTS | {FaultKind.HOST_PAUSED, FaultKind.HOST_SLOW}


# With these a host may not have got what a server answered.
_CUT_FAULTS = frozenset(
    {
        FaultKind.SERVER_SILENT,
        FaultKind.SERVER_DEAF,
        FaultKind.SERVER_RESET,
        FaultKind.SERVER_SLOW,
        FaultKind.SERVER_CRASHES,
        FaultKind.PROMPT_CRASHES_SERVERS,
        FaultKind.REQUEST_CRASHES_SERVERS,
    }
)
# A host that has started anew knows nothing of what servers said before.
_FORGETTING_FAULTS = _STOP_FAULTS | {FaultKind.HOST_TERMINATED}


class Violation(NamedTuple):
    """A violation of a guarantee.

    Attributes:
        guarantee: Name of the guarantee.
        text: The observation that violates it.
    """

    guarantee: str
    text: str


def find_violations(observations: Observations) -> list[Violation]:
    """Return every violation of a guarantee; empty if the run passed."""
    return [violation for check in _CHECKS for violation in check(observations)]


def _check_at_most_once(observations: Observations) -> Iterator[Violation]:
    """Check that a non-repeatable request is executed at most once."""
    counts = Counter(execution.request_id for execution in observations.executions)
    for request in observations.requests:
        if request.kind == "payout" and counts[request.request_id] > 1:
            text = f"{request.request_id} executed {counts[request.request_id]} times"
            yield Violation("at_most_once", text)


def _check_refusals(observations: Observations) -> Iterator[Violation]:
    """Check that a request refused as not run is never executed."""
    executed = {execution.request_id for execution in observations.executions}
    for request in observations.requests:
        if (
            request.kind == "payout"
            and request.status in NOT_RUN_STATUSES
            and request.request_id in executed
        ):
            text = f"{request.request_id} got {request.status} but was executed"
            yield Violation("not_run", text)


def _check_complete_responses(observations: Observations) -> Iterator[Violation]:
    """Check that a complete response has the full body of its own request."""
    for request in observations.requests:
        if (
            request.status == 200
            and request.complete
            and not _has_complete_body(request)
        ):
            text = f"{request.request_id} got {request.body[:80]!r}"
            yield Violation("whole_answer", text)


def _has_complete_body(request: CallerRequest) -> bool:
    if request.kind != "chat":
        return request.body.endswith(f"ran {request.request_id}")
    numbers = re.findall(r"(?m)^id: (\d+)$", request.body)
    return numbers == [str(n) for n in range(1, CHAT_EVENT_COUNT + 1)]


def _check_leaving_servers(observations: Observations) -> Iterator[Violation]:
    """Check that a leaving server gets no new requests after ``LEAVING_APPLY_S``."""
    left_s = {removal.name: removal.at_s for removal in observations.leaving_servers}
    for execution in observations.executions:
        at_s = left_s.get(execution.server)
        if at_s is None or execution.at_s <= at_s + LEAVING_APPLY_S + IN_FLIGHT_S:
            continue
        if not _has_fault(
            observations,
            _STORE_FAULTS | _STOP_FAULTS,
            at_s - FAULT_MARGIN_S,
            execution.at_s,
        ):
            text = (
                f"{execution.request_id} reached {execution.server} "
                f"{execution.at_s - at_s:.2f} s after it was leaving"
            )
            yield Violation("drained_server", text)


def _check_leaving_statements(observations: Observations) -> Iterator[Violation]:
    """Check that a server that says that it leaves gets nothing more from a host."""
    for statement, host, arrivals in _list_arrivals_after(observations):
        if statement.wait_s:
            continue
        due_s = statement.at_s + LEAVING_APPLY_S + IN_FLIGHT_S
        for arrival in arrivals:
            if arrival.at_s > due_s and not _may_not_know(
                observations, host, statement.at_s, arrival.at_s
            ):
                text = (
                    f"{arrival.request_id} reached {arrival.server} from host {host} "
                    f"{arrival.at_s - statement.at_s:.2f} s after it said it leaves"
                )
                yield Violation("leaving_statement", text)


def _check_waits(observations: Observations) -> Iterator[Violation]:
    """Check that a server that asks for time gets it from each host."""
    for statement, host, arrivals in _list_arrivals_after(observations):
        since_s = statement.at_s + WAIT_APPLY_S
        until_s = statement.at_s + statement.wait_s
        unwanted = [a for a in arrivals if since_s < a.at_s < until_s]
        if len(unwanted) > MAX_UNWANTED_REQUESTS and not _may_not_know(
            observations, host, statement.at_s, until_s
        ):
            text = (
                f"{len(unwanted)} requests reached {statement.server} from host {host} "
                f"after it had asked for {statement.wait_s:g} s at {statement.at_s:.2f}"
            )
            yield Violation("asked_time", text)


def _list_arrivals_after(
    observations: Observations,
) -> Iterator[tuple[Statement, int, list[Execution]]]:
    """Yield each statement with the host that got it and that host's later requests."""
    hosts = {request.request_id: request.host for request in observations.requests}
    arrivals: dict[tuple[str, int], list[Execution]] = defaultdict(list)
    for arrival in observations.arrivals:
        host = hosts.get(arrival.request_id, -1)
        arrivals[arrival.server, host].append(arrival)
    for statement in observations.statements:
        host = hosts.get(statement.request_id, -1)
        later = [
            arrival
            for arrival in arrivals[statement.server, host]
            if arrival.at_s > statement.at_s
        ]
        yield statement, host, later


def _may_not_know(
    observations: Observations, host: int, since_s: float, until_s: float
) -> bool:
    """Return whether a host may not know what a server said to it."""
    return _has_fault(
        observations, _CUT_FAULTS, since_s - FAULT_MARGIN_S, until_s
    ) or _has_host_fault(
        observations, host, since_s - FAULT_MARGIN_S, until_s, _FORGETTING_FAULTS
    )


def _check_crashes(observations: Observations) -> Iterator[Violation]:
    """Check that requests that crash servers are kept away from them."""
    for guarantee, (prefix, tolerated) in _TOLERATED_CRASHES.items():
        crashes_s = [
            crash.at_s
            for crash in observations.crashes
            if crash.request_id.startswith(prefix)
        ]
        if len(crashes_s) < tolerated:
            continue
        since_s = crashes_s[tolerated - 1] + CONTACT_S
        late = [
            arrival.request_id
            for arrival in observations.arrivals
            if arrival.request_id.startswith(prefix)
            and arrival.at_s > since_s
            and not _has_host_fault(
                observations,
                int(arrival.request_id.rpartition("-")[2]),
                arrival.at_s - FAULT_MARGIN_S,
                arrival.at_s,
                _FORGETTING_FAULTS,
            )
        ]
        if len(late) > MAX_CRASHING_REQUESTS:
            text = f"{len(late)} after the bound, {len(crashes_s)} crashes"
            yield Violation(guarantee, f"{text}: {' '.join(late[:8])}")


def _check_limits(observations: Observations) -> Iterator[Violation]:
    """Check that a server gets no more than the limit that it names."""
    for limit in observations.limits:
        times_s = _list_limited_times_s(observations, limit)
        most = max(
            (
                sum(start_s <= at_s < start_s + LIMIT_WINDOW_S for at_s in times_s)
                for start_s in times_s
            ),
            default=0,
        )
        if most > MAX_LIMITED_REQUESTS:
            text = f"{most} requests in {LIMIT_WINDOW_S:g} s reached {limit.server}"
            yield Violation("server_limit", f"{text}, from {limit.began_s:.2f} s on")


def _list_limited_times_s(observations: Observations, limit: NamedLimit) -> list[float]:
    """Return when requests reached a server that count against its limit."""
    hosts = {request.request_id: request.host for request in observations.requests}
    arrivals = [
        arrival
        for arrival in observations.arrivals
        if arrival.server == limit.server
        and limit.began_s <= arrival.at_s <= limit.ended_s
    ]
    # The response to the first of these names it.
    first_s = min((arrival.at_s for arrival in arrivals), default=limit.ended_s)
    since_s = first_s + CONTACT_S
    if _has_fault(observations, _CUT_FAULTS, first_s - FAULT_MARGIN_S, since_s):
        return []
    return [
        arrival.at_s
        for arrival in arrivals
        if arrival.at_s >= since_s
        and not _has_host_fault(
            observations,
            hosts.get(arrival.request_id, -1),
            arrival.at_s - FAULT_MARGIN_S,
            arrival.at_s,
            _FORGETTING_FAULTS,
        )
    ]


def _check_revoked_keys(observations: Observations) -> Iterator[Violation]:
    """Check that a revoked credential is refused after ``CONFIG_APPLY_S``."""
    revoked_s = {removal.name: removal.at_s for removal in observations.revoked_keys}
    for request in observations.requests:
        at_s = revoked_s.get(request.credential)
        if at_s is None or request.status != 200:
            continue
        late_s = request.sent_s - at_s
        disturbed = _has_fault(
            observations,
            _STORE_FAULTS | _STOP_FAULTS,
            at_s - FAULT_MARGIN_S,
            request.sent_s,
        )
        if late_s > CONFIG_APPLY_S + MAX_STRETCH_S * disturbed:
            text = f"{request.request_id} admitted {late_s:.2f} s after the revocation"
            yield Violation("revoked_key", text)


def _check_graceful_shutdowns(observations: Observations) -> Iterator[Violation]:
    """Check that a graceful shutdown cuts no request sent before it took effect."""
    for fault in observations.faults:
        if fault.kind is not FaultKind.HOST_TERMINATED:
            continue
        for request in observations.requests:
            if (
                request.host == fault.host
                and not request.complete
                and request.ended_s > fault.began_s
                and request.sent_s < fault.began_s + IN_FLIGHT_S
                and not _has_other_cause(observations, request, fault)
            ):
                text = f"{request.request_id} cut by the shutdown of host {fault.host}"
                yield Violation("graceful_shutdown", text)


def _has_other_cause(
    observations: Observations, request: CallerRequest, fault: InjectedFault
) -> bool:
    """Return whether a fault other than the shutdown may have cut a request."""
    since_s, until_s = request.sent_s, request.ended_s
    return _has_fault(
        observations, _SERVER_FAULTS, since_s - FAULT_MARGIN_S, until_s
    ) or _has_host_fault(observations, request.host, since_s - FAULT_MARGIN_S, until_s)


def _check_answers(observations: Observations) -> Iterator[Violation]:
    """Check that each request that a host has read whole ends in a response."""
    servers: dict[str, set[str]] = defaultdict(set)
    for arrival in observations.arrivals:
        servers[arrival.request_id].add(arrival.server)
    for request in observations.requests:
        reached = servers[request.request_id]
        was_read = reached or request.ended_s > request.written_s + LOST_SLACK_S
        if (
            not request.complete
            and was_read
            and not _was_broken_off(observations, request, reached)
            and not (request.status and _may_end_early(observations, request))
        ):
            text = (
                f"{request.request_id} ({request.kind}, status {request.status}) of "
                f"host {request.host}, sent at {request.sent_s:.2f} s, reached "
                f"{' '.join(sorted(reached)) or 'no server'}, but was cut at "
                f"{request.ended_s:.2f} s"
            )
            yield Violation("answered", text)


def _was_broken_off(
    observations: Observations, request: CallerRequest, reached: set[str]
) -> bool:
    """Return whether a fault of its host or servers may have ended a connection.

    A host that stands still for some time answers what it has read all the same, but
    may end a connection with a reset before it has read a request.
    """
    since_s, until_s = request.sent_s - FAULT_MARGIN_S, request.ended_s
    may_be_unread = request.was_reset and not reached
    kinds = _STOP_FAULTS if may_be_unread else _KILL_FAULTS
    return _has_host_fault(observations, request.host, since_s, until_s, kinds) or any(
        fault.kind in _BREAKING_FAULTS
        and (fault.server in reached or (reached and not fault.server))
        and fault.began_s <= until_s
        and fault.ended_s >= since_s
        for fault in observations.faults
    )


def _may_end_early(observations: Observations, request: CallerRequest) -> bool:
    """Return whether a response that has begun may end before it is complete."""
    if request.ended_s - request.sent_s >= DEADLINE_S:
        return True
    return any(
        fault.kind is FaultKind.HOST_TERMINATED
        and fault.host == request.host
        and request.sent_s <= fault.began_s + EARLY_IN_DRAIN_S
        and request.ended_s >= fault.began_s + LAST_GRACE_RATIO * SHUTDOWN_GRACE_S
        and request.ended_s <= fault.began_s + SHUTDOWN_GRACE_S + GRACE_SLACK_S
        for fault in observations.faults
    )


def _check_response_times(observations: Observations) -> Iterator[Violation]:
    """Check that every request has its final response by the route's time-out."""
    for request in observations.requests:
        took_s = request.ended_s - request.sent_s
        if took_s > ROUTE_TIMEOUT_S + RESPONSE_SLACK_S and not _has_host_fault(
            observations, request.host, request.sent_s, request.ended_s
        ):
            text = f"{request.request_id} ended after {took_s:.2f} s"
            yield Violation("final_answer", text)


def _check_recovery(observations: Observations) -> Iterator[Violation]:
    """Check that all requests are served again ``RECOVERY_S`` after the last fault."""
    since_s = observations.faults_ended_s + RECOVERY_S
    late = [request for request in observations.requests if request.sent_s > since_s]
    failed = [request for request in late if request.status != 200]
    authorized = [
        request
        for request in failed
        if request.credential not in {key.name for key in observations.revoked_keys}
    ]
    if not late:
        yield Violation("recovery", "no request was sent after the recovery time")
    for request in authorized:
        yield Violation("recovery", f"{request.request_id} got {request.status}")


def _check_exits(observations: Observations) -> Iterator[Violation]:
    """Check that a process ends with status 0 unless a fault killed it."""
    for host, status, at_s in observations.exits:
        killed = _has_host_fault(
            observations, host, at_s - SHUTDOWN_GRACE_S, at_s, _KILL_FAULTS
        )
        if status != 0 and not killed:
            yield Violation("exit", f"host {host} ended with {status} at {at_s:.2f} s")


def _has_fault(
    observations: Observations,
    kinds: frozenset[FaultKind],
    since_s: float,
    until_s: float,
) -> bool:
    """Return whether a fault of some kinds overlaps a period."""
    return any(
        fault.kind in kinds and fault.began_s <= until_s and fault.ended_s >= since_s
        for fault in observations.faults
    )


def _has_host_fault(
    observations: Observations,
    host: int,
    since_s: float,
    until_s: float,
    kinds: frozenset[FaultKind] = _STOP_FAULTS,
) -> bool:
    """Return whether a fault that stops a host overlaps a period."""
    return any(
        fault.kind in kinds
        and fault.host in (host, -1)
        and fault.began_s <= until_s
        and fault.ended_s >= since_s
        for fault in observations.faults
    )


_CHECKS = (
    _check_at_most_once,
    _check_refusals,
    _check_complete_responses,
    _check_leaving_servers,
    _check_leaving_statements,
    _check_waits,
    _check_crashes,
    _check_limits,
    _check_revoked_keys,
    _check_graceful_shutdowns,
    _check_answers,
    _check_response_times,
    _check_recovery,
    _check_exits,
)
