"""Tests of server limits: the bound, the ramp and the backoff after failures."""

from testtools import TestCase

from oleanderpier.placement import PoolLoads, compute_server_limit
from oleanderpier.placement.tests.fleet import make_server


def make_loads(in_flight, slots=16):
    """Return loads with the given permits in flight on each server."""
    loads = PoolLoads()
    servers = tuple(make_server(f"e{i}", slots) for i in range(len(in_flight)))
    loads.update_servers(servers, 0.0)
    for server, number in zip(servers, in_flight, strict=True):
        loads.servers[server["name"]].in_flight = number
    return loads, servers


class PoolLoadsTest(TestCase):
    """The servers that may take one more request."""

    def test_server_at_bound_is_not_available(self):
        """A server whose load is at the multiple of the mean gets no requests."""
        cases = [
            ([8, 8, 8, 10], {"e0", "e1", "e2"}),
            ([8, 8, 8, 9], {"e0", "e1", "e2", "e3"}),
            ([12, 12, 12, 15], {"e0", "e1", "e2"}),
            ([16, 16, 16, 12], {"e3"}),
            ([16, 16, 16, 16], set()),
            ([0, 0, 0, 3], {"e0", "e1", "e2"}),
            ([0, 0, 0, 2], {"e0", "e1", "e2", "e3"}),
            ([0, 0, 0, 0], {"e0", "e1", "e2", "e3"}),
        ]
        for in_flight, expected in cases:
            with self.subTest(in_flight=in_flight):
                loads, _ = make_loads(in_flight)
                self.assertEqual(expected, set(loads.find_available(0.0)))

    def test_limit_stays_within_multiple_of_mean(self):
        """The extra allowed at a low mean never exceeds the limit at a mean of 8."""
        for total in range(1, 600):
            mean = total / 9
            limit = compute_server_limit(mean, 8.0, 1.25)
            self.assertTrue(limit <= 1.25 * max(mean, 8.0), total)
            self.assertTrue(limit > mean, total)

    def test_limit_is_proportional_to_slots(self):
        """The limit of a small server is lower than that of a large one."""
        loads = PoolLoads()
        loads.update_servers((make_server("big", 32), make_server("small", 8)), 0.0)
        loads.servers["big"].in_flight = 24
        loads.servers["small"].in_flight = 7
        self.assertEqual({"big"}, set(loads.find_available(0.0)))

    def test_added_server_ramps_up(self):
        """An added server gets few requests at first, and its full limit after 10 s."""
        loads, servers = make_loads([10] * 9)
        loads.update_servers((*servers, make_server("new")), 100.0)
        for at_s, allowed in ((100.0, 2), (105.0, 9), (110.0, 12)):
            loads.servers["new"].in_flight = 0
            while "new" in loads.find_available(at_s):
                loads.servers["new"].in_flight += 1
            self.assertEqual(allowed, loads.servers["new"].in_flight)

    def test_ramp_is_lifted_when_slots_would_idle(self):
        """Ramp limits don't leave slots idle when other servers are at the bound."""
        loads, servers = make_loads([10, 10, 10])
        ramping = tuple(make_server(f"n{i}") for i in range(6))
        loads.update_servers((*servers, *ramping), 100.0)
        for server in ramping:
            loads.servers[server["name"]].in_flight = 2
        self.assertEqual({s["name"] for s in ramping}, set(loads.find_available(100.0)))

    def test_backoff_doubles_with_each_failure(self):
        """After each backoff, the server gets one trial request."""
        loads, _ = make_loads([3, 3, 3])
        server, now = loads.servers["e0"], 0.0
        for backoff_s in (0.5, 1.0, 2.0, 4.0):
            self.assertEqual(now + backoff_s, server.record_failure(now))
            self.assertEqual(now + backoff_s, server.record_failure(now + 0.1))
            self.assertNotIn("e0", loads.find_available(now + backoff_s - 0.01))
            now += backoff_s
            self.assertIn("e0", loads.find_available(now))
            loads.add_permit("e0")
            self.assertNotIn("e0", loads.find_available(now))
            loads.remove_permit("e0", now)
