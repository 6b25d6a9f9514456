"""Tests of the choice of a server, each with the load that it answers."""

import random
from collections import Counter

from testtools import TestCase

from oleanderpier.routing import PromptPrefix, ServerQuery
from oleanderpier.routing.tests.fakes import ENGINE, World

# The users' bound on a server: twice the mean of its service, and three.
BOUND_MULTIPLE = 2
BOUND_ALLOWANCE = 3


def send(world: World, key: str, tokens: int = 10_000):
    """Choose a server for a prompt and count it as in flight."""
    query = ServerQuery(ENGINE, (PromptPrefix(key, tokens),) if key else ())
    choice = world.chooser.choose(query)
    world.chooser.begin_request(query, choice.server.identity)
    return choice


class AffinityTest(TestCase):
    """Prompts that share a part go where it is cached."""

    def test_hosts_agree(self):
        """Hosts that never talked choose the same server for a key."""
        for key in ("a", "b", "c"):
            chosen = {send(World(), key).server.identity for _ in range(3)}
            self.assertEqual(1, len(chosen))

    def test_new_server_moves_nothing(self):
        """A server that joins gets no key that is cached elsewhere."""
        world = World()
        keys = [f"k{number}" for number in range(40)]
        before = {}
        for key in keys:
            before[key] = send(world, key).server.identity
            world.chooser.end_request(before[key])
        world.add("joined")
        for key in keys:
            choice = send(world, key)
            world.chooser.end_request(choice.server.identity)
            self.assertEqual(
                (before[key], "cached"), (choice.server.identity, choice.reason)
            )

    def test_word_of_others(self):
        """What another host sent somewhere is found there."""
        world = World()
        world.caches.apply_updates([("k", "s7")])
        self.assertEqual("s7", send(world, "k").server.identity)

    def test_restarted_server_holds_nothing(self):
        """A server that starts again under its id has lost its cache."""
        world = World()
        world.caches.apply_updates([("k", "s7")])
        world.add("s7", born_ms=2)
        self.assertEqual([], world.caches.list_holders("k"))


class CommonStartTest(TestCase):
    """Prompts of many subjects begin with a few parts that all of them share."""

    def count_reads(self, requests: int, copies: bool) -> int:
        """Return the tokens of the common starts that engines read themselves."""
        world, rng = World(), random.Random(5)
        held: dict[str, set[str]] = {}
        read = 0
        for _ in range(requests):
            start = PromptPrefix(f"start-{rng.randrange(40)}", 341)
            subject = PromptPrefix(f"{start.key}-{rng.randrange(8)}", 2_041)
            query = ServerQuery(ENGINE, (start, subject))
            choice = world.chooser.choose(query)
            identity = choice.server.identity
            world.chooser.begin_request(query, identity)
            world.chooser.end_request(identity)
            holders = held.setdefault(start.key, set())
            copied = (
                copies and choice.copy_source and choice.copy_source.identity in holders
            )
            if identity not in holders and not copied:
                read += start.tokens
            holders.add(identity)
            world.timers.advance(0.05)
        return read

    def test_start_is_copied(self):
        """An engine that gets a new subject copies the start from another."""
        once = 40 * 341
        self.assertEqual(once, self.count_reads(1_500, copies=True))
        self.assertGreater(self.count_reads(1_500, copies=False), 4 * once)

    def test_nothing_to_copy(self):
        """A server that holds the start already copies nothing for it."""
        world = World(servers=1)
        start = PromptPrefix("start", 341)
        for subject in ("a", "b"):
            query = ServerQuery(ENGINE, (start, PromptPrefix(subject, 2_041)))
            choice = world.chooser.choose(query)
            world.chooser.begin_request(query, choice.server.identity)
            self.assertIsNone(choice.copy_source)


class HotKeyTest(TestCase):
    """One prompt gets much of the traffic."""

    def test_bound_and_copies(self):
        """No server goes over the users' bound; those that join in copy."""
        world = World()
        rng = random.Random(3)
        reads = Counter()
        running: list[str] = []
        for number in range(2_000):
            key = "hot" if rng.random() < 0.4 else f"k{rng.randrange(100)}"
            choice = send(world, key)
            running.append(choice.server.identity)
            reads[choice.reason, choice.copy_source is not None] += 1
            if len(running) > 120:
                world.chooser.end_request(running.pop(rng.randrange(len(running))))
            loads = [world.chooser.count_in_flight(f"s{n}") for n in range(9)]
            mean = sum(loads) / len(loads)
            self.assertLessEqual(
                max(loads), BOUND_MULTIPLE * mean + BOUND_ALLOWANCE, number
            )
        self.assertEqual(0, reads["spilled", False])
        self.assertGreater(reads["cached", False], 0.85 * reads.total())

    def test_ages_are_told(self):
        """A choice tells how old the beliefs are that decided it."""
        world = World(load_age_s=0.4)
        self.assertIsNone(send(world, "k").cache_age_s)
        world.timers.advance(2.0)
        choice = send(world, "k")
        self.assertAlmostEqual(2.0, choice.cache_age_s)
        self.assertEqual(0.4, choice.load_age_s)

    def test_load_of_other_hosts_counts(self):
        """A server that others have filled is passed over."""
        world = World()
        first = send(world, "k").server.identity
        world.elsewhere[first] = 40
        choice = send(world, "k")
        self.assertNotEqual(first, choice.server.identity)
        self.assertEqual(first, choice.copy_source.identity)


class FailingServerTest(TestCase):
    """Servers that fail get less, and nothing while they rest."""

    def test_leaving_server(self):
        """A leaving server gets nothing, but its cache is copied."""
        world = World()
        first = send(world, "k").server.identity
        world.add(first, leaving=True)
        choice = send(world, "k")
        self.assertNotEqual(first, choice.server.identity)
        self.assertEqual(first, choice.copy_source.identity)

    def test_resting_server(self):
        """A server that could not be reached is left alone, then tried once."""
        world = World(servers=2)
        world.health.record_unreachable("s0")
        chosen = {
            world.chooser.choose(ServerQuery(ENGINE)).server.identity for _ in range(9)
        }
        self.assertEqual({"s1"}, chosen)
        world.timers.advance(0.6)
        trials = Counter(send(world, "").server.identity for _ in range(6))
        self.assertEqual(1, trials["s0"])

    def test_all_rest(self):
        """Where every server rests, one is tried all the same."""
        world = World(servers=2)
        for identity in ("s0", "s1"):
            world.health.record_unreachable(identity)
        self.assertEqual(
            "last_resort", world.chooser.choose(ServerQuery(ENGINE)).reason
        )

    def test_failing_server_gets_less(self):
        """A server that fails half of its requests gets under a tenth of them."""
        world = World(servers=3)
        rng = random.Random(5)
        got = Counter()
        for _ in range(600):
            identity = send(world, "").server.identity
            got[identity] += 1
            failed = identity == "s0" and rng.random() < 0.5
            world.health.record_response(identity, failed)
            world.chooser.end_request(identity)
        self.assertLess(got["s0"], 60)

    def test_all_fail_alike(self):
        """Where all fail alike, none is left out."""
        world = World(servers=3)
        rng = random.Random(5)
        got = Counter()
        for _ in range(600):
            identity = send(world, "").server.identity
            got[identity] += 1
            world.health.record_response(identity, rng.random() < 0.5)
            world.chooser.end_request(identity)
        self.assertGreater(min(got.values()), 100)

    def test_no_server(self):
        """A service without servers gives none."""
        self.assertIsNone(
            World(servers=0).chooser.choose(
                ServerQuery(ENGINE, (PromptPrefix("k", 9),))
            )
        )
