"""What callers and servers saw in one run."""

from typing import NamedTuple

from soak.schedule import FaultKind

__all__ = ["Attempt", "Evidence", "Happened", "Leave", "Run"]


class Attempt(NamedTuple):
    """One request of a caller. Times are in seconds on the run's clock.

    Attributes:
        identity: Its id, which no other has.
        kind: ``payout``, ``lookup`` or ``chat``.
        key: The credential that it carried.
        host: The number of the host that it went to.
        sent_s: When it was sent.
        ended_s: When it ended.
        status: The status, 0 if the connection ended before one.
        body: What came.
        whole: Whether the answer ended as a whole one.
    """

    identity: str
    kind: str
    key: str
    host: int
    sent_s: float
    ended_s: float
    status: int
    body: str
    whole: bool


class Run(NamedTuple):
    """One run of a request at a server."""

    identity: str
    server: str
    at_s: float


class Happened(NamedTuple):
    """A fault as it was injected.

    Attributes:
        kind: What happened.
        began_s: When it began.
        ended_s: When it was over.
        host: The number of the host, -1 for all or none.
    """

    kind: FaultKind
    began_s: float
    ended_s: float
    host: int


class Leave(NamedTuple):
    """A server that said it leaves, or a credential that was taken away."""

    name: str
    at_s: float


class Evidence(NamedTuple):
    """Everything that the checks judge.

    Attributes:
        attempts: The callers' requests.
        runs: The servers' runs.
        faults: What was injected.
        leaves: Servers that said they leave.
        revoked: Credentials that were taken away for good.
        exits: The exit status of each process that ended, by host, with the
            time.
        calm_s: When the last fault was over.
    """

    attempts: list[Attempt]
    runs: list[Run]
    faults: list[Happened]
    leaves: list[Leave]
    revoked: list[Leave]
    exits: list[tuple[int, int, float]]
    calm_s: float
