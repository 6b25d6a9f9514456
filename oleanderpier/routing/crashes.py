"""The crashes of backend servers, and the prompts that may have caused them.

A request is a suspect of a crash if its server had not yet sent enough of the response
to show that it can answer the request. All times are arguments, in seconds on the
monotonic clock.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from oleanderpier.utils import hash_text

__all__ = ["REQUEST_KEY_PREFIX", "Crash", "CrashLog", "PromptKeys"]

# The keys of the parts of a prompt.
PromptKeys = tuple[str, ...]
# Begins the key of a whole request. Ids of prompt parts have no colon.
REQUEST_KEY_PREFIX = "request:"

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
        suspects: The prompts of the requests that may have caused it, over all hosts.
        parts: The parts of all suspects.
    """

    identity: str
    born_ms: int
    at_s: float
    suspects: frozenset[PromptKeys]
    parts: frozenset[str]


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
        self, identity: str, born_ms: int, at_s: float, suspects: Iterable[PromptKeys]
    ) -> Crash:
        """Record suspects of a crash, and return what is known of it.

        Reports of several hosts on one crash are merged.
        """
        known = next(
            (
                crash
                for crash in self._crashes
                if (crash.identity, crash.born_ms) == (identity, born_ms)
                and abs(at_s - crash.at_s) < SAME_CRASH_S
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
            parts=frozenset(part for prompt in merged for part in prompt),
        )
        others = [each for each in self._crashes if each is not known]
        self._crashes = [
            each
            for each in [*others, crash][-MAX_CRASHES:]
            if each.at_s > at_s - CRASH_KEPT_S
        ]
        return crash

    def count_crashes(self, part: str, since_s: float, causes: Collection[str]) -> int:
        """Return how often servers have crashed on requests with a part.

        Args:
            part: The part of a prompt.
            since_s: Earlier crashes do not count.
            causes: Parts that are known to crash servers. A crash with such a suspect
                says nothing about others.
        """
        times_s = sorted(
            crash.at_s
            for crash in self._crashes
            if crash.at_s > since_s
            and part in crash.parts
            and (part in causes or crash.parts.isdisjoint(causes))
        )
        count, last_s = 0, float("-inf")
        for at_s in times_s:
            if at_s - last_s >= SIMULTANEOUS_S:
                count, last_s = count + 1, at_s
        return count

    def list_crashes(self) -> list[Crash]:
        """Return the known crashes, in the order of their last report."""
        return list(self._crashes)
