"""Rounds of queries to a majority of witnesses, for claims and leases alike."""

import random
from typing import Any, Protocol

from oleanderpier.claims.attempt import Attempt
from oleanderpier.claims.host_lists import HostLists
from oleanderpier.claims.messages import RoundId
from oleanderpier.claims.witness_sets import WitnessSet
from oleanderpier.utils import Outbox, Timers

__all__ = ["WitnessRounds"]


class WitnessReadiness(Protocol):
    """A witness that grants nothing until its process is old enough.

    Attributes:
        ready: Whether the witness grants what is requested now.
    """

    ready: bool


class WitnessRounds:
    """Queries witnesses on this and other hosts, and replies as a witness.

    Args:
        host: This host's name.
        incarnation: Id of this process; never used twice on the host.
        timers: The timer service.
        rng: Source of the random waits between rounds.
        outbox: Sends messages to other hosts.
        lists: The host lists that this host knows.
        witness: This host as a witness.

    Attributes:
        lists: The host lists that this host knows.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        timers: Timers,
        rng: random.Random,
        outbox: Outbox,
        lists: HostLists,
        witness: WitnessReadiness,
    ) -> None:
        self.lists = lists
        self._host = host
        self._incarnation = incarnation
        self._timers = timers
        self._rng = rng
        self._outbox = outbox
        self._witness = witness
        self._sequence = 0

    @property
    def ready(self) -> bool:
        """Whether this host, as a witness, grants what is requested now.

        Until then, callers should be directed to other hosts.
        """
        return self.lists.ready and self._witness.ready

    def handle(self, sender: str, message: Any) -> None:
        """Handle a message from a peer or from this host itself."""
        self._receive(message, sender)

    def _receive(self, message: Any, sender: str) -> None:
        raise NotImplementedError

    def _send(self, host: str, message: Any) -> bool:
        """Send a message, and return whether the host can be reached.

        A message to this host itself is handled before the method returns.
        """
        if host == self._host:
            self._receive(message, host)
            return True
        return self._outbox.send(host, message)

    def _open_attempt(self, required: list[WitnessSet]) -> Attempt:
        """Return a new attempt with an id of its own."""
        self._sequence += 1
        claim_id = RoundId(self._host, self._incarnation, self._sequence)
        return Attempt(claim_id, required)

    def _send_to_unanswered(self, attempt: Attempt, message: Any) -> None:
        """Send a message to all witnesses that have not replied, this host last.

        This host replies at once, and that reply may decide the attempt, so the
        others come first.
        """
        hosts = sorted(attempt.unanswered, key=lambda host: host == self._host)
        for host in hosts:
            if not attempt.closed and not self._send(host, message):
                attempt.record_denial(host, None)

    def _receive_list_version(self, sender: str, version: int) -> None:
        """Handle the newest list version that a witness reported in its reply."""
        if sender != self._host:
            self.lists.receive_version(sender, version)
