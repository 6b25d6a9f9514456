"""Two naive replacements of the claims, which must fail under the same faults."""

import random
from typing import Any, NamedTuple

from expression import Error, Ok

from oleanderpier.claims import Outcome
from oleanderpier.claims.tests.fleet import Process
from oleanderpier.results import Code
from oleanderpier.utils import rank_candidates

HEARTBEAT_S = 1.0


class UnsharedNode:
    """Baseline without shared state: every host grants each claim by itself."""

    def __init__(self, process: Process, rng: random.Random):
        self._process = process

    def apply_document(self, document: Any) -> None:
        """Store the host names of a published list."""
        self.names = [host["name"] for host in document["hosts"]]

    def claim(self, key: str, timeout_s: float, notify: Any) -> None:
        """Grant the key at once."""
        notify(Ok(key))

    def settle(self, right: Any, code: Code, body: bytes) -> None:
        """Ignore the result."""

    def void(self, right: Any) -> None:
        """Ignore that the right was given up."""


class OwnerQuery(NamedTuple):
    """Claims a key from its owner, or reports the key's result to it.

    Attributes:
        key: The key.
        code: The result code; None to claim the key.
    """

    key: str
    code: int | None


class OwnerReply(NamedTuple):
    """Replies to a claim.

    Attributes:
        key: The key.
        granted: Whether the sender may send the key's request.
        code: The result code, if it is known.
    """

    key: str
    granted: bool
    code: int | None


class HashedOwnerNode(UnsharedNode):
    """Baseline with one owner for each key, which grants it once.

    The owner is the best ranked host among those whose heartbeats arrive, so hosts
    can differ on who it is.
    """

    def __init__(self, process: Process, rng: random.Random):
        super().__init__(process, rng)
        self._last_heartbeat_s: dict[str, float] = {}
        self._codes: dict[str, int | None] = {}
        self._waiting: dict[str, list[Any]] = {}
        process.subscribe(HEARTBEAT_S, self._send_heartbeats)

    def _send_heartbeats(self) -> None:
        for host in self.names:
            self._process.send(host, None)

    def claim(self, key: str, timeout_s: float, notify: Any) -> None:
        """Claim a key from its owner."""
        self._waiting.setdefault(key, []).append(notify)
        self._process.call_later(1.0, lambda: self._expire(key, notify))
        self._send_to_owner(key, None)

    def settle(self, right: Any, code: Code, body: bytes) -> None:
        """Report the result to the owner."""
        self._send_to_owner(right, code)

    def void(self, right: Any) -> None:
        """Report to the owner that the request was never sent."""
        self._send_to_owner(right, Code.KEY_VOID)

    def _expire(self, key: str, notify: Any) -> None:
        if notify in self._waiting.get(key, []):
            self._waiting[key].remove(notify)
            notify(Error(Outcome(Code.CLAIM_NO_MAJORITY, b"")))

    def _send_to_owner(self, key: str, code: int | None) -> None:
        oldest_s = self._process.now() - 3 * HEARTBEAT_S
        live = [
            name
            for name in self.names
            if self._last_heartbeat_s.get(name, 0.0) >= oldest_s
        ]
        owner = rank_candidates(key, {*live, self._process.name})[0]
        if owner == self._process.name:
            self.handle(owner, OwnerQuery(key, code))
        else:
            self._process.send(owner, OwnerQuery(key, code))

    def handle(self, sender: str, message: Any) -> None:
        """Handle a message; each one, also an empty one, is a heartbeat."""
        self._last_heartbeat_s[sender] = self._process.now()
        if isinstance(message, OwnerQuery):
            self._receive_query(sender, message)
        elif isinstance(message, OwnerReply):
            self._receive_reply(message)

    def _receive_query(self, sender: str, message: OwnerQuery) -> None:
        if message.code is not None:
            self._codes[message.key] = message.code
            return
        granted = message.key not in self._codes
        reply = OwnerReply(
            message.key, granted, self._codes.setdefault(message.key, None)
        )
        if sender == self._process.name:
            self._receive_reply(reply)
        else:
            self._process.send(sender, reply)

    def _receive_reply(self, message: OwnerReply) -> None:
        callbacks = self._waiting.get(message.key)
        if not callbacks:
            return
        code = Code.CLAIM_HELD if message.code is None else Code(message.code)
        failed = Error(Outcome(code, b""))
        callbacks.pop(0)(Ok(message.key) if message.granted else failed)
