"""The crashes of backend servers, and the requests that may have caused them.

A suspect is described by its keys: those of the parts of its prompt, and one of the
request as a whole. A request is a suspect of a crash if its response was not complete;
the parts of its prompt are if its server had not yet sent enough of the response to
show that it can read them. All times are arguments, in seconds on the monotonic clock.
"""

from collections.abc import Collection, Iterable, Mapping
from itertools import accumulate, chain
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
# Upper bounds of the keys of the suspects, in one crash and in all.
MAX_CRASH_KEYS = 16_384
MAX_KEYS = 16 * MAX_CRASH_KEYS
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
        # The id and time of each crash that was not that of a failure domain.
        self._independent: set[tuple[str, float]] = set()

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
        kept = _limit_suspects(identity, known.suspects | set(suspects))
        crash = known._replace(
            suspects=kept, keys=frozenset(key for suspect in kept for key in suspect)
        )
        others = [each for each in self._crashes if each is not known]
        crashes = [
            each
            for each in [*others, crash][-MAX_CRASHES:]
            if each.at_s > at_s - CRASH_KEPT_S
        ]
        # The number of keys up to each crash, from the last one back.
        counts = accumulate(_count_keys(each.suspects) for each in reversed(crashes))
        kept_count = sum(count <= MAX_KEYS for count in counts)
        self._crashes = crashes[len(crashes) - kept_count :]
        self._independent &= {(each.identity, each.at_s) for each in self._crashes}
        return crash

    def list_simultaneous(self, crash: Crash) -> list[Crash]:
        """Return the crashes at about the time of one, including it."""
        return [
            each
            for each in self._crashes
            if abs(each.at_s - crash.at_s) < SIMULTANEOUS_S
        ]

    def mark_independent(self, crash: Crash) -> None:
        """Record that a crash was not that of a whole failure domain."""
        self._independent.add((crash.identity, crash.at_s))

    def is_independent(self, crash: Crash) -> bool:
        """Return whether ``mark_independent`` was called with a crash."""
        return (crash.identity, crash.at_s) in self._independent

    def list_repeated_keys(self, keys: Iterable[str], count: int) -> list[str]:
        """Return those of several keys that were in at least so many crashes."""
        crashes = self._crashes
        return [
            key for key in keys if sum(key in crash.keys for crash in crashes) >= count
        ]

    def count_crashes(self, key: str, since_s: float, causes: Collection[str]) -> int:
        """Return how often servers have crashed on requests with a key.

        Args:
            key: The key.
            since_s: Earlier crashes do not count.
            causes: See ``count_each``.
        """
        return self.count_each({key: since_s}, causes)[key]

    def count_each(
        self, since_s: Mapping[str, float], causes: Collection[str]
    ) -> dict[str, int]:
        """Return how often servers have crashed on requests with each of some keys.

        Simultaneous crashes count once, as those of a failure domain, but not

        - those on a request that was sent again after the earlier one,
        - those that the key explains, if no request with it was ever answered; see
          ``_list_explaining_keys``.

        Args:
            since_s: For each key the time before which crashes do not count.
            causes: Keys that are known to crash servers. A crash with such a suspect
                says nothing about others.
        """
        found: dict[str, list[tuple[float, bool]]] = {key: [] for key in since_s}
        for crash in self._crashes:
            explanations = _list_explanations(crash, causes)
            explaining: frozenset[str] | None = None
            for key, earliest_s in since_s.items():
                if (
                    crash.at_s > earliest_s
                    and key in crash.keys
                    and (key in causes or not _is_explained(explanations, key))
                ):
                    if explaining is None:
                        explaining = self._list_explaining_keys(crash)
                    is_answered = earliest_s > float("-inf")
                    counts_apart = make_resend_mark(key) in crash.keys or (
                        key in explaining and not is_answered
                    )
                    found[key].append((crash.at_s, counts_apart))
        return {key: _count_apart(sorted(crashes)) for key, crashes in found.items()}

    def _list_explaining_keys(self, crash: Crash) -> frozenset[str]:
        """Return the keys that may have caused each simultaneous crash by itself.

        Each of these crashes has a suspect with such a key, and they are not the end of
        a failure domain: it goes on, or several requests with the key had crashed
        servers before and were sent again.
        """
        simultaneous = self.list_simultaneous(crash)
        common = frozenset.intersection(*(each.keys for each in simultaneous))
        if self.is_independent(crash) or not common:
            return common
        requests: dict[str, set[str]] = {key: set() for key in common}
        for suspect in chain.from_iterable(each.suspects for each in simultaneous):
            request_keys = list(filter(is_request_key, suspect))
            for key in common.intersection(suspect):
                requests[key].update(request_keys)
        return frozenset(
            key
            for suspect in crash.suspects
            if len(list_causes(suspect)) < len(suspect)
            for key in common.intersection(suspect)
            if len(requests[key]) > 1
        )

    def list_common_requests(self, keys: Collection[str]) -> dict[str, frozenset[str]]:
        """Return the keys of the request that all suspects with a prompt part have.

        Args:
            keys: The parts; other keys have none.
        """
        common: dict[str, frozenset[str] | None] = dict.fromkeys(keys)
        for crash in self._crashes:
            if crash.keys.isdisjoint(common):
                continue
            for suspect in crash.suspects:
                parts = [each for each in suspect if each in common]
                requests = frozenset(filter(is_request_key, suspect)) if parts else None
                for part in parts:
                    known = common[part]
                    common[part] = requests if known is None else known & requests
        return {
            key: frozenset() if is_request_key(key) or found is None else found
            for key, found in common.items()
        }

    def has_several_prompts(self, key: str) -> bool:
        """Return whether requests with a key differ in their prompts."""
        if not is_request_key(key):
            return False
        prompts = {
            tuple(each for each in list_causes(suspect) if not is_request_key(each))
            for crash in self._crashes
            if key in crash.keys
            for suspect in crash.suspects
            if key in suspect
        }
        # The parts of a prompt that the server has read are left out of a suspect.
        return len(prompts - {()}) > 1

    def count_moments(self, key: str) -> int:
        """Return how often servers crashed on requests with a key, at once or not.

        Simultaneous crashes count once but for those on a request that was sent again.
        """
        mark = make_resend_mark(key)
        return _count_apart(
            sorted(
                (crash.at_s, mark in crash.keys)
                for crash in self._crashes
                if key in crash.keys
            )
        )

    def has_crash_before(self, key: str, at_s: float) -> bool:
        """Return whether a server crashed on a request with a key before some time."""
        return any(crash.at_s < at_s and key in crash.keys for crash in self._crashes)

    def list_crashes(self) -> list[Crash]:
        """Return the known crashes, in the order of their last report."""
        return list(self._crashes)


