"""Replays load patterns with crashing servers over many hosts, in virtual time."""

import heapq
import itertools
import random
from collections import Counter

from testtools import TestCase

from oleanderpier.entry.tests.test_crash_gossip import CrashFleet
from oleanderpier.routing import SuspectKeys

SERVER_COUNT = 78
DOWN_S = 3.0
FIRST_EVENT_S = 0.15
RESPONSE_S = 0.5
CRASH_S = 0.05
SOUND_PER_S = 200
BAD = "bad"
# The users' bounds: with a part under which five servers have crashed, no more than
# three requests reach servers later than CONTACT_S after the fifth.
TOLERATED_CRASHES = 5
TOLERATED_ARRIVALS = 3
CONTACT_S = 3.0


class CrashReplay:
    """Requests to servers that crash, on the clock of the hosts' timers.

    Args:
        hosts: The number of hosts.
        random_crashes_per_s: How often a server crashes whatever it works on.
        servers: The number of servers.
        shared_parts: The number of further parts that all prompts begin with.

    Attributes:
        crashes: Servers that crashed, by cause.
        bad_sent_s: When requests with the bad part were sent.
        bad_crashes_s: When servers crashed on one.
        refused: Requests that were refused, by kind.
        served: Requests that were answered, by kind.
    """

    def __init__(
        self,
        hosts: int,
        random_crashes_per_s: float = 0.0,
        servers: int = SERVER_COUNT,
        shared_parts: int = 0,
    ) -> None:
        self.fleet = CrashFleet(hosts)
        self.crashes: Counter[str] = Counter()
        self.bad_sent_s: list[float] = []
        self.bad_crashes_s: list[float] = []
        self.refused: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self._hosts = list(self.fleet.gossips)
        self._rng = random.Random(hosts)
        self._random_crashes_per_s = random_crashes_per_s
        self._servers = servers
        self._shared = tuple(f"shared{number}" for number in range(shared_parts))
        self._runs = [1] * servers
        self._down_until_s = [0.0] * servers
        self._in_flight: list[dict[int, tuple[str, SuspectKeys, float]]] = [
            {} for _ in range(servers)
        ]
        # The numbers of requests that were sent before to another server.
        self._resent: set[int] = set()
        self._events: list = []
        self._numbers = itertools.count()

    def run(self, length_s: float, bad_from_s: float, bad_per_s: float) -> None:
        """Send sound requests all the time, and bad ones from some time on."""
        for rate, from_s, step in (
            (SOUND_PER_S, 0.0, self._send_sound),
            (bad_per_s, bad_from_s, self._send_bad),
            (self._random_crashes_per_s, 0.0, self._crash_any),
        ):
            at_s = from_s
            while rate and (at_s := at_s + self._rng.expovariate(rate)) < length_s:
                self._schedule(at_s, step)
        while self._events:
            at_s, _, step, arguments = heapq.heappop(self._events)
            self.fleet.timers.advance(max(0.0, at_s - self.fleet.timers.now()))
            step(*arguments)

    def count_late(self, tolerated: int = TOLERATED_CRASHES) -> int:
        """Return how many bad requests were sent after the bound."""
        last = self.bad_crashes_s[tolerated - 1 : tolerated]
        return sum(at_s > last[0] + CONTACT_S for at_s in self.bad_sent_s if last)

    def _schedule(self, at_s: float, step, *arguments) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), step, arguments))

    def _send_sound(self) -> None:
        rng = self._rng
        self._send("sound", (f"first{rng.randrange(3)}", f"p{rng.randrange(300)}"))

    def _send_bad(self) -> None:
        rng = self._rng
        self._send(BAD, (f"first{rng.randrange(3)}", BAD, f"p{rng.randrange(300)}"))

    def _send(self, kind: str, prompt: SuspectKeys, host: str = "") -> None:
        host = host or self._rng.choice(self._hosts)
        prompt = (*self._shared, *prompt)
        now_s = self.fleet.timers.now()
        poison = self.fleet.poison[host]
        if poison.check(prompt, now_s, lambda part: host == "h0").key:
            self.refused[kind] += 1
            return
        up = [n for n in range(self._servers) if now_s >= self._down_until_s[n]]
        if not up:
            return
        server, number = self._rng.choice(up), next(self._numbers)
        self._in_flight[server][number] = (host, prompt, now_s)
        after_s, step = (RESPONSE_S, self._answer)
        if kind == BAD:
            self.bad_sent_s.append(now_s)
            after_s, step = (CRASH_S, self._crash_on)
        self._schedule(now_s + after_s, step, server, number)

    def _answer(self, server: int, number: int) -> None:
        request = self._in_flight[server].pop(number, None)
        if request is not None:
            host, prompt, _ = request
            self.served["sound"] += 1
            self.fleet.answer(host, *prompt)

    def _crash_on(self, server: int, number: int) -> None:
        if number in self._in_flight[server]:
            self.bad_crashes_s.append(self.fleet.timers.now())
            self._crash(server, BAD)

    def _crash_any(self) -> None:
        server = self._rng.randrange(self._servers)
        if self.fleet.timers.now() >= self._down_until_s[server]:
            self._crash(server, "other")

    def _crash(self, server: int, cause: str) -> None:
        self.crashes[cause] += 1
        now_s = self.fleet.timers.now()
        suspects: dict[str, list[SuspectKeys]] = {}
        for host, prompt, sent_s in self._in_flight[server].values():
            if now_s < sent_s + FIRST_EVENT_S:
                suspects.setdefault(host, []).append(prompt)
        for host, prompts in suspects.items():
            self.fleet.crash(host, f"s{server}", *prompts, born_ms=self._runs[server])
        self._in_flight[server].clear()
        self._runs[server] += 1
        self._down_until_s[server] = now_s + DOWN_S


