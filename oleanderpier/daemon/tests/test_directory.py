"""Tests of the directory of hosts for callers."""

import random
from types import SimpleNamespace

from testtools import TestCase

from oleanderpier.configuration import Documents
from oleanderpier.daemon.directory import LIST_CACHE_S, MIN_UPTIME_S, Directory
from oleanderpier.utils import ManualTimers

HOST_NAMES = [f"host-{index}" for index in range(6)]
SAMPLE_COUNT = 50


class DirectoryTest(TestCase):
    """Callers receive the addresses of hosts that can serve them."""

    def setUp(self):
        """Create a directory of six hosts that started long ago."""
        super().setUp()
        self.timers = ManualTimers()
        self.documents = Documents()
        self.alive = list(HOST_NAMES)
        self.started = dict.fromkeys(HOST_NAMES, 1)
        self.ready = True
        members = SimpleNamespace(
            list_alive=lambda: self.alive, find_start_time=self.started.get
        )
        self.directory = Directory(
            HOST_NAMES[0],
            self.documents,
            members,
            self.timers,
            random.Random(3),
            lambda: self.ready,
        )
        self.publish(1, {})

    def publish(self, version, states):
        """Publish a hosts document; ``states`` replaces the state of some hosts."""
        hosts = [
            {
                "name": name,
                "failure_domain": "duluth",
                "address": "127.0.0.1",
                "caller_port": 1,
                "peer_port": 2,
                "operator_port": 3,
                "state": states.get(name, "live"),
            }
            for name in HOST_NAMES
        ]
        self.documents.apply_value("hosts", {"version": version, "hosts": hosts})

    def collect_addresses(self):
        """Return the names of all hosts in ``SAMPLE_COUNT`` address lists."""
        self.timers.advance(LIST_CACHE_S)
        draws = [self.directory.choose_hosts() for _ in range(SAMPLE_COUNT)]
        return {host["name"] for hosts in draws for host in hosts}

    def test_all_eligible_hosts_are_returned(self):
        """Every host appears in some address list."""
        self.assertEqual(set(HOST_NAMES), self.collect_addresses())

    def test_leaving_dead_and_starting_hosts_are_excluded(self):
        """Leaving, dead and just started hosts, and this host until it is ready."""
        self.publish(2, {HOST_NAMES[1]: "leaving"})
        self.alive.remove(HOST_NAMES[2])
        self.started[HOST_NAMES[3]] = int(self.timers.wall())
        self.ready = False
        self.assertEqual({HOST_NAMES[4], HOST_NAMES[5]}, self.collect_addresses())
        self.timers.advance(MIN_UPTIME_S)
        self.assertEqual(
            {HOST_NAMES[3], HOST_NAMES[4], HOST_NAMES[5]}, self.collect_addresses()
        )

    def test_starting_hosts_are_returned_if_there_are_no_others(self):
        """If all hosts have just started, as in a new fleet, all are listed."""
        self.ready = False
        self.started.update(dict.fromkeys(HOST_NAMES, int(self.timers.wall())))
        self.assertEqual(set(HOST_NAMES), self.collect_addresses())

    def test_invalidate_discards_cached_list(self):
        """A host that left is not returned from the cached list."""
        self.collect_addresses()
        self.alive.remove(HOST_NAMES[5])
        self.directory.invalidate()
        names = {host["name"] for host in self.directory.choose_hosts()}
        self.assertNotIn(HOST_NAMES[5], names)

    def test_no_hosts_without_hosts_document(self):
        """Without a hosts document in force the list is empty."""
        empty = Directory(
            HOST_NAMES[0], Documents(), None, self.timers, random.Random(1), bool
        )
        self.assertEqual([], empty.choose_hosts())
