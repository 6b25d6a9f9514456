"""Tests of the table of pool owners."""

import random

from testtools import TestCase

from oleanderpier.placement import OwnerTable


class OwnerTableTest(TestCase):
    """Incremental updates of the owners."""

    def test_incremental_update_matches_full_ranking(self):
        """After random changes, each pool's owner is first in the full ranking."""
        rng = random.Random(3)
        table, owners = OwnerTable(), {}
        for _ in range(60):
            pools = rng.sample(range(40), 25)
            hosts = rng.sample([f"h{i}" for i in range(12)], rng.randrange(12))
            for change in table.update(pools, hosts):
                self.assertEqual(change.before, owners.get(change.pool, ""))
                owners[change.pool] = change.after
            for pool in range(40):
                ranked = table.rank_owners(pool) if pool in pools else []
                self.assertEqual(ranked[0] if ranked else "", table.find_owner(pool))
                self.assertEqual(table.find_owner(pool), owners.get(pool, ""))
