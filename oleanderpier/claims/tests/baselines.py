"""Two naive ways that the fault table shows failing."""

import random
from typing import Any, NamedTuple

from expression import Error, Ok

from oleanderpier.claims import Outcome
from oleanderpier.claims.tests.fleet import Process
from oleanderpier.results import Code
from oleanderpier.utils import rank_candidates

HEARTBEAT_S = 1.0


class UnsharedNode:
    """Baseline: one attempt, and no host knows of another's."""

    def __init__(self, process: Process, rng: random.Random):
        self._process = process

    def apply_document(self, document: Any) -> None:
        """See a published list."""
        self.names = [host["name"] for host in document["hosts"]]

    def claim(self, key: str, timeout_s: float, notify: Any) -> None:
        """Ask for the right."""
        notify(Ok(key))

    def settle(self, right: Any, code: Code, body: bytes) -> None:
        """Say what came of it."""

    def void(self, right: Any) -> None:
        """Give the right up."""


class OwnerQuery(NamedTuple):
    """Asks a key's owner for the right, or tells it what came of it."""

    key: str
    code: int | None


class OwnerReply(NamedTuple):
    """What the owner says: the right, or what it knows."""

    key: str
    granted: bool
    code: int | None


class HashedOwnerNode(UnsharedNode):
    """Baseline: the best ranked host that seems alive grants a key once."""

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
        """Ask for the right."""
        self._waiting.setdefault(key, []).append(notify)
        self._process.call_later(1.0, lambda: self._expire(key, notify))
        self._send_to_owner(key, None)

    def settle(self, right: Any, code: Code, body: bytes) -> None:
        """Say what came of it."""
        self._send_to_owner(right, code)

    def void(self, right: Any) -> None:
        """Give the right up."""
        self._send_to_owner(right, Code.KEY_VOID)

    def _expire(self, key: str, notify: Any) -> None:
        if notify in self._waiting.get(key, []):
            self._waiting[key].remove(notify)
            notify(Error(Outcome(Code.CLAIM_NO_MAJORITY, b"")))

    def _send_to_owner(self, key: str, code: int | None) -> None:
        limit_s = self._process.now() - 3 * HEARTBEAT_S
        live = [
            name
            for name in self.names
            if self._last_heartbeat_s.get(name, 0.0) >= limit_s
        ]
        owner = rank_candidates(key, {*live, self._process.name})[0]
        if owner == self._process.name:
            self.handle(owner, OwnerQuery(key, code))
        else:
            self._process.send(owner, OwnerQuery(key, code))

    def handle(self, sender: str, message: Any) -> None:
        """Take a message or a heartbeat."""
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
        answer = OwnerReply(
            message.key, granted, self._codes.setdefault(message.key, None)
        )
        if sender == self._process.name:
            self._receive_reply(answer)
        else:
            self._process.send(sender, answer)

    def _receive_reply(self, message: OwnerReply) -> None:
        waiting = self._waiting.get(message.key)
        if not waiting:
            return
        code = Code.CLAIM_HELD if message.code is None else Code(message.code)
        failed = Error(Outcome(code, b""))
        waiting.pop(0)(Ok(message.key) if message.granted else failed)
