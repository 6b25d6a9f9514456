"""Tests of placement on a simulated fleet, with faults and naive baselines."""

import random
from collections import Counter

from testtools import TestCase

import oleanderpier.placement.placement as placement_module
from oleanderpier.placement import (
    AdmissionController,
    FleetLoad,
    HoldingsReply,
    Outcome,
    PermitRequest,
    Renewal,
    Topology,
)
from oleanderpier.placement.tests.fleet import Fleet, make_server
from oleanderpier.results import Code, Failure
from oleanderpier.utils import rank_candidates

SLOTS = 16
LOAD_MULTIPLE = 1.25
FAILURE_DETECTION_S = 3.0
FIRST_TOKEN_TARGET_S = 1.6


class HoldingsIgnoringController(AdmissionController):
    """A naive owner that admits at once and ignores permits held elsewhere."""

    def begin_grace_period(self):
        """Start without asking hosts for their permits."""

    def handle(self, message, sender):
        """Handle all messages except those that list held permits."""
        if not isinstance(message, HoldingsReply | Renewal):
            super().handle(message, sender)


def kill_owner(fleet):
    """The owner dies, and the others detect it after FAILURE_DETECTION_S."""
    owner = fleet.find_owners()[0]
    fleet.kill_host(owner)
    fleet.run_load(33, FAILURE_DETECTION_S)
    fleet.set_live_hosts_on_all([n for n in fleet.names if n != owner])


def restart_owner(fleet):
    """The owner restarts before the others detect that it died."""
    owner = fleet.find_owners()[0]
    fleet.kill_host(owner)
    fleet.start_host(owner)
    fleet.set_live_hosts(owner, fleet.names)


def readd_owner(fleet):
    """The owner is wrongly declared dead, and then live again."""
    owner = fleet.find_owners()[0]
    fleet.set_live_hosts_on_all([n for n in fleet.names if n != owner])
    fleet.run_load(33, 5.0)
    fleet.set_live_hosts_on_all(fleet.names)


def drain_owner(fleet):
    """The owner is leaving and finishes its requests."""
    owner = fleet.find_owners()[0]
    fleet.set_live_hosts_on_all(fleet.names, leaving=[owner])
    fleet.run_load(33, 5.0)
    fleet.set_live_hosts_on_all(fleet.names)


def split_ownership(fleet):
    """Two hosts consider themselves the pool's owner for 5 s."""
    owner = fleet.find_owners()[0]
    others = [n for n in fleet.names if n != owner]
    pool = str(fleet.get_admission(owner).pool.number)
    for name in rank_candidates(pool, others)[:2]:
        fleet.set_live_hosts(name, others)
    assert len(fleet.find_owners()) == 2
    fleet.run_load(33, 5.0)
    fleet.set_live_hosts_on_all(fleet.names)


def isolate_owner(fleet):
    """The owner is partitioned from all hosts, but not declared dead."""
    owner = fleet.find_owners()[0]
    fleet.blocked_links = {
        (a, b) for a in fleet.names for b in fleet.names if owner in (a, b)
    }
    fleet.run_load(33, 5.0)
    fleet.blocked_links = set()


def kill_entry_host(fleet):
    """An entry host that holds permits dies."""
    entry = next(n for n in fleet.names if n not in fleet.find_owners())
    fleet.kill_host(entry)
    fleet.run_load(33, FAILURE_DETECTION_S)
    fleet.set_live_hosts_on_all([n for n in fleet.names if n != entry])


def pause_owner(fleet):
    """The owner is paused for 30 s and resumes with outdated state."""
    owner = fleet.find_owners()[0]
    others = [n for n in fleet.names if n != owner]
    fleet.pause_host(owner, 30.0)
    fleet.run_load(33, FAILURE_DETECTION_S)
    for name in others:
        fleet.set_live_hosts(name, others)
    fleet.run_load(33, 30.0 - FAILURE_DETECTION_S + 0.5)
    fleet.set_live_hosts_on_all(fleet.names)


def flap_server(fleet):
    """A server alternates between live and leaving each second."""
    for turn in range(10):
        state = "live" if turn % 2 else "leaving"
        servers = [*fleet.servers[:-1], make_server("e8", SLOTS, state=state)]
        fleet.publish_servers(servers)
        fleet.run_load(33, 1.0)


