"""Checks of entry hosts as processes on stand-ins of the users' platform."""

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

# The users' bounds, in seconds.
CONFIG_APPLY_S = 2.0
MAX_STRETCH_S = 5.0
DRAIN_S = 2.0
GRACE_S = 8.0
SEED_LAG_S = 3.0
# To the first answer of a process on a busy machine; no bound of the users.
START_S = 15.0


async def wait_for(check, within_s: float) -> bool:
    """Return whether a check comes true in time."""
    deadline_s = asyncio.get_running_loop().time() + within_s
    while asyncio.get_running_loop().time() < deadline_s:
        if await check():
            return True
        await asyncio.sleep(0.05)
    return False


class _Silent:
    """Takes connections and never answers."""

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *error) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        try:
            while await reader.read(4096):
                pass
        except ConnectionError:
            return
        finally:
            writer.close()


class PlatformTest(TestCase):
    """The whole path, and what must hold on it."""

    def test_requests(self):
        """Streams, payouts and lookups are answered; what is unknown is not."""
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
            self._check_process(fleet.processes[0].pid)

    def _check_process(self, pid: int):
        """No io_uring, and no child processes."""
        folder = Path(f"/proc/{pid}/fd")
        targets = [os.readlink(entry) for entry in folder.iterdir()]
        self.assertEqual([], [name for name in targets if "io_uring" in name])
        children = Path(f"/proc/{pid}/task/{pid}/children").read_text()
        self.assertEqual("", children)

    def test_graceful_shutdown(self):
        """SIGTERM cuts no stream, and takes the host from the directory."""
        run_coroutine(self._check_shutdown())

    async def _check_shutdown(self):
        async with PlatformFleet(2) as fleet:
            await fleet.add_server(event_count=40)
            await fleet.start_all()
            front = fleet.settings[0]["Listen"]["Front"]

            async def is_listed() -> bool:
                return front in await fleet.list_addresses(1)

            known_before = await wait_for(is_listed, 2.0)
            async with fleet.request(0, "/chat/x", "r1") as response:
                reading = asyncio.create_task(response.text())
                await asyncio.sleep(0.3)
                fleet.processes[0].send_signal(signal.SIGTERM)
                self.assertTrue(known_before)

                async def is_gone() -> bool:
                    return front not in await fleet.list_addresses(1)

                self.assertTrue(await wait_for(is_gone, 1.0))
                self.assertEqual(503, await fleet.read_ready_status(0))
                self.assertEqual(200, (await fleet.fetch(0, "/payout/x", "r2"))[0])
                text = await reading
            self.assertEqual(40, text.count("data:"))
            async with asyncio.timeout(GRACE_S):
                await fleet.processes[0].communicate()
            self.assertEqual(0, fleet.processes[0].returncode)

    def test_revoked_key_without_the_store(self):
        """A host that the store refuses learns of a revoked key from its peers."""
        run_coroutine(self._check_revoked())

    async def _check_revoked(self):
        async with PlatformFleet(3) as fleet:
            await fleet.add_server()
            fleet.settings[0]["Platform"]["Address"] = "127.0.0.1:1"
            await fleet.start_all()
            self.assertEqual(200, (await fleet.fetch(0, "/payout/x", "r1"))[0])
            fleet.publish_configuration(2, api_keys=("key-2",))

            async def is_refused() -> bool:
                return (await fleet.fetch(0, "/payout/x", "r"))[0] == 401

            self.assertTrue(await wait_for(is_refused, CONFIG_APPLY_S + MAX_STRETCH_S))

    def test_silent_watchers(self):
        """Others take over where the store is silent to those who should watch."""
        run_coroutine(self._check_watchers())

    async def _check_watchers(self):
        async with PlatformFleet(5) as fleet, _Silent() as silent:
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

                refused = await wait_for(is_refused, CONFIG_APPLY_S)
                self.assertTrue(refused, (number, peers, watchers, statuses))

    def test_leaving_server(self):
        """A server that says it leaves gets nothing new after the bound."""
        run_coroutine(self._check_leaving())

    async def _check_leaving(self):
        async with PlatformFleet(2) as fleet:
            leaving = await fleet.add_server()
            await fleet.add_server()
            await fleet.start_all()
            fleet.register_server(leaving, "draining")
            await asyncio.sleep(DRAIN_S)
            before = len(leaving.request_ids)
            for number in range(20):
                status, _ = await fleet.fetch(number % 2, "/payout/x", f"r{number}")
                self.assertEqual(200, status)
            self.assertEqual(before, len(leaving.request_ids))

    def test_started_host_knows_caches(self):
        """A host that starts sends prompts where others had them read."""
        run_coroutine(self._check_caches())

    async def _check_caches(self):
        # The last one is no seed: nothing waits for it while it is not there.
        async with PlatformFleet(4) as fleet:
            holder = await fleet.add_server(event_count=1)
            for number in range(3):
                await fleet.start_host(number)
            for number in range(3):
                await fleet.wait_until_ready(number)
            prompts = [f"a{n}:800,b{n}:40" for n in range(6)]
            for number, prompt in enumerate(prompts):
                answer = await fleet.fetch(
                    0, "/chat/x", f"r{number}", **{"Prompt-Prefix": prompt}
                )
                self.assertEqual(200, answer[0])
            await asyncio.sleep(1.0)
            for _ in range(4):
                await fleet.add_server(event_count=1)
            await fleet.start_host(3)
            await fleet.wait_until_ready(3)
            await asyncio.sleep(1.0)
            for number, prompt in enumerate(prompts):
                answer = await fleet.fetch(
                    3, "/chat/x", f"s{number}", **{"Prompt-Prefix": prompt}
                )
                self.assertEqual(200, answer[0])
            sent = {f"s{number}" for number in range(len(prompts))}
            self.assertEqual(sent, sent & set(holder.request_ids))

    def test_killed_all(self):
        """After all hosts were killed they serve again with the store away."""
        run_coroutine(self._check_killed())

    async def _check_killed(self):
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

            self.assertTrue(await wait_for(is_listening, START_S))
            await asyncio.sleep(1.5)
            self.assertEqual(503, await fleet.read_ready_status(0))
            self.assertEqual(503, (await fleet.fetch(0, "/payout/x", "r1"))[0])
            fleet.store.refuses_calls = False
            await fleet.wait_until_ready(0)
            self.assertEqual(200, (await fleet.fetch(0, "/payout/x", "r2"))[0])

    def test_reader_of_the_log_stops(self):
        """Requests go on while nobody reads the log, and each has its line."""
        run_coroutine(self._check_log())

    async def _check_log(self):
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

    def test_causes(self):
        """Each request has one line with the status that its caller saw."""
        run_coroutine(self._check_causes())

    async def _check_causes(self):
        async with PlatformFleet(1) as fleet:
            server = await fleet.add_server(event_count=3)
            await fleet.start_all()
            seen = {}
            for number, path in enumerate(("/chat/x", "/payout/x", "/other/x")):
                identity = f"r{number}"
                seen[identity] = (await fleet.fetch(0, path, identity))[0]
            seen["r3"] = (await fleet.fetch(0, "/payout/x", "r3", Credential="stolen"))[
                0
            ]
            await server.stop()
            seen["r4"] = (await fleet.fetch(0, "/payout/x", "r4"))[0]
            self.assertEqual([200, 200, 404, 401, 503], list(seen.values()))
            async with _Silent() as silent:
                server.address = silent.address
                fleet.register_server(server)
                await asyncio.sleep(DRAIN_S)
                with self.assertRaises(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await fleet.fetch(0, "/payout/x", "r5")
                seen["r5"] = 0
                await asyncio.sleep(0.5)
            metrics = await fleet.read_metrics(0)
            _, output = await stop_gracefully(fleet.processes[0])
        lines = [json.loads(line) for line in output.splitlines()]
        ends = [line for line in lines if line["event"] == "request:end"]
        self.assertEqual(seen, {line["request"]: line["status"] for line in ends})
        self.assertEqual(len(seen), len(ends))
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

    def test_settings_change(self):
        """New seeds are learnt with and without a signal, and nothing is cut."""
        for signalled in (True, False):
            run_coroutine(self._check_change(signalled))

    async def _check_change(self, signalled: bool):
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

                self.assertTrue(await wait_for(is_known, SEED_LAG_S + 2.0))
                self.assertEqual(30, (await response.text()).count("data:"))

    def test_bad_settings(self):
        """A bad settings file ends the start with a code and the field."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump({"NodeName": "h", "Zone": 7}, file)
            file.flush()
            done = subprocess.run(
                [sys.executable, "-m", "oleanderpier.platform"],
                env={**os.environ, "OLEANDERPIER_BOOT": file.name},
                capture_output=True,
                check=False,
            )
        told = json.loads(done.stderr)
        self.assertEqual((2, 301), (done.returncode, told["code"]))
        self.assertIn("$.", told["text"])
