"""Finds what crashes servers, and decides which requests to refuse.

The module answers two load patterns. One request, with the same path, caller and
body, comes again and again at any host and crashes each server that runs it; it may
have been answered for long before. Or requests with one part of their prompts in
common, which are otherwise all different, crash each server that begins to answer one
of them. The requests beside them share paths, callers and other parts.

A request has a key as a whole, and one for each part of its prompt. A key is taken for
the cause when servers have crashed often enough on requests with it, and no whole
response to a request with it has been received since the first of these crashes. A
request as a whole goes before the parts of its prompt, unless others with the part
crashed servers too. Requests with such a key are refused until its quarantine ends;
then one host tries one of them. All times are arguments, in seconds on the monotonic
clock.
"""

from collections.abc import Callable, Collection, Iterable
from itertools import islice
from typing import NamedTuple

from oleanderpier.routing.crashes import (
    SIMULTANEOUS_S,
    Crash,
    CrashLog,
    SuspectKeys,
    is_request_key,
    list_causes,
)

__all__ = ["MIN_ANSWERS", "CrashCauses", "Quarantine", "Verdict"]

# A host that has seen fewer answers does not know which parts are common.
MIN_ANSWERS = 10
# A key that was in this many crashes is quarantined.
QUARANTINE_CRASHES = 3
# With a key that was in this many, a request is not sent to another server.
NO_RETRY_CRASHES = 2
# Both are multiplied by this for a prompt part that was answered before the crashes.
ANSWERED_FACTOR = 2
FIRST_TERM_S = 60.0
# The same for a prompt part that was answered before, since it may be blamed by chance.
ANSWERED_TERM_S = 2.0
# Longer for a request as a whole, also after such a short term: a refusal concerns one
# caller, but a trial that crashes a server all requests there.
REQUEST_TERM_S = 240.0
TERM_FACTOR = 4.0
MAX_TERM_S = 960.0
# One of several keys that were in the same crashes is tried apart after this time.
APART_TERM_S = 1.0
# Crashes are looked at again for this long: no server starts again sooner.
REVIEW_S = 1.0
# Time in which no other request with the key is tried.
TRIAL_S = 5.0
# A quarantine that ended this long ago without a trial is removed.
UNUSED_KEPT_S = 600.0
MAX_QUARANTINES = 256
# Hosts send each other the quarantines, each with its group, every second.
MAX_GROUP = 16
MAX_SOUND_KEYS = 65_536


class Quarantine(NamedTuple):
    """Requests with a key are refused.

    Attributes:
        key: The key.
        since_s: When it began, or when a server last crashed on the key.
        term_s: For how long after that no request with the key is tried.
        group: Keys that were in the same crashes, including this one; not all of many.
        trial_until_s: Until when a trial may be in flight.
    """

    key: str
    since_s: float
    term_s: float
    group: frozenset[str]
    trial_until_s: float = float("-inf")


class Verdict(NamedTuple):
    """Whether a request is refused for one of its keys.

    Attributes:
        key: The key; empty if the request may be sent.
        wait_s: After how long the caller may come back.
        trial: Whether the request tests whether its key still crashes servers.
    """

    key: str = ""
    wait_s: float = 0.0
    trial: bool = False