class CrashPatternTest(TestCase):
    """Few servers crash, and no other requests are refused, at any size."""

    def test_requests_with_one_part_crash_few_servers(self):
        """The requests come at any host, for ten seconds."""
        for hosts in (7, 78, 300):
            replay = CrashReplay(hosts)
            replay.run(12.0, bad_from_s=2.0, bad_per_s=4.0)
            self.assertLessEqual(replay.count_late(), TOLERATED_ARRIVALS, hosts)
            self.assertGreater(replay.refused[BAD], 20, hosts)
            self.assertEqual(0, replay.refused["sound"], hosts)

    def test_part_behind_many_others_crashes_few_servers(self):
        """It stands behind 400 parts that sound requests have as well."""
        replay = CrashReplay(20, shared_parts=400)
        replay.run(9.0, bad_from_s=2.0, bad_per_s=4.0)
        self.assertLessEqual(replay.count_late(), TOLERATED_ARRIVALS)
        self.assertGreater(replay.refused[BAD], 15)
        self.assertEqual(0, replay.refused["sound"])

    def test_part_is_found_among_other_crashes(self):
        """A server crashes for another reason twice a second."""
        replay = CrashReplay(78, random_crashes_per_s=2.0)
        replay.run(12.0, bad_from_s=2.0, bad_per_s=4.0)
        self.assertLessEqual(replay.count_late(), TOLERATED_ARRIVALS)
        self.assertEqual(0, replay.refused["sound"])

    def test_crashes_for_other_reasons_refuse_nothing(self):
        """Servers crash for a minute, twice a second."""
        replay = CrashReplay(20, random_crashes_per_s=2.0)
        replay.run(60.0, bad_from_s=60.0, bad_per_s=0.0)
        self.assertGreater(replay.crashes["other"], 80)
        self.assertEqual(0, replay.refused["sound"])

    def test_messages_for_each_crash_do_not_grow_with_hosts_squared(self):
        """Each host gets a few messages for each crash."""
        received = {}
        for hosts in (78, 300):
            replay = CrashReplay(hosts, random_crashes_per_s=2.0)
            replay.run(60.0, bad_from_s=60.0, bad_per_s=0.0)
            crashes = replay.crashes["other"]
            received[hosts] = len(replay.fleet.sent) / hosts / crashes
        self.assertLess(received[300], 2 * received[78])
