"""A naive replacement of the leases, which must fail under the same faults."""

import math
import random
from typing import Any, NamedTuple

from expression import Error, Ok

from oleanderpier.claims.tests.fleet import Process
from oleanderpier.orders import (
    ORDER_TIMEOUT_S,
    PERMIT_LIFETIME_S,
    SlidingWindow,
    StartPermit,
)
from oleanderpier.orders.tests.fleet import BUDGET, PERIOD_S, START_LIMIT
from oleanderpier.results import Code, Failure
from oleanderpier.utils import rank_candidates

HEARTBEAT_S = 1.0
HEARTBEAT_TIMEOUT_S = 3 * HEARTBEAT_S
_NOT_OWNER_ERROR = Error(Failure(Code.LEASE_NOT_HELD, ""))


class Heartbeat(NamedTuple):
    """Shows that the sender is alive."""


class HashedOwnerNode:
    """Baseline with one owner for each engine, which numbers its own orders.

    The owner is the best ranked host among those whose heartbeats arrive, so hosts
    can differ on who it is.
    """

    def __init__(self, process: Process, rng: random.Random):
        self._process = process
        self._last_heartbeat_s: dict[str, float] = {}
        self._leases: dict[str, OwnerLease] = {}
        window_s = PERIOD_S + PERMIT_LIFETIME_S + ORDER_TIMEOUT_S
        self._window = SlidingWindow(process, START_LIMIT, window_s, -window_s)
        process.subscribe(HEARTBEAT_S, self._send_heartbeats)

    def apply_document(self, document: Any) -> None:
        """Store the host names of a published list."""
        self.names = [host["name"] for host in document["hosts"]]

    def handle(self, sender: str, message: Any) -> None:
        """Record a heartbeat."""
        self._last_heartbeat_s[sender] = self._process.now()

    def find_lease(self, subject: str) -> Any:
        """Return a lease if this host seems to be the owner."""
        oldest_s = self._process.now() - HEARTBEAT_TIMEOUT_S
        live = [
            name
            for name in self.names
            if self._last_heartbeat_s.get(name, 0.0) >= oldest_s
        ]
        if rank_candidates(subject, {*live, self._process.name})[0] != (
            self._process.name
        ):
            return None
        return self._leases.setdefault(subject, OwnerLease(subject))

    def acquire(self, subject: str, timeout_s: float, notify: Any) -> None:
        """Return a lease through the callback if this host seems to be the owner."""
        lease = self.find_lease(subject)
        notify(Ok(lease) if lease else _NOT_OWNER_ERROR)

    def release(self, lease: Any) -> None:
        """Ignore that a lease was given up."""

    def request_permit(self, notify: Any) -> None:
        """Grant a start permit if this host seems to be the owner."""
        owned = self.find_lease(BUDGET) is not None
        granted = owned and not self._window.try_start()
        now = self._process.now()
        notify(Ok(StartPermit(self._process, now)) if granted else _NOT_OWNER_ERROR)

    def _send_heartbeats(self) -> None:
        for host in self.names:
            self._process.send(host, Heartbeat())


class OwnerLease:
    """Lease of the baseline: it never ends, and its fencing token is a counter."""

    left_s = math.inf

    def __init__(self, subject: str):
        self.subject = subject
        self._fence = 0

    def start_order(self) -> int:
        """Return the next fencing token."""
        self._fence += 1
        return self._fence

    def may_write(self) -> bool:
        """Allow every order."""
        return True

    def finish_order(self, certain: bool) -> None:
        """Ignore the result of an order."""
