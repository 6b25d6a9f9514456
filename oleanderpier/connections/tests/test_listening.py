"""Tests of the check whether a server listens."""

import socket

from testtools import TestCase

from oleanderpier.connections import Listening, check_listening, refuses_connections
from oleanderpier.utils import LoopTimers, run_coroutine

QUEUED_CONNECTIONS = 4
HOSTS = {"127.0.0.1": socket.AF_INET, "[::1]": socket.AF_INET6}


async def check(address: str) -> bool:
    """Return whether nothing listens at an address."""
    return await refuses_connections(address, LoopTimers())


class RefusesConnectionsTest(TestCase):
    """Only a port at which nothing listens counts."""

    def test_port_without_listener_is_found_at_addresses_of_each_version(self):
        """An IPv6 address stands in brackets."""
        for host, family in HOSTS.items():
            with socket.create_server((host.strip("[]"), 0), family=family) as listener:
                address = f"{host}:{listener.getsockname()[1]}"
                self.assertFalse(run_coroutine(check(address)), address)
            self.assertTrue(run_coroutine(check(address)), address)

    def test_listener_that_accepts_nothing_is_unknown(self):
        """A full queue of new connections says nothing about the server."""
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
            address = listener.getsockname()
            waiting = [socket.socket() for _ in range(QUEUED_CONNECTIONS)]
            for each in waiting:
                each.setblocking(False)
                each.connect_ex(address)
            found = run_coroutine(
                check_listening(f"127.0.0.1:{address[1]}", LoopTimers())
            )
            for each in waiting:
                each.close()
        self.assertEqual(Listening.UNKNOWN, found)
