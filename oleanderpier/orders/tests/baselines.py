"""A naive way to choose who gives orders, which the fault table shows failing."""

import math
import random
from typing import Any, NamedTuple

from expression import Error, Ok

from oleanderpier.claims.tests.fleet import Process
from oleanderpier.orders import ORDER_TIMEOUT_S, START_LIFE_S, Start, StartWindow
from oleanderpier.orders.tests.fleet import BUDGET, PERIOD_S, STARTS
from oleanderpier.results import Code, Failure
from oleanderpier.utils import rank_candidates

HEARTBEAT_S = 1.0
LIVE_S = 3 * HEARTBEAT_S
_NOT_OWNER = Error(Failure(Code.LEASE_NOT_HELD, ""))


class Heartbeat(NamedTuple):
    """A sign of life of the baseline."""


class OwnedOrders:
    """Baseline: the best ranked host that seems alive numbers its own orders."""

    def __init__(self, process: Process, rng: random.Random):
        self._process = process
        self._heard: dict[str, float] = {}
        self._rights: dict[str, OwnRight] = {}
        window_s = PERIOD_S + START_LIFE_S + ORDER_TIMEOUT_S
        self._window = StartWindow(process, STARTS, window_s, -window_s)
        process.subscribe(HEARTBEAT_S, self._beat)

    def apply_document(self, document: Any) -> None:
        """See a published list."""
        self.names = [host["name"] for host in document["hosts"]]

    def handle(self, sender: str, message: Any) -> None:
        """Take a heartbeat."""
        self._heard[sender] = self._process.now()

    def find_lease(self, subject: str) -> Any:
        """Return the right to give orders, if this host seems to be the owner."""
        limit_s = self._process.now() - LIVE_S
        live = [name for name in self.names if self._heard.get(name, 0.0) >= limit_s]
        if rank_candidates(subject, {*live, self._process.name})[0] != (
            self._process.name
        ):
            return None
        return self._rights.setdefault(subject, OwnRight(subject))

    def acquire(self, subject: str, timeout_s: float, notify: Any) -> None:
        """Get the right, if this host seems to be the owner."""
        right = self.find_lease(subject)
        notify(Ok(right) if right else _NOT_OWNER)

    def release(self, right: Any) -> None:
        """Give a right up, which changes nothing."""

    def take_start(self, notify: Any) -> None:
        """Take a start, if this host seems to be the owner."""
        owned = self.find_lease(BUDGET) is not None
        taken = owned and not self._window.take()
        now = self._process.now()
        notify(Ok(Start(self._process, now)) if taken else _NOT_OWNER)

    def _beat(self) -> None:
        for host in self.names:
            self._process.send(host, Heartbeat())


class OwnRight:
    """What the owner believes to have, with a counter for a fence."""

    left_s = math.inf

    def __init__(self, subject: str):
        self.subject = subject
        self._fence = 0

    def start_order(self) -> int:
        """Return the next number."""
        self._fence += 1
        return self._fence

    def may_write(self) -> bool:
        """Return whether an order may be written: always."""
        return True

    def finish_order(self, certain: bool) -> None:
        """Note what came of an order, which changes nothing."""
