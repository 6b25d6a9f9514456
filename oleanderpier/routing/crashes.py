"""The crashes of backend servers, and the requests that may have caused them.

A suspect is described by its keys: those of the parts of its prompt, and one of the
request as a whole. A request is a suspect of a crash if its response was not complete;
the parts of its prompt are if its server had not yet sent enough of the response to
show that it can read them. All times are arguments, in seconds on the monotonic clock.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from oleanderpier.utils import hash_text

__all__ = [
    "REQUEST_KEY_PREFIX",
    "Crash",
    "CrashLog",
    "SuspectKeys",
    "is_request_key",
    "list_causes",
    "make_resend_mark",
]

# The keys of a request: of the parts of its prompt, and of the request as a whole.
SuspectKeys = tuple[str, ...]
# Begins the key of a whole request. Ids of prompt parts have no colon.
REQUEST_KEY_PREFIX = "request:"
# Begins the mark of a request that was sent again after a server crashed on it.
RESEND_MARK_PREFIX = "resend:"

CRASH_KEPT_S = 600.0
MAX_CRASHES = 256
MAX_SUSPECTS = 64
# Crashes within this time of each other have one cause, such as a failed machine.
SIMULTANEOUS_S = 0.1
# Reports of one crash are no further apart. A server may crash again before the hosts
# know that it has started again.
SAME_CRASH_S = 2.0


class Crash(NamedTuple):
    """The end of a server's run.

    Attributes:
        identity: The server's id.
        born_ms: The start of the run, as in ``ServerEntry``.
        at_s: When it ended.
        suspects: The keys of the requests that may have caused it, over all hosts.
        keys: The keys of all suspects.
    """

    identity: str
    born_ms: int
    at_s: float
    suspects: frozenset[SuspectKeys]
    keys: frozenset[str]


def is_request_key(key: str) -> bool:
    """Return whether a key stands for a whole request, not for a part of a prompt."""
    return key.startswith(REQUEST_KEY_PREFIX)


def make_resend_mark(request_key: str) -> str:
    """Return the mark of a request that is sent again after a crash on it.

    It goes into the keys of a suspect like a further key, so that hosts of earlier
    versions pass it on.
    """
    return RESEND_MARK_PREFIX + request_key.removeprefix(REQUEST_KEY_PREFIX)


def list_causes(keys: Iterable[str]) -> list[str]:
    """Return those of several keys that may cause a crash, so without marks."""
    return [key for key in keys if not key.startswith(RESEND_MARK_PREFIX)]


class CrashLog:
    """The latest crashes.

    Examples:
        >>> log = CrashLog()
        >>> for number in range(3):
        ...     crash = log.record_crash(f"s{number}", 1, 5.0 * number, [("a", "b")])
        >>> log.count_crashes("b", since_s=4.0, causes=())
        2
    """

    def __init__(self) -> None:
        self._crashes: list[Crash] = []

    def record_crash(
        self, identity: str, born_ms: int, at_s: float, suspects: Iterable[SuspectKeys]
    ) -> Crash:
        """Record suspects of a crash, and return what is known of it.

        Reports of several hosts on one crash are merged.
        """
        known = next(
            (
                crash
                for crash in self._crashes
                if crash.identity == identity and abs(at_s - crash.at_s) < SAME_CRASH_S
            ),
            Crash(identity, born_ms, at_s, frozenset(), frozenset()),
        )
        merged = known.suspects | set(suspects)
        if len(merged) > MAX_SUSPECTS:
            # Others for each crash, but the same ones at all hosts.
            order = sorted(merged, key=lambda each: hash_text(f"{identity} {each}"))
            merged = set(order[:MAX_SUSPECTS])
        crash = known._replace(
            suspects=frozenset(merged),
            keys=frozenset(key for suspect in merged for key in suspect),
        )
        others = [each for each in self._crashes if each is not known]
        self._crashes = [
            each
            for each in [*others, crash][-MAX_CRASHES:]
            if each.at_s > at_s - CRASH_KEPT_S
        ]
        return crash

    def count_crashes(self, key: str, since_s: float, causes: Collection[str]) -> int:
        """Return how often servers have crashed on requests with a key.

        Simultaneous crashes count once, but not those on a request that was sent again
        after the earlier one.

        Args:
            key: The key.
            since_s: Earlier crashes do not count.
            causes: Keys that are known to crash servers. A crash with such a suspect
                says nothing about others.
        """
        crashes = sorted(
            (crash.at_s, make_resend_mark(key) in crash.keys)
            for crash in self._crashes
            if crash.at_s > since_s
            and key in crash.keys
            and (key in causes or not _is_explained(crash, key, causes))
        )
        count, last_s = 0, float("-inf")
        for at_s, is_resent in crashes:
            if is_resent or at_s - last_s >= SIMULTANEOUS_S:
                count, last_s = count + 1, at_s
        return count

    def list_crashes(self) -> list[Crash]:
        """Return the known crashes, in the order of their last report."""
        return list(self._crashes)


def _is_explained(crash: Crash, key: str, causes: Collection[str]) -> bool:
    """Return whether a crash has a known cause that is not a request with this key.

    A request that crashed servers explains a crash only for the others: its prompt part
    may be the cause, which shows when another request with the part crashes a server.
    """
    if crash.keys.isdisjoint(causes):
        return False
    return any(
        not (key in suspect and all(map(is_request_key, found)))
        for suspect in crash.suspects
        if (found := [each for each in suspect if each in causes])
    )
