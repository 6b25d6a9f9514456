"""Random schedules of faults; the same seed gives the same schedule."""

import random
from enum import Enum
from itertools import chain
from typing import NamedTuple

__all__ = [
    "ADDED_KINDS",
    "PLANNED_KINDS",
    "Fault",
    "FaultKind",
    "make_planned_schedule",
    "make_schedule",
]

# Mean time between the starts of two faults, short enough that most faults overlap.
MEAN_FAULT_INTERVAL_S = 0.5
MAX_DURATION_S = 3.0


class FaultKind(Enum):
    """Kinds of faults, which are injected from outside the processes.

    ``STORE_CUT_OFF`` and ``SERVER_SILENT`` hold back the data of both directions.
    ``STORE_DEAF`` and ``SERVER_DEAF`` hold back only responses, while requests
    still arrive. ``STORE_RETURNS`` lets the store return from a copy that is as old as
    the fault lasts. ``HOST_SLOW`` leaves a process an eighth of its processor time.
    ``HOST_KILLED_AFTER_CHANGE`` kills it right after a change of the configuration.
    Of the kinds ``SERVER_PARTLY_*`` a part of the requests at one server is affected,
    while it counts as healthy: it answers with an error, never, with a refusal, with
    bytes after the response, or without a length, so that the response ends with its
    connection, whole or not. A server that ``SAYS_LEAVING`` does so in its responses
    before it is listed as leaving; one that ``ASKS_FOR_TIME`` executes nothing. With
    ``PROMPT_CRASHES_SERVERS`` further requests with one prompt part in common crash
    each server that begins to answer; it starts again after some time. With
    ``REQUEST_CRASHES_SERVERS`` one request does so, which comes again and again. A
    server that ``NAMES_LIMIT`` executes all that it gets. ``STOPS_IN_SERIES``,
    ``ALL_STOPPED``, ``RELOADS_DURING_DRAIN``, ``STOP_WITH_PAUSES`` and
    ``STOP_DURING_CHANGES`` are planned work that consists of faults of other kinds, in
    series or overlapping.
    """

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
    STORE_RETURNS = "store_returns"
    SERVER_LEAVES = "server_leaves"
    SERVER_CRASHES = "server_crashes"
    SERVER_SILENT = "server_silent"
    SERVER_DEAF = "server_deaf"
    SERVER_RESET = "server_reset"
    SERVER_SLOW = "server_slow"
    SERVER_FAILS = "server_fails"
    HOST_SLOW = "host_slow"
    HOST_KILLED_AFTER_CHANGE = "host_killed_after_change"
    SERVER_PARTLY_FAILS = "server_partly_fails"
    SERVER_PARTLY_MUTE = "server_partly_mute"
    SERVER_PARTLY_REFUSES = "server_partly_refuses"
    SERVER_PARTLY_SENDS_EXTRA = "server_partly_sends_extra"
    SERVER_PARTLY_SENDS_NO_LENGTH = "server_partly_sends_no_length"
    SERVER_SAYS_LEAVING = "server_says_leaving"
    SERVER_ASKS_FOR_TIME = "server_asks_for_time"
    PROMPT_CRASHES_SERVERS = "prompt_crashes_servers"
    REQUEST_CRASHES_SERVERS = "request_crashes_servers"
    SERVER_NAMES_LIMIT = "server_names_limit"
    KEY_REVOKED = "key_revoked"
    CONFIGURATION_STORM = "configuration_storm"
    STOPS_IN_SERIES = "stops_in_series"
    ALL_STOPPED = "all_stopped"
    RELOADS_DURING_DRAIN = "reloads_during_drain"
    STOP_WITH_PAUSES = "stop_with_pauses"
    STOP_DURING_CHANGES = "stop_during_changes"


