"""Observations of the callers, the servers and the fault injection in one run.

Times are in seconds since the start of the callers.
"""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from soak.limits import NamedLimit
from soak.schedule import FaultKind
from standins.backend_server import StandInServer

__all__ = [
    "CallerRequest",
    "Execution",
    "InjectedFault",
    "Observations",
    "Removal",
    "Statement",
    "list_arrivals",
    "list_crashes",
    "list_executions",
    "list_statements",
]


class CallerRequest(NamedTuple):
    """One request of a caller and its response.

    Attributes:
        request_id: Unique id of the request.
        kind: ``payout``, ``lookup`` or ``chat``.
        credential: Credential of the request.
        host: Number of the host that it was sent to.
        sent_s: Time at which it was sent.
        ended_s: Time at which the response or the connection ended.
        status: Status of the response, 0 if the connection ended before it.
        body: Body received so far.
        complete: Whether the response was received to its end.
        written_s: Time at which its last byte was sent; infinite if it is not known or
            if it was not sent whole.
        was_reset: Whether the connection ended with a reset. If it ended without one
            later than its last byte was sent, the host had read the whole request.
    """

    request_id: str
    kind: str
    credential: str
    host: int
    sent_s: float
    ended_s: float
    status: int
    body: str
    complete: bool
    written_s: float = math.inf
    was_reset: bool = False


class Execution(NamedTuple):
    """One execution of a request at a backend server.

    Attributes:
        request_id: Id of the request.
        server: Id of the server.
        at_s: Time at which the request arrived.
    """

    request_id: str
    server: str
    at_s: float


class Statement(NamedTuple):
    """What a backend server said in its response to a request.

    Attributes:
        request_id: Id of the request.
        server: Id of the server.
        at_s: Time of the response.
        wait_s: Seconds for which it wants no requests; 0 if it leaves.
    """

    request_id: str
    server: str
    at_s: float
    wait_s: float


class InjectedFault(NamedTuple):
    """A fault that was injected.

    Attributes:
        kind: Kind of the fault.
        began_s: Time at which it began.
        ended_s: Time at which it was over; infinite while it lasts.
        host: Number of the affected host, -1 for all hosts or none.
        server: Id of the affected backend server, empty for all servers or none.
    """

    kind: FaultKind
    began_s: float
    ended_s: float
    host: int
    server: str = ""


class Removal(NamedTuple):
    """The removal of a backend server or of a credential.

    Attributes:
        name: Id of the server, or the credential.
        at_s: Time at which the removal was published.
    """

    name: str
    at_s: float


class Observations(NamedTuple):
    """The input of the checks.

    Attributes:
        requests: Requests of the callers.
        executions: Executions at the backend servers.
        faults: Injected faults.
        leaving_servers: Servers whose state was published as leaving.
        revoked_keys: Credentials that were revoked.
        exits: ``(host, exit status, time in seconds)`` of each process that ended.
        faults_ended_s: Time at which the last fault was over.
        arrivals: Requests that reached the backend servers, executed or not.
        statements: What the backend servers said.
        crashes: The requests on which servers crashed, in order.
        limits: The limits that backend servers named.
    """

    requests: list[CallerRequest]
    executions: list[Execution]
    faults: list[InjectedFault]
    leaving_servers: list[Removal]
    revoked_keys: list[Removal]
    exits: list[tuple[int, int, float]]
    faults_ended_s: float
    arrivals: Sequence[Execution] = ()
    statements: Sequence[Statement] = ()
    crashes: Sequence[Execution] = ()
    limits: Sequence[NamedLimit] = ()


def list_executions(
    servers: Iterable[StandInServer], started_s: float
) -> list[Execution]:
    """Return the executions at some servers.

    Args:
        servers: The servers.
        started_s: Start of the callers, on the event loop's clock.
    """
    return [
        Execution(request_id, server.instance_id, at_s - started_s)
        for server in servers
        for request_id, at_s in zip(
            server.request_ids, server.request_times_s, strict=True
        )
    ]


def list_arrivals(
    servers: Iterable[StandInServer], started_s: float
) -> list[Execution]:
    """Return the requests that reached some servers; see ``list_executions``."""
    return [
        Execution(request_id, server.instance_id, at_s - started_s)
        for server in servers
        for request_id, at_s in server.arrivals
    ]


def list_crashes(servers: Iterable[StandInServer], started_s: float) -> list[Execution]:
    """Return the requests on which some servers crashed; see ``list_executions``."""
    crashes = [
        Execution(request_id, server.instance_id, at_s - started_s)
        for server in servers
        for request_id, at_s in zip(
            server.crash_causes, server.crash_times_s, strict=True
        )
    ]
    return sorted(crashes, key=lambda crash: crash.at_s)


def list_statements(
    servers: Iterable[StandInServer], started_s: float
) -> list[Statement]:
    """Return what some servers said; see ``list_executions``."""
    return [
        Statement(request_id, server.instance_id, at_s - started_s, wait_s)
        for server in servers
        for request_id, at_s, wait_s in server.statements
    ]
