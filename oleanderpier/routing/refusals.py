"""What a host does after a backend server has refused a request.

A table from the reason of the refusal to the shortest time for which the server gets
no requests of this host; the server may ask for a longer one. The request itself never
goes to that server again. Whether it goes to another one is decided in ``retries``.

It answers these load patterns: overload, in which servers ask for time, and crashes,
after which another server answers at the address of the one that is still registered.
"""

import random
from enum import Enum

__all__ = ["Refusal", "compute_wait_s", "spread_return_s"]

# A registration expires within three heartbeat intervals after a crash; then nothing is
# sent there in any case.
MISDIRECTED_WAIT_S = 2.0
# Part of a wait that is added at random, so that not all return at one moment.
RETURN_SPREAD_RATIO = 0.25
MAX_RETURN_SPREAD_S = 1.0


class Refusal(Enum):
    """Why a server did not run a request.

    Attributes:
        BUSY: It has no room, or the deadline passed while the request waited.
        RATE_LIMITED: It limits the rate of requests.
        MISDIRECTED: Another server is at this address now.
        OTHER: It gave another reason or none.
    """

    BUSY = "busy"
    RATE_LIMITED = "rate_limited"
    MISDIRECTED = "misdirected"
    OTHER = "other"


_MIN_WAITS_S = {
    Refusal.BUSY: 0.0,
    Refusal.RATE_LIMITED: 0.0,
    Refusal.MISDIRECTED: MISDIRECTED_WAIT_S,
    Refusal.OTHER: 0.0,
}


def compute_wait_s(
    refusal: Refusal | None, asked_s: float | None, rng: random.Random
) -> float:
    """Return for how long a server gets no requests of this host, in seconds.

    Args:
        refusal: Why it refused a request; None if it did not.
        asked_s: The time that it asked for, None if it asked for none.
        rng: The source of randomness.
    """
    wait_s = max(_MIN_WAITS_S.get(refusal, 0.0), asked_s or 0.0)
    return spread_return_s(wait_s, rng) if asked_s else wait_s


def spread_return_s(wait_s: float, rng: random.Random) -> float:
    """Return a wait with a random part added."""
    spread_s = min(MAX_RETURN_SPREAD_S, RETURN_SPREAD_RATIO * wait_s)
    return wait_s + rng.uniform(0.0, spread_s)
