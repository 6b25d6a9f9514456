"""Tests of the division of backend servers into pools."""

from testtools import TestCase

from oleanderpier.placement import Topology, divide_servers, rank_weighted
from oleanderpier.placement.tests.fleet import make_server


def make_servers(count, domains=4):
    """Return servers spread over failure domains."""
    return [make_server(f"e{i}", domain=f"d{i % domains}") for i in range(count)]


class DivideServersTest(TestCase):
    """The division is deterministic and stable under churn."""

    def test_few_servers_are_one_pool(self):
        """Nine engines in three failure domains are one pool; a service is another."""
        service = make_server("s0", kind="service")
        pools = divide_servers([*make_servers(9, 3), service])
        self.assertEqual([9, 1], [len(pool.servers) for pool in pools])

    def test_each_server_is_in_one_pool_of_its_failure_domain(self):
        """Large groups are partitioned into pools within a failure domain."""
        servers = make_servers(400)
        pools = divide_servers(reversed(servers))
        self.assertEqual(pools, divide_servers(servers))
        names = [server["name"] for pool in pools for server in pool.servers]
        self.assertEqual(sorted(names), sorted(s["name"] for s in servers))
        for pool in pools:
            domains = {server["failure_domain"] for server in pool.servers}
            self.assertEqual({pool.failure_domain}, domains)

    def test_servers_keep_their_pool_during_churn(self):
        """Servers keep their pool while 5% of the others are replaced."""
        before, after = (
            Topology(make_servers(420)[part]) for part in (slice(400), slice(20, 420))
        )
        staying = [f"e{i}" for i in range(20, 400)]
        moved = [
            n for n in staying if before.find_pool(n)[:2] != after.find_pool(n)[:2]
        ]
        self.assertEqual([], moved)

    def test_weighted_ranking_is_proportional_to_weights(self):
        """Candidates rank first in proportion to their weight."""
        chosen = [rank_weighted(f"c{i}", {"a": 1, "b": 3})[0] for i in range(2000)]
        self.assertTrue(1350 < chosen.count("b") < 1650)

    def test_ranked_pools_are_distinct(self):
        """A chat has several candidate pools; an unknown model has none."""
        topology = Topology(make_servers(400))
        names = [p.name for p in topology.rank_pools("engine", "model", "c1")]
        self.assertEqual(3, len(set(names)))
        self.assertEqual([], topology.rank_pools("engine", "other", "c1"))
