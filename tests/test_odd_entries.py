"""Tests of hosts, as processes, with entries of another writer among the servers."""

import asyncio
import json

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.platform_fleet import PlatformFleet

ENTRY = {
    "Service": "office",
    "Address": "127.0.0.1:9",
    "Zone": "duluth",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 1,
}
# The users' bound of a change in the store.
APPLY_S = 2.0
REQUESTS = 12
# Fields that another writer may not know.
FURTHER_FIELDS = ("Version", "Slots", "ColdRemainingMs", "Sequence")


def make_entry(**changes) -> bytes:
    """Return the JSON of an entry with some fields changed."""
    return json.dumps({**ENTRY, **changes}).encode()


ODD_VALUES = {
    "nested": b"[" * 100_000 + b"]" * 100_000,
    "nested_field": make_entry()[:-1] + b',"x":' + b"[" * 9000 + b"]" * 9000 + b"}",
    "large_number": make_entry(born=10**30),
    "large_negative_number": make_entry(born=-(10**30)),
    "long_number": make_entry()[:-1] + b',"born":' + b"9" * 9000 + b"}",
    "port_out_of_range": make_entry(Address="127.0.0.1:70000"),
    "long_port": make_entry(Address="127.0.0.1:" + "9" * 5000),
    "port_of_other_digits": make_entry(Address="127.0.0.1:\u0668\u0660"),
    "port_zero": make_entry(Address="127.0.0.1:0"),
    "path_in_address": make_entry(Address="127.0.0.1/x?:80"),
    "address_without_brackets": make_entry(Address="::1:8080"),
    "not_text": b"\xff\xfe\x00",
}


class OddEntryTest(TestCase):
    """An odd entry names no server, and the others hold."""

    def test_hosts_follow_the_list_after_an_odd_entry(self):
        """A server that joins later is used; payouts reach no odd address."""
        run_coroutine(self._check())

    def test_incomplete_entry_names_no_server(self):
        """It neither moves a server to another service nor ends its drain."""
        run_coroutine(self._check_incomplete())

    async def _check_incomplete(self) -> None:
        async with PlatformFleet(2) as fleet:
            sound, other, leaving = [await fleet.add_server() for _ in range(3)]
            fleet.register_server(other, Service="ledger")
            fleet.register_server(leaving, "draining")
            await fleet.start_all()
            for server in (other, leaving):
                entry = {**ENTRY, "Address": server.address}
                for name in FURTHER_FIELDS:
                    del entry[name]
                fleet.store.put(f"servers/{server.instance_id}", entry)
            await asyncio.sleep(APPLY_S)
            results = [
                await fleet.fetch(number % 2, f"/payout/{number}", f"r{number}")
                for number in range(REQUESTS)
            ]
        self.assertEqual({200}, {status for status, _ in results})
        self.assertEqual(REQUESTS, len(sound.request_ids))
        self.assertEqual([[], []], [list(s.request_ids) for s in (other, leaving)])

    async def _check(self) -> None:
        async with PlatformFleet(2) as fleet:
            first = await fleet.add_server()
            await fleet.start_all()
            for name, data in ODD_VALUES.items():
                fleet.store.put_bytes(f"servers/odd-{name}", data)
                fleet.store.put_bytes(f"servers/odd\n{name}", make_entry())
            fleet.store.put_bytes("servers/", make_entry())
            await asyncio.sleep(APPLY_S)
            second = await fleet.add_server()
            fleet.register_server(first, "draining")
            # The first host reads the list anew.
            fleet.processes[0].kill()
            await fleet.processes[0].wait()
            await fleet.start_host(0)
            await fleet.wait_until_ready(0)
            await asyncio.sleep(APPLY_S)
            results = [
                await fleet.fetch(number % 2, f"/payout/{number}", f"r{number}")
                for number in range(REQUESTS)
            ]
            self.assertEqual([None] * 2, [p.returncode for p in fleet.processes[1:]])
        self.assertEqual({200}, {status for status, _ in results})
        self.assertEqual(REQUESTS, len(second.request_ids))
