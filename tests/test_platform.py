"""Tests of entry hosts as processes, with stand-ins for the users' platform."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from testtools import TestCase

from oleanderpier.utils import rank_candidates, run_coroutine
from standins.platform_fleet import PlatformFleet, stop_gracefully

# Bounds that the users set. MAX_STRETCH_S is added to CONFIG_APPLY_S where the store
# is unreachable.
CONFIG_APPLY_S = 2.0
MAX_STRETCH_S = 5.0
LEAVING_APPLY_S = 2.0
SHUTDOWN_GRACE_S = 8.0
SEEDS_APPLY_S = 3.0
# Generous bound of a process's start on a busy machine; not set by the users.
START_TIMEOUT_S = 15.0


async def wait_until(condition, timeout_s: float) -> bool:
    """Poll a condition; return whether it became true in time."""
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    while asyncio.get_running_loop().time() < deadline_s:
        if await condition():
            return True
        await asyncio.sleep(0.05)
    return False


class SilentServer:
    """TCP server that accepts connections and never responds."""

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._discard_data, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *error) -> None:
        self._server.close()

    async def _discard_data(self, reader, writer) -> None:
        try:
            while await reader.read(4096):
                pass
        except ConnectionError:
            return
        finally:
            writer.close()


class PlatformTest(TestCase):
    """Requests through entry hosts, and their guarantees during changes and faults."""

    def test_routes_and_credentials(self):
        """Known routes are served; unknown routes and credentials are refused."""
        run_coroutine(self._check_requests())

    async def _check_requests(self):
        async with PlatformFleet(1) as fleet:
            server = await fleet.add_server(event_count=3)
            await fleet.start_all()
            status, text = await fleet.fetch(0, "/chat/x?q=%41", "r1")
            self.assertEqual((200, 3), (status, text.count("data:")))
            status, text = await fleet.fetch(
                0, "/payout/x", "r2", **{"Tenant-Name": "forged", "Kv-Hold": "1"}
            )
            self.assertEqual((200, "i-0 ran r2"), (status, text))
            sent = server.request_headers[-1]
            self.assertEqual("w1", sent["Tenant-Name"])
            self.assertNotIn("Kv-Hold", sent)
            self.assertNotIn("Credential", sent)
            self.assertEqual(200, (await fleet.fetch(0, "/lookup/x", "r3"))[0])
            self.assertEqual(404, (await fleet.fetch(0, "/other/x", "r4"))[0])
            status, _ = await fleet.fetch(0, "/payout/x", "r5", Credential="other")
            self.assertEqual(401, status)
            self.assertEqual(["r1", "r2", "r3"], server.request_ids)
            self._check_process_restrictions(fleet.processes[0].pid)

    def _check_process_restrictions(self, pid: int):
        """Check that a process uses no io_uring and has no child processes."""
        folder = Path(f"/proc/{pid}/fd")
        targets = [os.readlink(entry) for entry in folder.iterdir()]
        self.assertEqual([], [name for name in targets if "io_uring" in name])
        children = Path(f"/proc/{pid}/task/{pid}/children").read_text()
        self.assertEqual("", children)

    def test_graceful_shutdown_cuts_no_stream(self):
        """SIGTERM cuts no stream and removes the host from the directory."""
        run_coroutine(self._check_shutdown())

    async def _check_shutdown(self):
        async with PlatformFleet(2) as fleet:
            await fleet.add_server(event_count=40)
            await fleet.start_all()
            front = fleet.settings[0]["Listen"]["Front"]

            async def is_listed() -> bool:
                return front in await fleet.list_addresses(1)

            was_listed = await wait_until(is_listed, 2.0)
            async with fleet.request(0, "/chat/x", "r1") as response:
                reading = asyncio.create_task(response.text())
                await asyncio.sleep(0.3)
                fleet.processes[0].send_signal(signal.SIGTERM)
                self.assertTrue(was_listed)

                async def is_removed() -> bool:
                    return front not in await fleet.list_addresses(1)

                self.assertTrue(await wait_until(is_removed, 1.0))
                self.assertEqual(503, await fleet.read_ready_status(0))
                self.assertEqual(200, (await fleet.fetch(0, "/payout/x", "r2"))[0])
                text = await reading
            self.assertEqual(40, text.count("data:"))
            async with asyncio.timeout(SHUTDOWN_GRACE_S):
                await fleet.processes[0].communicate()
            self.assertEqual(0, fleet.processes[0].returncode)

    def test_revoked_key_without_store(self):
        """A host that cannot reach the store gets a key's revocation from its peers."""
        run_coroutine(self._check_revoked_key())

    async def _check_revoked_key(self):
        async with PlatformFleet(3) as fleet:
            await fleet.add_server()
            fleet.settings[0]["Platform"]["Address"] = "127.0.0.1:1"
            await fleet.start_all()
            self.assertEqual(200, (await fleet.fetch(0, "/payout/x", "r1"))[0])
            fleet.publish_configuration(2, api_keys=("key-2",))

            async def is_refused() -> bool:
                return (await fleet.fetch(0, "/payout/x", "r"))[0] == 401

            self.assertTrue(
                await wait_until(is_refused, CONFIG_APPLY_S + MAX_STRETCH_S)
            )

    def test_store_silent_to_watchers(self):
        """Other hosts take over the watch if the store is silent to the watchers."""
        run_coroutine(self._check_silent_store())

    async def _check_silent_store(self):
        async with PlatformFleet(5) as fleet, SilentServer() as silent:
            await fleet.add_server()
            peers = [settings["Listen"]["Control"] for settings in fleet.settings]
            watchers = rank_candidates("watch", peers)[:2]
            for settings in fleet.settings:
                if settings["Listen"]["Control"] in watchers:
                    settings["Platform"]["Address"] = silent.address
            await fleet.start_all()
            await asyncio.sleep(3.0)
            fleet.publish_configuration(2, api_keys=("key-2",))
            for number in range(5):
                statuses = []

                async def is_refused(number=number, statuses=statuses) -> bool:
                    status, _ = await fleet.fetch(number, "/payout/x", "r")
                    statuses.append(status)
                    return status == 401

                refused = await wait_until(is_refused, CONFIG_APPLY_S)
                self.assertTrue(refused, (number, peers, watchers, statuses))

    def test_leaving_server_gets_no_requests(self):
        """A server registered as draining gets no new requests after the bound."""
        run_coroutine(self._check_leaving_server())

    async def _check_leaving_server(self):
        async with PlatformFleet(2) as fleet:
            leaving = await fleet.add_server()
            await fleet.add_server()
            await fleet.start_all()
            fleet.register_server(leaving, "draining")
            await asyncio.sleep(LEAVING_APPLY_S)
            before = len(leaving.request_ids)
            for number in range(20):
                status, _ = await fleet.fetch(number % 2, "/payout/x", f"r{number}")
                self.assertEqual(200, status)
            self.assertEqual(before, len(leaving.request_ids))

    def test_started_host_learns_caches(self):
        """A new host sends prompts to the server that has cached them for others."""
        run_coroutine(self._check_caches())

    async def _check_caches(self):
        # Host 3 is not a seed, so that the others become ready without it.
        async with PlatformFleet(4) as fleet:
            holder = await fleet.add_server(event_count=1)
            for number in range(3):
                await fleet.start_host(number)
            for number in range(3):
                await fleet.wait_until_ready(number)
            prompts = [f"a{n}:800,b{n}:40" for n in range(6)]
            for number, prompt in enumerate(prompts):
                response = await fleet.fetch(
                    0, "/chat/x", f"r{number}", **{"Prompt-Prefix": prompt}
                )
                self.assertEqual(200, response[0])
            await asyncio.sleep(1.0)
            for _ in range(4):
                await fleet.add_server(event_count=1)
            await fleet.start_host(3)
            await fleet.wait_until_ready(3)
            await asyncio.sleep(1.0)
            for number, prompt in enumerate(prompts):
                response = await fleet.fetch(
                    3, "/chat/x", f"s{number}", **{"Prompt-Prefix": prompt}
                )
                self.assertEqual(200, response[0])
            sent = {f"s{number}" for number in range(len(prompts))}
            self.assertEqual(sent, sent & set(holder.request_ids))

    def test_all_hosts_killed_while_store_refuses(self):
        """Restarted hosts refuse requests until the store responds, then serve."""
        run_coroutine(self._check_restart_of_all())

    async def _check_restart_of_all(self):
        async with PlatformFleet(2) as fleet:
            await fleet.add_server()
            await fleet.start_all()
            for process in fleet.processes[:2]:
                process.kill()
                await process.communicate()
            fleet.store.refuses_calls = True
            for number in range(2):
                await fleet.start_host(number)

            async def is_listening() -> bool:
                return await fleet.read_ready_status(0) != 0

            self.assertTrue(await wait_until(is_listening, START_TIMEOUT_S))
            await asyncio.sleep(1.5)
            self.assertEqual(503, await fleet.read_ready_status(0))
            self.assertEqual(503, (await fleet.fetch(0, "/payout/x", "r1"))[0])
            fleet.store.refuses_calls = False
            await fleet.wait_until_ready(0)
            self.assertEqual(200, (await fleet.fetch(0, "/payout/x", "r2"))[0])

    def test_unread_log(self):
        """Requests are served while the log is not read, and each has its line."""
        run_coroutine(self._check_unread_log())

    async def _check_unread_log(self):
        async with PlatformFleet(1) as fleet:
            await fleet.add_server()
            await fleet.start_all()
            for number in range(600):
                status, _ = await fleet.fetch(0, "/payout/x", f"r{number}")
                self.assertEqual(200, status)
            status, output = await stop_gracefully(fleet.processes[0])
            self.assertEqual(0, status)
            lines = [json.loads(line) for line in output.splitlines()]
            ends = [line for line in lines if line["event"] == "request:end"]
            self.assertEqual(600, len({line["request"] for line in ends}))

    def test_request_log_has_callers_status(self):
        """Each request has one log line, with the status that its caller received."""
        run_coroutine(self._check_request_log())

    async def _check_request_log(self):
        async with PlatformFleet(1) as fleet:
            server = await fleet.add_server(event_count=3)
            await fleet.start_all()
            expected_statuses = {}
            for number, path in enumerate(("/chat/x", "/payout/x", "/other/x")):
                request_id = f"r{number}"
                expected_statuses[request_id] = (
                    await fleet.fetch(0, path, request_id)
                )[0]
            expected_statuses["r3"] = (
                await fleet.fetch(0, "/payout/x", "r3", Credential="stolen")
            )[0]
            await server.stop()
            expected_statuses["r4"] = (await fleet.fetch(0, "/payout/x", "r4"))[0]
            self.assertEqual(
                [200, 200, 404, 401, 503], list(expected_statuses.values())
            )
            async with SilentServer() as silent:
                server.address = silent.address
                fleet.register_server(server)
                await asyncio.sleep(LEAVING_APPLY_S)
                with self.assertRaises(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await fleet.fetch(0, "/payout/x", "r5")
                expected_statuses["r5"] = 0
                await asyncio.sleep(0.5)
            metrics = await fleet.read_metrics(0)
            _, output = await stop_gracefully(fleet.processes[0])
        lines = [json.loads(line) for line in output.splitlines()]
        ends = [line for line in lines if line["event"] == "request:end"]
        self.assertEqual(
            expected_statuses, {line["request"]: line["status"] for line in ends}
        )
        self.assertEqual(len(expected_statuses), len(ends))
        sends = [
            (line["request"], line["server"], line["ending"])
            for line in lines
            if line["event"] == "forward:send"
        ]
        self.assertIn(("r5", "i-0", "interrupted"), sends)
        failures = [line for line in ends if line["code"]]
        self.assertEqual(4, sum(1 for line in failures if line["reason"]))
        for line in ends:
            kind = {"chat": "stream", "payout": "once"}.get(line["route"], "unknown")
            name = f'oleanderpier_requests_total{{code="{line["name"]}",kind="{kind}"}}'
            self.assertEqual(1.0, metrics[name], name)

    def test_changed_seeds_are_applied(self):
        """New seeds are read with and without a signal, and no stream is cut."""
        for signalled in (True, False):
            run_coroutine(self._check_settings_change(signalled))

    async def _check_settings_change(self, signalled: bool):
        async with PlatformFleet(2) as fleet:
            await fleet.add_server(event_count=30)
            seeds = fleet.settings[0]["Seeds"]
            for settings in fleet.settings:
                settings["Seeds"] = [settings["Listen"]["Control"]]
            await fleet.start_all()
            self.assertEqual(1, len(await fleet.list_addresses(0)))
            async with fleet.request(0, "/chat/x", "r1") as response:
                fleet.settings[0]["Seeds"] = seeds
                fleet.write_settings(0)
                if signalled:
                    fleet.processes[0].send_signal(signal.SIGHUP)

                async def is_known() -> bool:
                    return len(await fleet.list_addresses(0)) == 2

                self.assertTrue(await wait_until(is_known, SEEDS_APPLY_S + 2.0))
                self.assertEqual(30, (await response.text()).count("data:"))

    def test_invalid_settings(self):
        """An invalid settings file ends the process with a code and the field."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump({"NodeName": "h", "Zone": 7}, file)
            file.flush()
            process = subprocess.run(
                [sys.executable, "-m", "oleanderpier.platform"],
                env={**os.environ, "OLEANDERPIER_BOOT": file.name},
                capture_output=True,
                check=False,
            )
        error = json.loads(process.stderr)
        self.assertEqual((2, 301), (process.returncode, error["code"]))
        self.assertIn("$.", error["text"])