class CrashCauses:
    """What is known of the requests and the prompt parts that crash servers.

    Args:
        min_answers: Answers to requests with prompts from which on a part that was in
            none of them is refused for the whole first term.
        has_survivor: Returns whether the failure domain of a crashed server goes on;
            called with its id, the ids of all servers that crashed at that time, and
            the time from which data of another server count.

    Examples:
        >>> poison = CrashCauses()
        >>> poison.record_sound(("all",), 1.0)
        []
        >>> for at_s in (2.0, 3.0, 4.0):
        ...     found = poison.record_crash(f"s{at_s}", 1, at_s, [("all", "x")])
        >>> [quarantine.key for quarantine in found]
        ['x']
        >>> poison.check(("all", "x"), 5.0, is_tester=lambda key: True).key
        'x'
    """

    def __init__(
        self,
        min_answers: int = 0,
        has_survivor: Callable[
            [str, Collection[str], float], bool
        ] = lambda identity, crashed, at_s: False,
    ) -> None:
        self._missing_answers = min_answers
        self._has_survivor = has_survivor
        self._log = CrashLog()
        self._quarantines: dict[str, Quarantine] = {}
        # When a request with a key was last answered.
        self._sound_s: dict[str, float] = {}
        # Keys that were in a crash, and in no response since.
        self._suspected: set[str] = set()
        # Keys that requests with different prompts have in common.
        self._shared: set[str] = set()

    def record_crash(
        self, identity: str, born_ms: int, at_s: float, suspects: Iterable[SuspectKeys]
    ) -> list[Quarantine]:
        """Record suspects of a crash, and return the quarantines that begin or go on.

        Args:
            identity: The server's id.
            born_ms: The start of the run that ended, as in ``ServerEntry``.
            at_s: When it ended.
            suspects: The keys of requests that may have caused it.
        """
        suspects = list(suspects)
        crash = self._log.record_crash(identity, born_ms, at_s, suspects)
        self._suspected.update(list_causes(crash.keys))
        reported = {key for suspect in suspects for key in suspect}
        self._shared.update(filter(self._log.has_several_prompts, reported))
        causes = sorted(crash.keys & self._quarantines.keys())
        found: frozenset[str] = frozenset()
        if all(self._is_uncertain(key, crash) for key in causes):
            found = self._find_causes(crash.keys, causes)
        if causes and found.issubset(causes):
            renewed = [self._renew(key, crash, len(causes) == 1) for key in causes]
            return [quarantine for quarantine in renewed if quarantine is not None]
        for key in causes:
            del self._quarantines[key]
        return self._begin_quarantines(found, at_s)

    def review_crashes(self, now_s: float) -> list[Quarantine]:
        """Look at the latest crashes again, and return the quarantines that begin.

        Whether the failure domain of servers that crashed at once goes on shows only
        afterwards.
        """
        recent = [
            crash
            for crash in self._log.list_crashes()
            if crash.at_s > now_s - REVIEW_S and not self._log.is_independent(crash)
        ]
        independent = [crash for crash in recent if self._is_independent(crash)]
        for crash in independent:
            self._log.mark_independent(crash)
        begun: list[Quarantine] = []
        for crash in independent:
            if crash.keys.isdisjoint(self._quarantines):
                begun += self._begin_quarantines(
                    self._find_causes(crash.keys, ()), crash.at_s
                )
        return begun

    def _is_independent(self, crash: Crash) -> bool:
        """Return whether a crash has others at its time, and was not their domain's."""
        simultaneous = {each.identity for each in self._log.list_simultaneous(crash)}
        return len(simultaneous) > 1 and self._has_survivor(
            crash.identity, simultaneous, crash.at_s + SIMULTANEOUS_S
        )

    def record_sound(self, keys: SuspectKeys, at_s: float) -> list[str]:
        """Record that a request was answered, and return the keys it cleared.

        These were under suspicion.
        """
        suspected = [key for key in keys if self.is_suspected(key)]
        for key in keys:
            if is_request_key(key) and key not in suspected:
                # Most requests are not repeated; they would displace the prompt parts.
                continue
            is_news = key not in self._sound_s
            earlier_s = self._sound_s.pop(key, at_s)
            if len(self._sound_s) >= MAX_SOUND_KEYS:
                self._drop_oldest_sound()
            self._sound_s[key] = max(earlier_s, at_s)
            if key in self._suspected and not self._log.count_crashes(key, at_s, ()):
                self._suspected.discard(key)
            quarantine = self._quarantines.get(key)
            if quarantine is None:
                continue
            if quarantine.since_s < at_s:
                del self._quarantines[key]
            elif is_news and not self._log.has_crash_before(key, at_s):
                self._review_quarantine(quarantine)
        return suspected

    def _review_quarantine(self, quarantine: Quarantine) -> None:
        """Shorten or end the quarantine of a part answered before its crashes."""
        key = quarantine.key
        if not self._reaches_limit(key, QUARANTINE_CRASHES):
            del self._quarantines[key]
        elif quarantine.term_s == FIRST_TERM_S:
            self._quarantines[key] = quarantine._replace(term_s=ANSWERED_TERM_S)

    def _drop_oldest_sound(self) -> None:
        # Several at once: a dictionary is searched for its first key.
        kept = islice(self._sound_s.items(), MAX_SOUND_KEYS // 8, None)
        self._sound_s = dict(kept)

    def record_answer(self, keys: SuspectKeys, at_s: float) -> list[str]:
        """Record that this host had a request answered; see ``record_sound``."""
        if self._missing_answers and not all(map(is_request_key, keys)):
            self._missing_answers -= 1
        return self.record_sound(keys, at_s)

    def receive_quarantine(self, quarantine: Quarantine) -> bool:
        """Apply another host's quarantine, and return whether it was new."""
        key = quarantine.key
        known = self._quarantines.get(key)
        if not list_causes([key]) or self._is_of_one_request(key):
            # Hosts of earlier versions do not tell requests as a whole.
            return False
        if self.find_answer(quarantine) is not None:
            return False
        if known is not None and quarantine.since_s <= known.since_s:
            return False
        is_doubtful = self._was_answered(key) or key in self._shared
        if is_doubtful and not self._reaches_limit(key, QUARANTINE_CRASHES):
            # The other host has not been up for as long, and knows less of the key.
            return False
        if known is not None:
            # The other host may not have seen enough answers for the whole term.
            term_s = max(known.term_s, quarantine.term_s)
            quarantine = quarantine._replace(term_s=term_s)
        self._set_quarantine(quarantine)
        return known is None

    def find_answer(self, quarantine: Quarantine) -> float | None:
        """Return when a request with the key of a quarantine was answered since."""
        answered_s = self._sound_s.get(quarantine.key, float("-inf"))
        return answered_s if answered_s >= quarantine.since_s else None

    def find_unknown_answer(self, quarantine: Quarantine) -> float | None:
        """Return when a prompt part was answered before another host refused it.

        None if the other host seems to know: the term is not that of a part that was
        never answered.
        """
        if quarantine.term_s != FIRST_TERM_S or not self._was_answered(quarantine.key):
            return None
        return self._sound_s[quarantine.key]

    def check(
        self, keys: SuspectKeys, now_s: float, is_tester: Callable[[str], bool]
    ) -> Verdict:
        """Return whether a request is refused.

        Args:
            keys: The keys of the request.
            now_s: The time.
            is_tester: Returns whether this host is the one that tries a key.
        """
        if not self._quarantines:
            return Verdict()
        found = [self._quarantines[key] for key in keys if key in self._quarantines]
        if not found:
            return Verdict()
        due_s = max(self._get_due_s(each, len(found) == 1) for each in found)
        key = found[0].key
        if now_s < due_s:
            return Verdict(key, due_s - now_s)
        if not is_tester(key):
            return Verdict(key, TRIAL_S)
        for each in found:
            self._quarantines[each.key] = each._replace(trial_until_s=now_s + TRIAL_S)
        return Verdict(trial=True)

    def is_watching(self) -> bool:
        """Return whether anything is suspected or refused.

        If not, the keys of requests need not be computed.
        """
        return bool(self._suspected or self._quarantines)

    def is_suspected(self, key: str) -> bool:
        """Return whether a key was in a crash, and in no whole response since."""
        return key in self._suspected or key in self._quarantines

    def may_retry(self, keys: SuspectKeys) -> bool:
        """Return whether a request may be sent to another server after a crash."""
        return not any(
            key in self._quarantines or self._reaches_limit(key, NO_RETRY_CRASHES)
            for key in keys
            if self.is_suspected(key)
        )

    def list_quarantines(self) -> list[Quarantine]:
        """Return all quarantines."""
        return list(self._quarantines.values())

    def list_crashes(self) -> list[Crash]:
        """Return the crashes that may still lead to a quarantine."""
        return self._log.list_crashes()

    def list_sound(self) -> list[tuple[str, float]]:
        """Return the keys in known crashes that were answered, and when last."""
        keys = {key for crash in self.list_crashes() for key in crash.keys}
        return [(key, at) for key in keys if (at := self._sound_s.get(key)) is not None]

    def remove_expired(self, now_s: float) -> None:
        """Remove the quarantines that have ended without a trial."""
        in_crashes = {key for crash in self.list_crashes() for key in crash.keys}
        self._suspected &= in_crashes
        self._shared &= in_crashes
        self._quarantines = {
            key: each
            for key, each in self._quarantines.items()
            if now_s < each.since_s + each.term_s + UNUSED_KEPT_S
        }

    def _is_uncertain(self, key: str, crash: Crash) -> bool:
        """Return whether a crash may have another cause than a quarantined key.

        Requests that many send are in flight at most servers that end. One may reach
        the limit before the report of another host that names the cause.
        """
        is_first = crash.at_s <= self._quarantines[key].since_s
        return key in self._shared or (is_first and is_request_key(key))

    def _find_causes(
        self, keys: Collection[str], ignored: Collection[str]
    ) -> frozenset[str]:
        """Return the most likely causes of the latest crashes, if there are any.

        Parts that were never in a whole response go before those that were, and
        requests as a whole before parts that only their prompts have.
        A request whose prompts differ is not one request: other causes go first.

        Args:
            keys: The keys that may be the cause.
            ignored: Quarantined keys that may not be.
        """
        repeated = self._log.list_repeated_keys(keys, QUARANTINE_CRASHES)
        counts = {
            key: count
            for key, count in self._count_each(list_causes(repeated), ignored).items()
            if count >= self._get_factor(key) * QUARANTINE_CRASHES
        }
        likely = (counts.keys() - self._shared) or counts.keys()
        likely = {key for key in likely if not self._was_answered(key)} or likely
        most = max((counts[key] for key in likely), default=0)
        group = frozenset(key for key in likely if counts[key] == most)
        requests = self._log.list_common_requests(group)
        return frozenset(key for key in group if requests[key].isdisjoint(group))

    def _begin_quarantines(
        self, group: Collection[str], at_s: float
    ) -> list[Quarantine]:
        """Quarantine the keys that were in the same crashes."""
        first = sorted(group)[:MAX_GROUP]
        quarantines = [
            Quarantine(key, at_s, self._get_first_term_s(key), frozenset([key, *first]))
            for key in sorted(group)
        ]
        for quarantine in quarantines:
            self._set_quarantine(quarantine)
        return quarantines

    def _renew(self, key: str, crash: Crash, is_only_cause: bool) -> Quarantine | None:
        """Begin the quarantine of a key anew after a later crash; None if it is not.

        A key that was tried apart from the others of its group is the cause.
        """
        known = self._quarantines[key]
        if crash.at_s <= known.since_s:
            # One more report of the crash that began it.
            return None
        tried_s = known.since_s + self._get_term_s(known, is_only_cause)
        if key in self._shared and crash.at_s < tried_s:
            # The requests were sent before.
            return None
        is_apart = is_only_cause and crash.at_s >= known.since_s + APART_TERM_S
        is_over = crash.at_s >= known.since_s + known.term_s
        term_s = known.term_s * (TERM_FACTOR if is_over else 1.0)
        is_certain = key not in self._shared or len(list_causes(crash.keys)) == 1
        if is_apart and is_request_key(key) and is_certain:
            term_s = max(term_s, REQUEST_TERM_S)
        renewed = known._replace(
            since_s=crash.at_s,
            term_s=min(MAX_TERM_S, term_s),
            group=frozenset([key]) if is_apart else known.group,
            trial_until_s=float("-inf"),
        )
        self._set_quarantine(renewed)
        return renewed

    def _set_quarantine(self, quarantine: Quarantine) -> None:
        """Add or replace a quarantine; drop the oldest one if there are too many."""
        if quarantine.key not in self._quarantines:
            while len(self._quarantines) >= MAX_QUARANTINES:
                del self._quarantines[next(iter(self._quarantines))]
        self._quarantines[quarantine.key] = quarantine

    def _get_due_s(self, quarantine: Quarantine, is_alone: bool) -> float:
        """Return when a request with a key may be tried; see ``_get_term_s``."""
        term_s = self._get_term_s(quarantine, is_alone)
        return max(quarantine.since_s + term_s, quarantine.trial_until_s)

    def _get_term_s(self, quarantine: Quarantine, is_alone: bool) -> float:
        """Return for how long no request with a key is tried.

        Args:
            quarantine: The quarantine of the key.
            is_alone: Whether the request has no other quarantined key.
        """
        others = quarantine.group.intersection(self._quarantines) - {quarantine.key}
        return APART_TERM_S if others and is_alone else quarantine.term_s

    def _reaches_limit(self, key: str, limit: int) -> bool:
        """Return whether a key was in so many crashes, or more for an answered part."""
        count = self._count_each([key])[key]
        return count >= self._get_factor(key) * limit

    def _get_factor(self, key: str) -> int:
        """Return by how much the limits of a key's crashes are multiplied."""
        return ANSWERED_FACTOR if self._was_answered(key) else 1

    def _was_answered(self, key: str) -> bool:
        """Return whether a prompt part was answered, so that chance may blame it.

        Not for a request as a whole: it is the same request that crashes servers later.
        """
        return key in self._sound_s and not is_request_key(key)

    def _get_first_term_s(self, key: str) -> float:
        """Return the first term of a key's quarantine."""
        if key in self._sound_s or key in self._shared:
            return ANSWERED_TERM_S
        if self._log.count_moments(key) < QUARANTINE_CRASHES:
            # Simultaneous crashes may blame what many send by chance.
            return ANSWERED_TERM_S
        if is_request_key(key):
            return REQUEST_TERM_S
        return ANSWERED_TERM_S if self._missing_answers else FIRST_TERM_S

    def _is_of_one_request(self, part: str) -> bool:
        """Return whether all crashes on a prompt part were on one request with it."""
        return bool(self._log.list_common_requests([part])[part])

    def _count_each(
        self, keys: Iterable[str], ignored: Collection[str] = ()
    ) -> dict[str, int]:
        """Return in how many crashes keys were since they were last in a response."""
        since_s = {key: self._sound_s.get(key, float("-inf")) for key in keys}
        causes = self._quarantines.keys() - self._shared - set(ignored)
        return self._log.count_each(since_s, causes)
