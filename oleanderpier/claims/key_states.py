"""State of a key in the process that received requests with it."""

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
    """The right to send the request of a key, which at most one process gets.

    Attributes:
        key: The key's 16 bytes.
        claim_id: The attempt that won the key.
    """

    key: bytes
    claim_id: RoundId


class Outcome(NamedTuple):
    """The result of the request that was sent with a key.

    Attributes:
        code: The result code.
        body: The response; empty if there was none or it was too large to keep.
    """

    code: Code
    body: bytes


ClaimCallback = Callable[[Result[SendRight, Failure | Outcome]], None]
LookUpCallback = Callable[[Result[Outcome, Failure]], None]


class Phase(Enum):
    """Progress of a key in this process.

    ``CLAIMING``: attempts run. ``HOLDING``: the right was won, the result is
    unknown. ``SETTLED``: a result is known.
    """

    CLAIMING = "claiming"
    HOLDING = "holding"
    SETTLED = "settled"


class Waiter(NamedTuple):
    """A later request that waits for the result of an earlier one with its key.

    Attributes:
        notify: Called with the result.
        timer: Ends the wait.
    """

    notify: ClaimCallback
    timer: Subscription


class KeyState:
    """Claim, result and waiting requests of one key.

    Args:
        key: The key's 16 bytes.
        notify: Called with the result of the claim.
        deadline_s: When the claim fails, in seconds of the monotonic clock.

    Attributes:
        phase: Progress of the key.
        attempt: The latest attempt, if there was one.
        attempt_count: Number of attempts so far, also those that found no
            witness sets.
        first_contended_s: When a witness first reported another attempt, in seconds
            of the monotonic clock; None if none did.
        outcome: The result, once it is known.
        waiters: Later requests with the key.
        timers: Timers of the claim.
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
        """Whether an attempt is the latest one and was not abandoned."""
        if self.attempt is None or self.attempt.claim_id != claim_id:
            return False
        return self.phase is not Phase.CLAIMING or not self.attempt.closed

    def cancel_timers(self) -> None:
        """Cancel all timers of the claim."""
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
