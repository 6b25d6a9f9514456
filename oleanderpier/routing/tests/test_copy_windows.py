"""Tests of copies of caches from evacuated failure domains."""

from testtools import TestCase

from oleanderpier.routing import (
    COPY_WINDOW_RATIO,
    Choice,
    PromptPrefix,
    ServerQuery,
)
from oleanderpier.routing.tests.fakes import ENGINE, RoutingFixture

EVACUATE_S = 5.0
WINDOW_S = COPY_WINDOW_RATIO * EVACUATE_S
QUERY = ServerQuery(ENGINE, (PromptPrefix("k", 10_000),))
REGIONS = {"duluth": "us", "alpena": "us", "ghent": "eu"}


class CopyWindowTest(TestCase):
    """Caches are copied from an evacuated domain for a while, and never after it."""

    def make_fixture(
        self, uneven: bool = True, evacuate_s: float | None = EVACUATE_S
    ) -> RoutingFixture:
        """Return servers of which one in ``ghent`` has the prompt cached."""
        fixture = RoutingFixture(0, regions=REGIONS, evacuate_s=evacuate_s)
        for domain in REGIONS:
            for number in range(2):
                fixture.register_server(f"{domain}-{number}", failure_domain=domain)
        fixture.statements.loads.set_all_under_permits(uneven)
        fixture.statements.loads.allow_permits(False)
        fixture.caches.apply_updates([("k", "ghent-0")])
        return fixture

    def choose(self, fixture: RoutingFixture, query: ServerQuery = QUERY) -> Choice:
        """Return a choice, and check that no request goes to the evacuated domain."""
        for _ in range(20):
            choice = fixture.chooser.choose(query)
            self.assertNotEqual("ghent", choice.server.failure_domain)
        return choice

    def test_prompts_are_copied_in_the_window(self):
        """All prompts of the domain were read again."""
        fixture = self.make_fixture()
        fixture.evacuations.update("ghent", True)
        for _ in range(5):
            choice = self.choose(fixture)
            self.assertEqual("ghent-0", choice.copy_source.identity)
            fixture.timers.advance(WINDOW_S / 5 - 0.01)

    def test_no_copy_after_the_window(self):
        """It could reach a server later than the evacuation has to be in force."""
        fixture = self.make_fixture()
        fixture.evacuations.update("ghent", True)
        fixture.timers.advance(WINDOW_S)
        for _ in range(10):
            self.assertIsNone(self.choose(fixture).copy_source)
            # The key is written again while it is in force.
            fixture.evacuations.update("ghent", True)
            fixture.timers.advance(1.0)

    def test_window_of_a_later_evacuation(self):
        """It does not end with that of the earlier one."""
        fixture = self.make_fixture()
        fixture.evacuations.update("ghent", True)
        fixture.timers.advance(WINDOW_S)
        fixture.evacuations.update("ghent", False)
        fixture.evacuations.update("ghent", True)
        self.assertEqual("ghent-0", self.choose(fixture).copy_source.identity)

    def test_source_is_given_up_after_a_wait(self):
        """A request may wait for a permit between the choice and the send."""
        fixture = self.make_fixture()
        fixture.evacuations.update("ghent", True)
        choice = self.choose(fixture)
        self.assertEqual(choice, fixture.chooser.confirm_source(choice))
        fixture.timers.advance(WINDOW_S)
        late = fixture.chooser.confirm_source(choice)
        self.assertEqual(choice._replace(copy_source=None), late)

    def test_no_copy_without_a_bound(self):
        """Without ``EvacuateMs`` nothing is known of how long copies may go on."""
        fixture = self.make_fixture(evacuate_s=None)
        fixture.evacuations.update("ghent", True)
        self.assertIsNone(self.choose(fixture).copy_source)

    def test_no_copy_in_an_even_service(self):
        """Its evacuations are obeyed as before."""
        fixture = self.make_fixture(uneven=False)
        fixture.evacuations.update("ghent", True)
        self.assertIsNone(self.choose(fixture).copy_source)

    def test_no_copy_from_another_region(self):
        """Data residency goes before the cache."""
        fixture = self.make_fixture()
        fixture.evacuations.update("ghent", True)
        query = QUERY._replace(regions=frozenset({"us"}))
        self.assertIsNone(self.choose(fixture, query).copy_source)

    def test_no_copy_of_an_evacuation_that_another_host_retains(self):
        """The host learns of it long after the store has acknowledged it."""
        fixture = self.make_fixture()
        fixture.evacuations.adopt_retained("ghent", 2.0, "h1")
        self.assertIsNone(self.choose(fixture).copy_source)

    def test_requests_stop_at_once(self):
        """Nor does the domain count as a place to wait for."""
        fixture = self.make_fixture()
        for domain in REGIONS:
            fixture.evacuations.update(domain, True)
        self.assertIsNone(fixture.chooser.choose(QUERY))
        self.assertFalse(fixture.chooser.has_other(QUERY, []))
        self.assertIsNone(fixture.chooser.get_shortest_wait_s(QUERY))
