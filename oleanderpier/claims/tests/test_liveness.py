"""Tests of liveness: claims succeed fast, and wherever a majority is reachable."""

from itertools import combinations

from testtools import TestCase

from oleanderpier.claims import START_MARGIN_S, ListedHost
from oleanderpier.claims.limits import MAX_CLOCK_SKEW_S
from oleanderpier.claims.tests.fleet import FAILURE_DOMAINS, Fleet
from oleanderpier.claims.tests.schedules import WARM_UP_S
from oleanderpier.claims.witness_sets import HostList, choose_witnesses, count_majority
from oleanderpier.results import Code
from oleanderpier.utils import pack_key

ROUND_TRIP_S = 0.004
SEND_AND_RESPONSE_S = 0.0125


def make_fleet(hosts: int = 8) -> Fleet:
    """Return a fleet that is ready, with its message counters cleared."""
    fleet = Fleet(1, hosts=hosts)
    fleet.timers.advance(WARM_UP_S)
    fleet.message_counts.clear()
    fleet.message_bytes.clear()
    return fleet


class LivenessTest(TestCase):
    """Duration and messages of claims, and the keys that can be claimed."""

    def test_claim_takes_one_round_trip(self):
        """Without faults each claim is decided after one round trip."""
        fleet = make_fleet()
        calls = [fleet.request("host-0", fleet.make_key()) for _ in range(100)]
        fleet.timers.advance(ROUND_TRIP_S + SEND_AND_RESPONSE_S)
        self.assertEqual([[Code.DONE]] * 100, [call.received_codes for call in calls])
        fleet.timers.advance(1.0)
        self.assertEqual({"Claim", "Granted", "Settle"}, set(fleet.message_counts))
        self.assertLessEqual(max(fleet.message_counts.values()), 100 * 7)
        self.assertLessEqual(sum(fleet.message_bytes.values()), 100 * 1024)

    def test_larger_side_of_split_has_majority(self):
        """The larger side of any split 4/3 or 5/3 has a majority for every key."""
        for hosts, size in ((7, 4), (8, 5)):
            listed = [
                ListedHost(f"host-{i}", FAILURE_DOMAINS[i % 3]) for i in range(hosts)
            ]
            known = HostList(1, tuple(listed))
            fleet = Fleet(1, hosts=hosts)
            keys = [pack_key(fleet.make_key()) for _ in range(50)]
            chosen = [set(choose_witnesses(key, known).hosts) for key in keys]
            for side in combinations(known.names, size):
                shares = [len(hosts & set(side)) for hosts in chosen]
                self.assertGreaterEqual(min(shares), count_majority(7))

    def test_witnesses_spread_over_failure_domains(self):
        """No failure domain has two witnesses of a key while others have none."""
        listed = [ListedHost(f"host-{i}", f"domain-{i % 22}") for i in range(220)]
        fleet = Fleet(1)
        for _ in range(50):
            key = pack_key(fleet.make_key())
            chosen = choose_witnesses(key, HostList(1, tuple(listed))).hosts
            self.assertEqual(7, len({int(name[5:]) % 22 for name in chosen}))

    def test_keys_run_on_larger_side_of_split(self):
        """Keys run on the side of four hosts; the side of three has no majority."""
        fleet = make_fleet(hosts=7)
        fleet.split(fleet.names[:4], fleet.names[4:])
        calls = [fleet.request("host-0", fleet.make_key()) for _ in range(50)]
        minority = fleet.request("host-4", fleet.make_key())
        fleet.timers.advance(6.0)
        self.assertEqual([[Code.DONE]] * 50, [call.received_codes for call in calls])
        self.assertEqual([Code.CLAIM_NO_MAJORITY], minority.received_codes)

    def test_started_fleet_grants_keys(self):
        """A fleet that just started grants keys once the start margin has passed."""
        fleet = Fleet(1)
        fleet.timers.advance(START_MARGIN_S)
        claims = fleet.processes["host-3"].node.claims
        self.assertFalse(claims.ready)
        fleet.timers.advance(MAX_CLOCK_SKEW_S + 0.1)
        self.assertTrue(claims.ready)
        call = fleet.request("host-3", fleet.make_key())
        fleet.timers.advance(1.0)
        self.assertEqual([Code.DONE], call.received_codes)

    def test_keys_run_during_rolling_replacement(self):
        """New keys run at any time while all hosts are replaced one by one."""
        fleet = make_fleet()
        calls = []
        for index, name in enumerate(fleet.names):
            new = f"host-{index + 9}"
            fleet.publish([*(other for other in fleet.names if other != name), new])
            fleet.start(new)
            fleet.timers.advance(0.25)
            fleet.show_list(fleet.names)
            for _ in range(24):
                fleet.timers.advance(0.25)
                host = fleet.rng.choice(fleet.names)
                calls.append(fleet.request(host, fleet.make_key()))
            fleet.kill(name)
        fleet.timers.advance(5.0)
        self.assertEqual({(Code.DONE,)}, {tuple(call.received_codes) for call in calls})
        self.assertEqual([], fleet.find_violations())

    def test_expired_keys_and_lists_are_dropped(self):
        """Hosts drop keys that have expired, and lists that no key needs."""
        fleet = make_fleet()
        fleet.publish(["host-9", *fleet.names[1:]])
        fleet.start("host-9")
        fleet.show_list(fleet.names)
        for _ in range(20):
            fleet.request("host-1", fleet.make_key())
        fleet.timers.advance(640.0)
        for name in fleet.names:
            claims = fleet.processes[name].node.claims
            self.assertEqual([], claims.list_keys())
            self.assertEqual([2], [known.version for known in claims.lists.known_lists])

    def test_look_up_at_any_host(self):
        """Any host can look up the result of a key, without claiming it."""
        fleet = make_fleet()
        done, unknown = fleet.make_key(), fleet.make_key()
        fleet.request("host-0", done)
        fleet.timers.advance(1.0)
        found = [fleet.look_up(name, done) for name in fleet.names]
        not_found = fleet.look_up("host-1", unknown)
        fleet.timers.advance(3.0)
        self.assertEqual({(Code.DONE, b"paid")}, {tuple(items[0]) for items in found})
        self.assertEqual(Code.CLAIM_NO_MAJORITY, not_found[0].code)
        self.assertEqual(0, fleet.executions[unknown])
