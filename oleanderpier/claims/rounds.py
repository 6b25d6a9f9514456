"""What asking a majority of witnesses takes, whatever it is asked for."""

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
        ready: Whether it grants what is asked for now.
    """

    ready: bool


class WitnessRounds:
    """Asks witnesses on other hosts, and is one of them itself.

    Args:
        host: This host's name.
        incarnation: Which process of the host this is; never used twice.
        timers: The timer service.
        rng: Source of the waits between rounds.
        outbox: Sends to other hosts.
        lists: The host lists that this host knows.
        witness: What this host grants to others.

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
        """Whether this host, as a witness, can grant what is asked for now.

        Callers do better not to be sent to a host before.
        """
        return self.lists.ready and self._witness.ready

    def handle(self, sender: str, message: Any) -> None:
        """Take a message from another host, or from this one."""
        self._receive(message, sender)

    def _receive(self, message: Any, sender: str) -> None:
        raise NotImplementedError

    def _send(self, host: str, message: Any) -> bool:
        """Send a message, and return whether the host can be reached."""
        if host == self._host:
            self._receive(message, host)
            return True
        return self._outbox.send(host, message)

    def _open_attempt(self, required: list[WitnessSet]) -> Attempt:
        """Return a new attempt, under a name that no other one has."""
        self._sequence += 1
        claim_id = RoundId(self._host, self._incarnation, self._sequence)
        return Attempt(claim_id, required)

    def _send_to_unanswered(self, attempt: Attempt, message: Any) -> None:
        """Send a message to whoever has not answered, this host last."""
        hosts = sorted(attempt.unanswered, key=lambda host: host == self._host)
        for host in hosts:
            if not attempt.closed and not self._send(host, message):
                attempt.record_denial(host, None)

    def _receive_list_version(self, sender: str, version: int) -> None:
        """Take the version of the host list that an answer was given under."""
        if sender != self._host:
            self.lists.receive_version(sender, version)