# Relative frequencies other than 1; the loss of all hosts is rarer than the rest.
_WEIGHTS = {FaultKind.ALL_KILLED: 0.3}
MAX_STORE_RETURN_COUNT = 2
# Kinds that were added later are drawn apart, each group by a random generator of its
# own name, so that the other faults of a seed are the same as before.
_ADDED_GROUPS = {
    "added kinds": (
        FaultKind.HOST_SLOW,
        FaultKind.HOST_KILLED_AFTER_CHANGE,
        FaultKind.SERVER_PARTLY_FAILS,
        FaultKind.SERVER_PARTLY_MUTE,
        FaultKind.SERVER_PARTLY_REFUSES,
        FaultKind.SERVER_PARTLY_SENDS_EXTRA,
    ),
    "no length": (FaultKind.SERVER_PARTLY_SENDS_NO_LENGTH,),
    "statements": (FaultKind.SERVER_SAYS_LEAVING, FaultKind.SERVER_ASKS_FOR_TIME),
    "crashing prompts": (FaultKind.PROMPT_CRASHES_SERVERS,),
    "crashing requests": (FaultKind.REQUEST_CRASHES_SERVERS,),
    "limits": (FaultKind.SERVER_NAMES_LIMIT,),
    "planned work": (
        FaultKind.STOPS_IN_SERIES,
        FaultKind.ALL_STOPPED,
        FaultKind.RELOADS_DURING_DRAIN,
        FaultKind.STOP_WITH_PAUSES,
        FaultKind.STOP_DURING_CHANGES,
    ),
}
ADDED_KINDS = tuple(chain.from_iterable(_ADDED_GROUPS.values()))
MAX_ADDED_COUNT = 5
_MAX_COUNTS = {
    "crashing prompts": 1,
    "crashing requests": 1,
    "limits": 3,
    "planned work": 3,
}
# What operators do on purpose; nobody may notice any of it.
PLANNED_KINDS = (
    FaultKind.HOST_TERMINATED,
    FaultKind.HOST_RELOADED,
    FaultKind.SERVER_LEAVES,
    FaultKind.SERVER_SAYS_LEAVING,
    FaultKind.CONFIGURATION_STORM,
    *_ADDED_GROUPS["planned work"],
)
MEAN_PLANNED_INTERVAL_S = 1.0


class Fault(NamedTuple):
    """A scheduled fault.

    Attributes:
        at_s: Start of the fault, in seconds since the start of the callers.
        kind: Kind of the fault.
        target: Random number that selects the affected host or server.
        for_s: Duration in seconds, for kinds that last.
    """

    at_s: float
    kind: FaultKind
    target: int
    for_s: float


def make_schedule(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a run, sorted by their start.

    Args:
        seed: Seed of the random generator.
        length_s: Time in seconds by which the last fault with a duration is over.

    Examples:
        >>> make_schedule(7, 10.0) == make_schedule(7, 10.0)
        True
    """
    rng = random.Random(seed)
    apart = {FaultKind.STORE_RETURNS, *ADDED_KINDS}
    kinds = [kind for kind in FaultKind if kind not in apart]
    weights = [_WEIGHTS.get(kind, 1.0) for kind in kinds]
    faults = []
    at_s = rng.uniform(0.2, MEAN_FAULT_INTERVAL_S)
    while at_s < length_s - MAX_DURATION_S:
        kind = rng.choices(kinds, weights)[0]
        for_s = rng.uniform(0.3, MAX_DURATION_S)
        faults.append(Fault(at_s, kind, rng.randrange(1 << 16), for_s))
        at_s += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    faults += _list_store_returns(seed, length_s)
    for name in _ADDED_GROUPS:
        faults += _list_added_faults(name, seed, length_s)
    return sorted(faults, key=lambda fault: fault.at_s)


def make_planned_schedule(seed: int, length_s: float) -> list[Fault]:
    """Return a run's schedule with nothing but planned work; see ``make_schedule``."""
    rng = random.Random(f"only planned work {seed}")
    faults = []
    at_s = rng.uniform(0.2, MEAN_PLANNED_INTERVAL_S)
    while at_s < length_s - MAX_DURATION_S:
        kind = rng.choice(PLANNED_KINDS)
        for_s = rng.uniform(0.3, MAX_DURATION_S)
        faults.append(Fault(at_s, kind, rng.randrange(1 << 16), for_s))
        at_s += rng.expovariate(1 / MEAN_PLANNED_INTERVAL_S)
    return faults


def _list_added_faults(name: str, seed: int, length_s: float) -> list[Fault]:
    """Return the faults of one group of kinds that were added later."""
    rng = random.Random(f"{name} {seed}")
    return [
        Fault(
            rng.uniform(0.2, length_s - MAX_DURATION_S),
            rng.choice(_ADDED_GROUPS[name]),
            rng.randrange(1 << 16),
            rng.uniform(0.3, MAX_DURATION_S),
        )
        for _ in range(rng.randint(0, _MAX_COUNTS.get(name, MAX_ADDED_COUNT)))
    ]


def _list_store_returns(seed: int, length_s: float) -> list[Fault]:
    """Return the returns of the store, drawn apart from the other faults.

    So the other faults of a seed are the same as before there were returns.
    """
    rng = random.Random(f"store returns {seed}")
    return [
        Fault(
            rng.uniform(0.2, length_s - MAX_DURATION_S),
            FaultKind.STORE_RETURNS,
            rng.randrange(1 << 16),
            rng.uniform(0.3, MAX_DURATION_S),
        )
        for _ in range(rng.randint(0, MAX_STORE_RETURN_COUNT))
    ]