def publish_different_servers(fleet):
    """Half of the hosts have a list in which one server is replaced."""
    other = [*fleet.servers[:-1], make_server("e9", SLOTS)]
    fleet.publish_servers(other, fleet.names[:2])
    fleet.run_load(33, 5.0)
    fleet.publish_servers(fleet.servers)


def lose_messages(fleet):
    """5% of the messages are lost."""
    fleet.loss_probability = 0.05
    fleet.run_load(33, 10.0)
    fleet.loss_probability = 0.0


def kill_two_owners(fleet):
    """The owner dies, and then its successor during the takeover."""
    for _ in range(2):
        owner = fleet.find_owners()[0]
        fleet.kill_host(owner)
        alive = [n for n in fleet.names if n in fleet.placements]
        fleet.set_live_hosts_on_all(alive)
        fleet.run_load(33, 0.1)


# Each fault with the allowed peak load of a server during it, as a multiple of
# the server's slots.
FAULTS = [
    (kill_owner, 2.0),
    (restart_owner, 1.0),
    (readd_owner, 1.0),
    (drain_owner, 1.0),
    (split_ownership, 2.0),
    (isolate_owner, 2.0),
    (kill_entry_host, 1.0),
    (pause_owner, 2.0),
    (flap_server, 1.0),
    (publish_different_servers, 1.0),
    (lose_messages, 2.0),
    (kill_two_owners, 1.0),
]


def run_faults(faults, **options):
    """Run a fleet under load through faults and let it settle.

    Returns:
        The fleet, and the peak load of a server as a multiple of its slots.
    """
    fleet = Fleet(**options)
    peak = Counter()

    def record_peak():
        for server, running in fleet.running.items():
            peak[server] = max(peak[server], running)

    fleet.timers.subscribe(0.01, record_peak)
    fleet.run_load(33, 8.0)
    for fault in faults:
        fault(fleet)
        fleet.run_load(33, fleet.rng.choice([0.1, 1.0, 3.0]))
    fleet.run_load(33, 14.0)
    fleet.settle()
    return fleet, max(peak.values()) / SLOTS


class FaultTest(TestCase):
    """After faults, a single owner counts the actual requests in flight again."""

    def test_load_is_bounded_and_count_recovers_after_each_fault(self):
        """The load is bounded during a fault and the count is exact 14 s after it."""
        for fault, allowed in FAULTS:
            with self.subTest(fault=fault.__name__):
                fleet, peak = run_faults([fault])
                self.assertTrue(peak <= allowed, f"{peak} times the slots")
                self.assertEqual([], self._find_count_differences(fleet))
                self.assertEqual([], self._find_late_or_unused(fleet))

    def test_count_recovers_after_successive_faults(self):
        """Seeded sequences of four faults, which may overlap."""
        fatal = (kill_owner, kill_entry_host, kill_two_owners)
        faults = [fault for fault, _ in FAULTS if fault not in fatal]
        for seed in range(8):
            chosen = random.Random(seed).choices(faults, k=3)
            chosen.append(fatal[seed % 3])
            with self.subTest(seed=seed, faults=[f.__name__ for f in chosen]):
                fleet, peak = run_faults(chosen, hosts=5, seed=seed)
                self.assertTrue(peak <= 2.0, f"{peak} times the slots")
                self.assertEqual([], self._find_count_differences(fleet))
                self.assertEqual([], self._find_late_or_unused(fleet))

    def test_owner_that_ignores_holdings_overloads_servers(self):
        """An owner that does not ask for held permits overloads servers.

        Shows that the faults do detect a wrong count.
        """
        self.patch(placement_module, "AdmissionController", HoldingsIgnoringController)
        overloaded = []
        for fault in (restart_owner, readd_owner, kill_two_owners):
            _, peak = run_faults([fault])
            overloaded.append(peak > 1.0)
        self.assertEqual([True] * 3, overloaded)

    def _find_count_differences(self, fleet):
        """Return the owners if not one; else the counts if owner and servers differ."""
        owners = fleet.find_owners()
        if len(owners) != 1:
            return owners
        loads = fleet.get_admission(owners[0]).loads.servers
        counted = +Counter({name: load.in_flight for name, load in loads.items()})
        actual = +fleet.running
        return [] if counted == actual else [counted, actual]

    def _find_late_or_unused(self, fleet):
        """Return requests with a late result, and permits held without a stream."""
        late = [
            r
            for r, wait_s in fleet.wait_times_s.items()
            if wait_s > FIRST_TOKEN_TARGET_S + 0.01
        ]
        held = {
            p.request for h in fleet.placements.values() for p in h.list_held_permits()
        }
        unused = held - {request for _, request in fleet.live_permits}
        return sorted({*late, *unused} - fleet.pending_at_pause)


