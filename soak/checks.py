"""The promises, judged by what callers and servers saw."""

import re
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from soak.evidence import Attempt, Evidence, Happened
from soak.schedule import FaultKind

__all__ = ["CHAT_EVENTS", "Finding", "find_breaches"]

# The users' bounds, in seconds.
DRAIN_S = 2.0
APPLY_S = 2.0
STRETCH_S = 5.0
CONTACT_S = 3.0
RECOVERY_S = 12.0
GRACE_S = 8.0
HELD_S = 0.5
# The routes' time-out in the stand-in configuration.
TIMEOUT_S = 10.0
# A connection is open, and a request on its way, for up to this long.
FLIGHT_S = 0.2
CHAT_EVENTS = 8
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

_STORE = frozenset(kind for kind in FaultKind if kind.value.startswith("store"))
_SERVER = frozenset(kind for kind in FaultKind if kind.value.startswith("server"))
_KILLS = frozenset({FaultKind.HOST_KILLED, FaultKind.ALL_KILLED})
_STOPS = _KILLS | {FaultKind.HOST_PAUSED}


class Finding(NamedTuple):
    """A promise that was broken.

    Attributes:
        promise: Which one.
        text: What was seen.
    """

    promise: str
    text: str


def find_breaches(evidence: Evidence) -> list[Finding]:
    """Return every promise that was broken, none in a sound run."""
    return [finding for check in _CHECKS for finding in check(evidence)]


def _check_once(evidence: Evidence) -> Iterator[Finding]:
    """A request that may not be repeated runs at most once."""
    counts = Counter(run.identity for run in evidence.runs)
    for attempt in evidence.attempts:
        if attempt.kind == "payout" and counts[attempt.identity] > 1:
            text = f"{attempt.identity} ran {counts[attempt.identity]} times"
            yield Finding("at_most_once", text)


def _check_not_run(evidence: Evidence) -> Iterator[Finding]:
    """A refusal that says "not run" is true for ever."""
    ran = {run.identity for run in evidence.runs}
    for attempt in evidence.attempts:
        if (
            attempt.kind == "payout"
            and attempt.status in NOT_RUN_STATUSES
            and attempt.identity in ran
        ):
            text = f"{attempt.identity} got {attempt.status} and ran"
            yield Finding("not_run", text)


def _check_whole(evidence: Evidence) -> Iterator[Finding]:
    """An answer that looks whole is the whole answer to its own request."""
    for attempt in evidence.attempts:
        if attempt.status == 200 and attempt.whole and not _is_whole(attempt):
            text = f"{attempt.identity} got {attempt.body[:80]!r}"
            yield Finding("whole_answer", text)


def _is_whole(attempt: Attempt) -> bool:
    if attempt.kind != "chat":
        return attempt.body.endswith(f"ran {attempt.identity}")
    numbers = re.findall(r"(?m)^id: (\d+)$", attempt.body)
    return numbers == [str(n) for n in range(1, CHAT_EVENTS + 1)]


def _check_leaves(evidence: Evidence) -> Iterator[Finding]:
    """A leaving server gets nothing new once the hosts have to know."""
    left_s = {leave.name: leave.at_s for leave in evidence.leaves}
    for run in evidence.runs:
        at_s = left_s.get(run.server)
        if at_s is None or run.at_s <= at_s + DRAIN_S + FLIGHT_S:
            continue
        if not _overlaps(evidence, _STORE | _STOPS, at_s - CONTACT_S, run.at_s):
            text = f"{run.identity} came to {run.server} {run.at_s - at_s:.2f} s later"
            yield Finding("drained_server", text)


def _check_revoked(evidence: Evidence) -> Iterator[Finding]:
    """A credential that was taken away is refused, and stays so."""
    revoked_s = {leave.name: leave.at_s for leave in evidence.revoked}
    for attempt in evidence.attempts:
        at_s = revoked_s.get(attempt.key)
        if at_s is None or attempt.status != 200:
            continue
        late_s = attempt.sent_s - at_s
        disturbed = _overlaps(
            evidence, _STORE | _STOPS, at_s - CONTACT_S, attempt.sent_s
        )
        if late_s > APPLY_S + STRETCH_S * disturbed:
            text = f"{attempt.identity} was let in {late_s:.2f} s later"
            yield Finding("revoked_key", text)


def _check_shutdowns(evidence: Evidence) -> Iterator[Finding]:
    """A graceful shutdown cuts nothing that was sent in time."""
    for fault in evidence.faults:
        if fault.kind is not FaultKind.HOST_TERMINATED:
            continue
        for attempt in evidence.attempts:
            if (
                attempt.host == fault.host
                and not attempt.whole
                and attempt.ended_s > fault.began_s
                and attempt.sent_s < fault.began_s + FLIGHT_S
                and not _is_excused(evidence, attempt, fault)
            ):
                text = f"{attempt.identity} was cut by the end of host {fault.host}"
                yield Finding("graceful_shutdown", text)


def _is_excused(evidence: Evidence, attempt: Attempt, fault: Happened) -> bool:
    """Return whether something else may have cut a request."""
    since_s, until_s = attempt.sent_s, attempt.ended_s
    return _overlaps(evidence, _SERVER, since_s - CONTACT_S, until_s) or _stops_host(
        evidence, attempt.host, since_s - CONTACT_S, until_s
    )


def _check_answers(evidence: Evidence) -> Iterator[Finding]:
    """Every request has its final answer at the route's time-out."""
    for attempt in evidence.attempts:
        took_s = attempt.ended_s - attempt.sent_s
        if took_s > TIMEOUT_S + HELD_S and not _stops_host(
            evidence, attempt.host, attempt.sent_s, attempt.ended_s
        ):
            text = f"{attempt.identity} was answered after {took_s:.2f} s"
            yield Finding("final_answer", text)


def _check_recovery(evidence: Evidence) -> Iterator[Finding]:
    """After the last fault everything is served again."""
    since_s = evidence.calm_s + RECOVERY_S
    late = [attempt for attempt in evidence.attempts if attempt.sent_s > since_s]
    failed = [attempt for attempt in late if attempt.status != 200]
    current = [a for a in failed if a.key not in {r.name for r in evidence.revoked}]
    if not late:
        yield Finding("recovery", "no request was sent after the recovery")
    for attempt in current:
        yield Finding("recovery", f"{attempt.identity} got {attempt.status}")


def _check_exits(evidence: Evidence) -> Iterator[Finding]:
    """A process ends only when it is told to, and then well."""
    for host, status, at_s in evidence.exits:
        killed = _stops_host(evidence, host, at_s - GRACE_S, at_s, _KILLS)
        if status != 0 and not killed:
            yield Finding("exit", f"host {host} ended with {status} at {at_s:.2f} s")


def _overlaps(
    evidence: Evidence, kinds: frozenset[FaultKind], since_s: float, until_s: float
) -> bool:
    return any(
        fault.kind in kinds and fault.began_s <= until_s and fault.ended_s >= since_s
        for fault in evidence.faults
    )


def _stops_host(
    evidence: Evidence,
    host: int,
    since_s: float,
    until_s: float,
    kinds: frozenset[FaultKind] = _STOPS,
) -> bool:
    return any(
        fault.kind in kinds
        and fault.host in (host, -1)
        and fault.began_s <= until_s
        and fault.ended_s >= since_s
        for fault in evidence.faults
    )


_CHECKS = (
    _check_once,
    _check_not_run,
    _check_whole,
    _check_leaves,
    _check_revoked,
    _check_shutdowns,
    _check_answers,
    _check_recovery,
    _check_exits,
)
