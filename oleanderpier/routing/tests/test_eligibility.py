"""Tests of which servers may get a request, by load pattern."""

import time

from testtools import TestCase

from oleanderpier.routing import (
    PromptPrefix,
    ServerQuery,
    WorkspaceEntry,
    combine_regions,
)
from oleanderpier.routing.tests.fakes import ENGINE, RoutingFixture, make_route

PREFIX = PromptPrefix("k", 10_000)
QUERY = ServerQuery(ENGINE, (PREFIX,))
REGIONS = {"duluth": "us", "alpena": "us", "ghent": "eu"}
# Limit on the time that a decision may take at 150 servers.
MAX_DECISION_S = 50e-6


def make_fixture() -> RoutingFixture:
    """Return two servers in each of three failure domains."""
    fixture = RoutingFixture(servers=0, regions=REGIONS)
    for domain in REGIONS:
        for number in range(2):
            fixture.register_server(f"{domain}-{number}", failure_domain=domain)
    return fixture


class EvacuationTest(TestCase):
    """No request reaches a server of an evacuated failure domain."""

    def choose_domains(
        self, fixture: RoutingFixture, query: ServerQuery, avoid: tuple[str, ...] = ()
    ) -> set[str]:
        """Return the failure domains of the servers that get some requests."""
        choices = [fixture.chooser.choose(query, avoid) for _ in range(50)]
        return {choice.server.failure_domain for choice in choices}

    def test_first_attempts_and_retries(self):
        """With and without a prompt, and though all others were tried."""
        fixture = make_fixture()
        fixture.evacuations.update("ghent", True)
        tried = tuple(f"{domain}-{n}" for domain in REGIONS for n in range(2))
        for query in (QUERY, ServerQuery(ENGINE)):
            for avoid in ((), tried[:1], tried[:4], tried):
                self.assertNotIn("ghent", self.choose_domains(fixture, query, avoid))
        fixture.evacuations.update("ghent", False)
        domains = self.choose_domains(fixture, ServerQuery(ENGINE), tried[:4])
        self.assertEqual({"ghent"}, domains)

    def test_server_that_has_the_prompt_cached(self):
        """Neither the stored statistics nor its cache bring a request there."""
        fixture = make_fixture()
        fixture.caches.apply_updates([("k", "ghent-0")])
        self.assertEqual("ghent-0", fixture.chooser.choose(QUERY).server.identity)
        fixture.evacuations.update("ghent", True)
        fixture.timers.advance(0.01)
        choice = fixture.chooser.choose(QUERY)
        self.assertNotEqual("ghent", choice.server.failure_domain)
        self.assertIsNone(choice.copy_source)
        self.assertEqual("ghent-0", choice.evacuated.server.identity)
        self.assertAlmostEqual(0.01, choice.evacuated.age_s)

    def test_copies_come_from_other_domains(self):
        """Of the servers that have the prompt cached, a reachable one is the source."""
        fixture = make_fixture()
        fixture.caches.apply_updates([("k", "ghent-0"), ("k", "duluth-0")])
        fixture.evacuations.update("ghent", True)
        fixture.remote_loads.in_flight["duluth-0"] = 40
        choice = fixture.chooser.choose(QUERY)
        self.assertEqual("duluth-0", choice.copy_source.identity)

    def test_no_other_server_for_a_hedge(self):
        """A hedged request is not started if only evacuated servers are left."""
        fixture = make_fixture()
        tried = [f"{domain}-{n}" for domain in ("duluth", "alpena") for n in range(2)]
        self.assertTrue(fixture.chooser.has_other(QUERY, tried))
        fixture.evacuations.update("ghent", True)
        self.assertFalse(fixture.chooser.has_other(QUERY, tried))

    def test_cause_of_a_refusal(self):
        """It is the evacuation only if a server would get the request without it."""
        fixture = make_fixture()
        for domain in REGIONS:
            fixture.evacuations.update(domain, True)
        self.assertIsNone(fixture.chooser.choose(QUERY))
        self.assertIsNotNone(fixture.chooser.find_evacuated(QUERY))
        self.assertIsNone(fixture.chooser.get_shortest_wait_s(QUERY))
        everyone = [f"{domain}-{n}" for domain in REGIONS for n in range(2)]
        self.assertIsNone(fixture.chooser.find_evacuated(QUERY, everyone))

    def test_standstill(self):
        """A host that does not know the evacuations sends to no server."""
        fixture = make_fixture()
        fixture.are_unconfirmed = True
        self.assertIsNone(fixture.chooser.choose(QUERY))
        self.assertFalse(fixture.chooser.has_other(QUERY, []))
        fixture.are_unconfirmed = False
        self.assertIsNotNone(fixture.chooser.choose(QUERY))


class RegionTest(TestCase):
    """Data residency goes before everything else."""

    def test_only_servers_of_the_region(self):
        """However loaded they are; no copy comes from another region either."""
        fixture = make_fixture()
        fixture.caches.apply_updates([("k", "duluth-0")])
        fixture.remote_loads.in_flight.update({"ghent-0": 90, "ghent-1": 90})
        query = QUERY._replace(regions=frozenset({"eu"}))
        for avoid in ((), ("ghent-0",), ("ghent-0", "ghent-1")):
            choice = fixture.chooser.choose(query, avoid)
            self.assertEqual("ghent", choice.server.failure_domain)
            self.assertIsNone(choice.copy_source)
        self.assertFalse(fixture.chooser.has_other(query, ["ghent-0", "ghent-1"]))

    def test_failure_domain_without_region(self):
        """Its servers get no request that is restricted, and all others."""
        fixture = make_fixture()
        fixture.register_server("lost-0", failure_domain="lost")
        excluded = [f"{domain}-{n}" for domain in REGIONS for n in range(2)]
        query = QUERY._replace(regions=frozenset({"us"}))
        self.assertIsNone(fixture.chooser.choose(query, excluded=excluded))
        choice = fixture.chooser.choose(QUERY, excluded=excluded)
        self.assertEqual("lost-0", choice.server.identity)

    def test_restrictions_of_route_and_workspace_both_apply(self):
        """Their common regions remain, which may be none."""
        for of_route, of_workspace, expected in (
            ((), (), None),
            (("eu",), (), {"eu"}),
            ((), ("us",), {"us"}),
            (("eu", "us"), ("us", "asia"), {"us"}),
            (("eu",), ("us",), set()),
        ):
            workspace = WorkspaceEntry("w", None, of_workspace)
            route = make_route(allowed_regions=of_route)
            self.assertEqual(expected, combine_regions(route, workspace))
        self.assertIsNone(combine_regions(make_route(), None))
        fixture = make_fixture()
        query = QUERY._replace(regions=frozenset())
        self.assertIsNone(fixture.chooser.choose(query))


class CostTest(TestCase):
    """Checks of 150 servers leave time for the choice."""

    def test_list_of_eligible_servers(self):
        """The reasons that apply to no server cost nothing."""
        fixture = RoutingFixture(servers=150)
        eligibility = fixture.chooser._eligibility
        for domain, count in (("", 150), ("duluth", 0)):
            if domain:
                fixture.evacuations.update(domain, True)
            took_s = min(self.measure(eligibility) for _ in range(5))
            self.assertEqual(count, len(eligibility.list_eligible(ENGINE)))
            self.assertLess(took_s, MAX_DECISION_S)

    def measure(self, eligibility) -> float:
        """Return the seconds that a list takes, as a mean over many."""
        started_s = time.perf_counter()
        for _ in range(200):
            eligibility.list_eligible(ENGINE)
        return (time.perf_counter() - started_s) / 200