def _count_keys(suspects: Iterable[SuspectKeys]) -> int:
    return sum(map(len, suspects))


def _limit_suspects(
    identity: str, suspects: Collection[SuspectKeys]
) -> frozenset[SuspectKeys]:
    """Return as many suspects of a server's crash as are kept.

    Others for each server, but the same ones at all hosts, in whatever order their
    reports arrive.
    """
    if len(suspects) <= MAX_SUSPECTS and _count_keys(suspects) <= MAX_CRASH_KEYS:
        return frozenset(suspects)
    order = sorted(suspects, key=lambda each: hash_text(f"{identity} {each}"))
    counts = accumulate(map(len, order))
    kept_count = sum(count <= MAX_CRASH_KEYS for count in counts)
    return frozenset(order[: max(1, min(MAX_SUSPECTS, kept_count))])


def _count_apart(crashes: list[tuple[float, bool]]) -> int:
    """Return how many crashes there are, with simultaneous ones as one.

    Args:
        crashes: The time of each crash, and whether it counts though others are
            simultaneous; in the order of time.
    """
    count, last_s = 0, float("-inf")
    for at_s, counts_apart in crashes:
        if counts_apart or at_s - last_s >= SIMULTANEOUS_S:
            count, last_s = count + 1, at_s
    return count


def _list_explanations(
    crash: Crash, causes: Collection[str]
) -> list[tuple[SuspectKeys, bool]]:
    """Return the suspects that have known causes, and whether these are requests."""
    if crash.keys.isdisjoint(causes):
        return []
    return [
        (suspect, all(map(is_request_key, found)))
        for suspect in crash.suspects
        if (found := [each for each in suspect if each in causes])
    ]


def _is_explained(explanations: list[tuple[SuspectKeys, bool]], key: str) -> bool:
    """Return whether a crash has a known cause that is not a request with this key.

    A request that crashed servers explains a crash only for the others: its prompt part
    may be the cause, which shows when another request with the part crashes a server.
    """
    return any(
        not (are_requests and key in suspect) for suspect, are_requests in explanations
    )
