"""Observations of the callers, the servers and the fault injection in one run.

Times are in seconds since the start of the callers.
"""

from typing import NamedTuple

from soak.schedule import FaultKind

__all__ = ["CallerRequest", "Execution", "InjectedFault", "Observations", "Removal"]


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


class InjectedFault(NamedTuple):
    """A fault that was injected.

    Attributes:
        kind: Kind of the fault.
        began_s: Time at which it began.
        ended_s: Time at which it was over; infinite while it lasts.
        host: Number of the affected host, -1 for all hosts or none.
    """

    kind: FaultKind
    began_s: float
    ended_s: float
    host: int


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
    """

    requests: list[CallerRequest]
    executions: list[Execution]
    faults: list[InjectedFault]
    leaving_servers: list[Removal]
    revoked_keys: list[Removal]
    exits: list[tuple[int, int, float]]
    faults_ended_s: float
