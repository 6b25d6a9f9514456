"""Tests of the table of pool owners."""

import random

from testtools import TestCase

from oleanderpier.placement import OwnerTable


class OwnerTableTest(TestCase):
    """What is worked out from differences equals a full ranking."""

    def test_updates_match_ranking(self):
        """After any change each pool's owner is the first in the ranking."""
        rng = random.Random(3)
        table, seen = OwnerTable(), {}
        for _ in range(60):
            pools = rng.sample(range(40), 25)
            hosts = rng.sample([f"h{i}" for i in range(12)], rng.randrange(12))
            for change in table.update(pools, hosts):
                self.assertEqual(change.before, seen.get(change.pool, ""))
                seen[change.pool] = change.after
            for pool in range(40):
                ranked = table.rank_owners(pool) if pool in pools else []
                self.assertEqual(ranked[0] if ranked else "", table.find_owner(pool))
                self.assertEqual(table.find_owner(pool), seen.get(pool, ""))
