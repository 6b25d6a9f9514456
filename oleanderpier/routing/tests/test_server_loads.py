"""Tests of what servers state about their load and their speed."""

from testtools import TestCase

from oleanderpier.routing import LoadStatement, ServerLoads, ServerStatements
from oleanderpier.routing.server_loads import SPEED_LIFETIME_S
from oleanderpier.routing.tests.fakes import ENGINE, make_server

SERVER = make_server("s1", born_ms=5)
SLOW = LoadStatement(3, 0, 16, slow_factor=2.5)
WITHOUT_SPEED = LoadStatement(3, 0, 16)


class ServerLoadsTest(TestCase):
    """The last statement of each server, and its age."""

    def setUp(self):
        """Create an empty record of statements."""
        super().setUp()
        self.loads = ServerLoads()

    def test_speed_matters_less_as_it_gets_older(self):
        """An old statement would keep requests from a machine that is fast again."""
        self.loads.record(SERVER, SLOW, 10.0)
        self.assertEqual(2.5, self.loads.get_slow_factor(SERVER, 10.0))
        half_life = 10.0 + SPEED_LIFETIME_S / 2
        self.assertAlmostEqual(1.75, self.loads.get_slow_factor(SERVER, half_life))
        for age_s in (SPEED_LIFETIME_S, 5.0):
            self.assertAlmostEqual(
                1.0, self.loads.get_slow_factor(SERVER, 10.0 + age_s)
            )

    def test_server_that_states_no_speed(self):
        """It counts as fast as usual, and puts no service under permits."""
        self.loads.record(SERVER, WITHOUT_SPEED, 10.0)
        self.assertEqual(1.0, self.loads.get_slow_factor(SERVER, 10.0))
        self.assertEqual(1.0, self.loads.get_slow_factor(make_server("s2"), 10.0))
        self.assertFalse(self.loads.is_under_permits(ENGINE))

    def test_statement_holds_for_the_run_that_made_it(self):
        """A server that has started again is not taken for slow."""
        self.loads.record(SERVER, SLOW, 10.0)
        restarted = SERVER._replace(born_ms=6)
        self.assertEqual(1.0, self.loads.get_slow_factor(restarted, 10.0))
        self.assertIsNone(self.loads.get(restarted))
        self.loads.record(restarted, WITHOUT_SPEED, 11.0)
        self.loads.record(SERVER, SLOW, 11.1)
        self.assertEqual(WITHOUT_SPEED, self.loads.get(restarted).load)
        self.loads.remove_server("s1")
        self.assertIsNone(self.loads.get(restarted))

    def test_uneven_service_without_permits(self):
        """Settings that allow no permits do not change what servers have stated."""
        self.loads.allow_permits(False)
        self.loads.record(SERVER, SLOW, 10.0)
        self.assertTrue(self.loads.is_uneven(ENGINE))
        self.assertFalse(self.loads.is_uneven("other"))
        self.loads.set_all_under_permits(True)
        self.assertTrue(self.loads.is_uneven("other"))
        self.assertFalse(self.loads.is_under_permits(ENGINE))

    def test_services_under_permits(self):
        """A stated speed counts for its service, the configuration for all."""
        self.loads.record(SERVER, SLOW, 10.0)
        self.loads.record(SERVER, WITHOUT_SPEED, 11.0)
        self.assertTrue(self.loads.is_under_permits(ENGINE))
        self.assertFalse(self.loads.is_under_permits("other"))
        self.loads.set_all_under_permits(True)
        self.assertTrue(self.loads.is_under_permits("other"))
        self.loads.set_all_under_permits(False)
        self.assertFalse(self.loads.is_under_permits("other"))

    def test_end_of_a_registration_removes_the_statement(self):
        """Otherwise the record grows with each server that is replaced."""
        statements = ServerStatements()
        statements.loads.record(SERVER, SLOW, 10.0)
        statements.record_end("s1")
        self.assertIsNone(statements.loads.get(SERVER))
