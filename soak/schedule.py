"""Which faults come when: the same seed gives the same schedule."""

import random
from enum import Enum
from typing import NamedTuple

__all__ = ["Fault", "FaultKind", "make_schedule"]

# Between two faults on average, so that most of them overlap.
MEAN_GAP_S = 0.5
LONGEST_S = 3.0


class FaultKind(Enum):
    """What happens from outside the processes."""

    HOST_KILLED = "host_killed"
    ALL_KILLED = "all_killed"
    HOST_PAUSED = "host_paused"
    HOST_TERMINATED = "host_terminated"
    HOST_RELOADED = "host_reloaded"
    STORE_REFUSES = "store_refuses"
    STORE_CUT_OFF = "store_cut_off"
    STORE_DEAF = "store_deaf"
    STORE_RESET = "store_reset"
    STORE_SLOW = "store_slow"
    SERVER_LEAVES = "server_leaves"
    SERVER_CRASHES = "server_crashes"
    SERVER_SILENT = "server_silent"
    SERVER_DEAF = "server_deaf"
    SERVER_RESET = "server_reset"
    SERVER_SLOW = "server_slow"
    SERVER_FAILS = "server_fails"
    KEY_REVOKED = "key_revoked"
    CONFIGURATION_STORM = "configuration_storm"


# What is rarer than the others: the loss of all hosts.
_WEIGHTS = {FaultKind.ALL_KILLED: 0.3}


class Fault(NamedTuple):
    """One fault.

    Attributes:
        at_s: When it begins, from the start of the traffic.
        kind: What happens.
        target: Chooses the host or server that it happens to.
        for_s: How long it lasts, where it does.
    """

    at_s: float
    kind: FaultKind
    target: int
    for_s: float


def make_schedule(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a run, in order.

    Args:
        seed: Chooses them.
        length_s: When the last one has ended.

    Examples:
        >>> make_schedule(7, 10.0) == make_schedule(7, 10.0)
        True
    """
    rng = random.Random(seed)
    kinds = list(FaultKind)
    weights = [_WEIGHTS.get(kind, 1.0) for kind in kinds]
    faults = []
    at_s = rng.uniform(0.2, MEAN_GAP_S)
    while at_s < length_s - LONGEST_S:
        kind = rng.choices(kinds, weights)[0]
        for_s = rng.uniform(0.3, LONGEST_S)
        faults.append(Fault(at_s, kind, rng.randrange(1 << 16), for_s))
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return faults