class PlacementTest(TestCase):
    """Individual rules between entry hosts and a pool's owner."""

    def test_leaving_server_known_to_one_host_gets_no_requests(self):
        """A notice from one entry host stops new requests of all hosts."""
        fleet = Fleet()
        fleet.run_load(33, 5.0)
        entry = next(n for n in fleet.names if n not in fleet.find_owners())
        fleet.placements[entry].record_server_leaving("e0")
        fleet.timers.advance(0.01)
        before = fleet.running["e0"]
        fleet.run_load(33, 10.0, hold_s=60.0)
        self.assertTrue(fleet.running["e0"] <= before)

    def test_published_leaving_server_keeps_its_streams(self):
        """A published leaving server keeps its streams and gets no new ones."""
        fleet = Fleet()
        fleet.run_load(33, 5.0, hold_s=60.0)
        before = fleet.running["e0"]
        leaving = [make_server("e0", SLOTS, state="leaving"), *fleet.servers[1:]]
        fleet.publish_servers(leaving, fleet.find_owners())
        fleet.run_load(10, 5.0, hold_s=60.0)
        self.assertTrue(0 < fleet.running["e0"] <= before)

    def test_failing_server_gets_few_requests(self):
        """A server that fails all requests gets only a few trial requests."""
        fleet = Fleet()
        attempts = Counter()
        for number in range(400):
            fleet.request_permit("h0", f"c{number}", hold_s=0.05, outcome=Outcome.DONE)
            fleet.timers.advance(0.02)
            for (host, _), permit in list(fleet.live_permits.items()):
                if permit.backend_server == "e0":
                    attempts["e0"] += 1
                    del fleet.live_permits[host, permit.request]
                    fleet.running["e0"] -= 1
                    fleet.placements[host].release(permit, Outcome.FAILED)
        self.assertTrue(1 <= attempts["e0"] <= 8, attempts)

    def test_surge_leaves_other_workspaces_their_share(self):
        """Other workspaces are served; the surging one gets a time to retry."""
        quiet, surging = self._run_surge()
        refused = [r for r in quiet if isinstance(r, Failure)]
        self.assertEqual([], refused)
        codes = Counter(r.code for r in surging if isinstance(r, Failure))
        self.assertTrue(codes[Code.WORKSPACE_OVER_SHARE] > 100, codes)
        waits = [r.retry_after_s for r in surging if isinstance(r, Failure)]
        self.assertTrue(min(waits) > 0)

    def test_surge_starves_other_workspaces_without_fair_queue(self):
        """With a first-come first-served queue, the surge delays all workspaces."""

        def first_come(queue, in_flight):
            return iter(sorted(queue, key=lambda queued: queued.sequence))

        queue_class = placement_module.AdmissionController.__init__.__globals__[
            "FairQueue"
        ]
        self.patch(queue_class, "iterate_in_grant_order", first_come)
        self.patch(queue_class, "count_ahead", lambda queue, *_: len(queue))
        quiet, _ = self._run_surge()
        refused = [r for r in quiet if isinstance(r, Failure)]
        self.assertTrue(len(refused) > len(quiet) / 4)

    def _run_surge(self):
        """Return the results of three quiet workspaces and of a surging one."""
        fleet = Fleet()
        fleet.run_load(10, 10.0, workspaces=3)
        requests = {"quiet": [], "surging": []}
        for number in range(1500):
            host = fleet.names[number % 4]
            hold_s = fleet.rng.expovariate(1 / 4.0)
            surging = fleet.request_permit(
                host, f"s{number % 300}", "surge", hold_s=hold_s
            )
            requests["surging"].append(surging)
            if number % 30 == 0:
                quiet = fleet.request_permit(
                    host, f"q{number}", f"w{number % 3}", hold_s=hold_s
                )
                requests["quiet"].append(quiet)
            fleet.timers.advance(0.01)
        fleet.timers.advance(10.0)
        return ([fleet.results[r] for r in names] for names in requests.values())

    def test_overloaded_pool_refuses_chats_that_have_another_pool(self):
        """A pool above the fleet's mean load refuses chats that have another pool."""
        self.assertTrue(self._measure_busy_pool_load() <= LOAD_MULTIPLE)

    def test_pool_is_overloaded_without_fleet_load(self):
        """Without the fleet's mean load, the same chats overload their pool."""
        self.patch(FleetLoad, "get_percent", lambda fleet_load: 0)
        self.assertTrue(self._measure_busy_pool_load() > LOAD_MULTIPLE)

    def _measure_busy_pool_load(self):
        """Return the ratio of a pool's load to the mean if it has twice the chats."""
        fleet = Fleet()
        domains = [f"d{i % 4}" for i in range(48)]
        servers = [make_server(f"e{i}", 32, domain=d) for i, d in enumerate(domains)]
        fleet.publish_servers(servers)
        fleet.timers.advance(1.0)
        topology = Topology(servers)
        busy_pool = topology.find_pool(servers[0]["name"])
        for number in range(1600):
            chat = f"c{number}"
            first_pool = topology.rank_pools("engine", "model", chat)[0]
            if first_pool.number != busy_pool.number and number % 2:
                continue
            fleet.request_permit(fleet.names[number % 4], chat, hold_s=60.0)
            fleet.timers.advance(0.005)
        fleet.timers.advance(0.1)
        names = [server["name"] for server in busy_pool.servers]
        pool_mean = sum(fleet.running[name] for name in names) / len(names)
        return pool_mean / (sum(fleet.running.values()) / len(servers))

    def test_permits_follow_a_server_to_its_new_pool(self):
        """When added servers change the pools, the new owners count all permits."""
        fleet = Fleet()
        fleet.run_load(33, 5.0, hold_s=60.0)
        more = [make_server(f"n{i}", SLOTS, domain="d2") for i in range(12)]
        fleet.publish_servers([*fleet.servers, *more])
        fleet.timers.advance(1.0)
        counted = Counter()
        for placement in fleet.placements.values():
            for pool in placement.list_owned_pools():
                counted.update({s.name: s.in_flight for s in pool.servers})
        self.assertEqual(+fleet.running, +counted)

    def test_service_calls_are_spread_evenly(self):
        """Service calls are spread evenly, and refused if no server provides it."""
        fleet = Fleet()
        request = fleet.request_permit("h0", work_class="lookup")
        self.assertEqual(Code.NO_BACKEND_SERVER, fleet.results[request].code)
        services = [make_server(f"s{i}", 4, kind="service") for i in range(3)]
        fleet.publish_servers([*fleet.servers, *services])
        fleet.timers.advance(1.0)
        for _ in range(9):
            fleet.request_permit("h1", work_class="lookup")
        fleet.timers.advance(0.1)
        self.assertEqual([3, 3, 3], [fleet.running[f"s{i}"] for i in range(3)])

    def test_explain_names_owner_and_recent_server(self):
        """The owner reports the chat's server; all hosts report the owner."""
        fleet = Fleet()
        request = fleet.request_permit("h0", "c1")
        fleet.timers.advance(0.1)
        owner = fleet.find_owners()[0]
        explanation = fleet.placements[owner].explain("c1", "quick")
        self.assertEqual(
            [fleet.results[request].backend_server], explanation.recent_servers
        )
        self.assertEqual(9, len(explanation.server_statuses))
        for placement in fleet.placements.values():
            self.assertEqual(owner, placement.explain("c1", "quick").owner)

    def test_unknown_class_is_refused(self):
        """A class of work that is not in the configuration is refused."""
        fleet, results = Fleet(), []
        request = PermitRequest("r", "c", "w", "none")
        fleet.placements["h0"].request(request, results.append)
        self.assertEqual(Code.CLASS_UNKNOWN, results[0].error.code)
