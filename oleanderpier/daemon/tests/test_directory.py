"""Tests of the directory."""

import random
from types import SimpleNamespace

from testtools import TestCase

from oleanderpier.configuration import Documents
from oleanderpier.daemon.directory import KEPT_S, SETTLE_S, Directory
from oleanderpier.utils import ManualTimers

HOSTS = [f"host-{index}" for index in range(6)]
DRAWS = 50


class DirectoryTest(TestCase):
    """Callers are told of hosts that can serve them."""

    def setUp(self):
        """Make a directory of six hosts that started long ago."""
        super().setUp()
        self.timers = ManualTimers()
        self.documents = Documents()
        self.alive = list(HOSTS)
        self.started = dict.fromkeys(HOSTS, 1)
        self.ready = True
        members = SimpleNamespace(
            list_alive=lambda: self.alive, find_started=self.started.get
        )
        self.directory = Directory(
            HOSTS[0],
            self.documents,
            members,
            self.timers,
            random.Random(3),
            lambda: self.ready,
        )
        self.publish(1, {})

    def publish(self, version, states):
        """Publish the hosts with some states changed."""
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
            for name in HOSTS
        ]
        self.documents.apply_value("hosts", {"version": version, "hosts": hosts})

    def draw(self):
        """Return every host that many callers are told of."""
        self.timers.advance(KEPT_S)
        draws = [self.directory.choose_hosts() for _ in range(DRAWS)]
        return {host["name"] for hosts in draws for host in hosts}

    def test_all_are_named(self):
        """Each host gets its share of callers."""
        self.assertEqual(set(HOSTS), self.draw())

    def test_who_is_left_out(self):
        """Leaving, dead and young hosts, and this one until it is ready."""
        self.publish(2, {HOSTS[1]: "leaving"})
        self.alive.remove(HOSTS[2])
        self.started[HOSTS[3]] = int(self.timers.wall())
        self.ready = False
        self.assertEqual({HOSTS[4], HOSTS[5]}, self.draw())
        self.timers.advance(SETTLE_S)
        self.assertEqual({HOSTS[3], HOSTS[4], HOSTS[5]}, self.draw())

    def test_young_fleet(self):
        """While every host is young, all are named."""
        self.ready = False
        self.started.update(dict.fromkeys(HOSTS, int(self.timers.wall())))
        self.assertEqual(set(HOSTS), self.draw())

    def test_refresh(self):
        """A host that left is not named from the list that was kept."""
        self.draw()
        self.alive.remove(HOSTS[5])
        self.directory.invalidate()
        names = {host["name"] for host in self.directory.choose_hosts()}
        self.assertNotIn(HOSTS[5], names)

    def test_nothing_published(self):
        """Without a list of hosts nobody is named."""
        empty = Directory(
            HOSTS[0], Documents(), None, self.timers, random.Random(1), bool
        )
        self.assertEqual([], empty.choose_hosts())
