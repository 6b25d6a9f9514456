"""A key's place in the process that received requests with it."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from expression import Result

from oleanderpier.claims.attempt import Attempt
from oleanderpier.claims.messages import RoundId
from oleanderpier.results import Code, Failure
from oleanderpier.utils import Subscription

__all__ = [
    "ClaimCallback",
    "KeyState",
    "LookUpCallback",
    "Outcome",
    "Phase",
    "SendRight",
    "Waiter",
]


class SendRight(NamedTuple):
    """The right to send a key, which only one process ever has.

    Attributes:
        key: The key's 16 bytes.
        claim_id: The attempt that won it.
    """

    key: bytes
    claim_id: RoundId


class Outcome(NamedTuple):
    """What became of a key before.

    Attributes:
        code: The result code of the first time.
        body: The answer; empty if it was not kept for its size.
    """

    code: Code
    body: bytes


ClaimCallback = Callable[[Result[SendRight, Failure | Outcome]], None]
LookUpCallback = Callable[[Result[Outcome, Failure]], None]


class Phase(Enum):
    """How far a key has come in this process."""

    CLAIMING = "claiming"
    HOLDING = "holding"
    SETTLED = "settled"


class Waiter(NamedTuple):
    """A later request with the same key."""

    notify: ClaimCallback
    timer: Subscription


class KeyState:
    """What this process does about one key.

    Args:
        key: The key's 16 bytes.
        notify: Who is told the result of the claim.
        deadline_s: When the claim ends, by the monotonic clock.
    """

    def __init__(self, key: bytes, notify: ClaimCallback, deadline_s: float):
        self.key = key
        self.notify = notify
        self.deadline_s = deadline_s
        self.phase = Phase.CLAIMING
        self.attempt: Attempt | None = None
        self.attempt_count = 0
        self.first_contended_s: float | None = None
        self.outcome: Outcome | None = None
        self.waiters: list[Waiter] = []
        self.timers: list[Subscription] = []

    def is_current(self, claim_id: RoundId) -> bool:
        """Whether an attempt is the current one and was not given up."""
        if self.attempt is None or self.attempt.claim_id != claim_id:
            return False
        return self.phase is not Phase.CLAIMING or not self.attempt.closed

    def cancel_timers(self) -> None:
        """End the timers of the claim."""
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
