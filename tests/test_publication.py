"""Published documents over real processes: in force everywhere, never back."""

import asyncio
import copy
import signal
import tempfile
from pathlib import Path

from testtools import TestCase

from demo.__main__ import find_caller_url
from demo.caller import Caller, ChatResponse
from demo.fleet import CONFIGURATION, Fleet

WAIT_S = 20.0
POLL_S = 0.1
HOSTS = ["host-0", "host-1", "host-2", "host-3"]
CHATS = 12


async def wait_in_force(
    fleet: Fleet, name: str, version: int, hosts: list[str]
) -> list[int]:
    """Wait until hosts have a version in force; return all versions seen."""
    seen = []
    async with asyncio.timeout(WAIT_S):
        for host in hosts:
            found = -1
            while found != version:
                status = await fleet.read_status(host)
                found = status.get("versions", {}).get(name, {}).get("version", 0)
                seen.append(found)
                await asyncio.sleep(POLL_S)
    return seen


async def change_configuration(fleet: Fleet, workspace: str) -> int:
    """Publish the configuration with one more workspace."""
    changed = copy.deepcopy(CONFIGURATION)
    changed["workspaces"].append({"name": workspace})
    return await fleet.publish("configuration", **changed)


async def run_change(fleet: Fleet) -> None:
    """A change comes into force on every host."""
    version = await change_configuration(fleet, "new-boats")
    await wait_in_force(fleet, "configuration", version, HOSTS)


async def run_bad_value(fleet: Fleet) -> None:
    """A bad value is refused alike by all, and the last good one stays."""
    good = (await fleet.read_status("host-0"))["versions"]["configuration"]["version"]
    bad = await fleet.publish("configuration", **{**CONFIGURATION, "load_multiple": 99})
    async with asyncio.timeout(WAIT_S):
        for host in HOSTS:
            refused: list[int] = []
            while bad not in refused:
                status = await fleet.read_status(host)
                refused = [item["version"] for item in status["refused_documents"]]
                assert status["versions"]["configuration"]["version"] == good
                await asyncio.sleep(POLL_S)


async def run_restart_while_down(fleet: Fleet) -> None:
    """A restarted host gets what is in force from its peers."""
    version = await change_configuration(fleet, "late-boats")
    await wait_in_force(fleet, "configuration", version, HOSTS)
    await fleet.set_faults(fleet.platform, down=True)
    await restart_host(fleet, "host-3")
    await wait_in_force(fleet, "configuration", version, ["host-3"])
    await fleet.wait_until_ready(["host-3"])
    await fleet.set_faults(fleet.platform)


async def run_stale_platform(fleet: Fleet) -> None:
    """A platform that shows an older version takes nothing back."""
    version = (await fleet.read_status("host-0"))["versions"]["configuration"]
    older = {"version": 1, **CONFIGURATION}
    differs = {"values": {"configuration": older}, "callers": []}
    every = (await fleet.read_json(f"{fleet.platform.url}/calls"))["by_caller"]
    differs["callers"] = list(every)
    await fleet.set_faults(fleet.platform, differs=differs)
    await restart_host(fleet, "host-2")
    await fleet.wait_until_ready(["host-2"])
    await asyncio.sleep(2.0)
    for host in HOSTS:
        status = await fleet.read_status(host)
        assert status["versions"]["configuration"] == version, (host, status)
    await fleet.set_faults(fleet.platform)


async def run_leaving_server(fleet: Fleet) -> None:
    """A leaving server gets nothing new once the list is in force."""
    servers = fleet.list_backend_servers()
    servers[0]["state"] = "leaving"
    version = await fleet.publish("backend_servers", backend_servers=servers)
    await wait_in_force(fleet, "backend_servers", version, HOSTS)
    before = await fleet.read_json(f"{fleet.engines[0].url}/counts")
    answers = await ask_everywhere(fleet, "leave")
    after = await fleet.read_json(f"{fleet.engines[0].url}/counts")
    assert all(answer.complete for answer in answers), answers
    assert before.get("started", 0) == after.get("started", 0), (before, after)


async def run_engine_that_says_so(fleet: Fleet) -> None:
    """An engine that tells only its probers that it leaves is left by all."""
    engine = fleet.engines[1]
    await fleet.set_faults(engine, leaving=True)
    async with asyncio.timeout(WAIT_S):
        for host in HOSTS:
            state = ""
            while state != "leaving":
                rows = (await fleet.read_status(host))["backend_servers"]
                state = next(r["state"] for r in rows if r["name"] == engine.name)
                await asyncio.sleep(POLL_S)
    before = await fleet.read_json(f"{engine.url}/counts")
    answers = await ask_everywhere(fleet, "said")
    after = await fleet.read_json(f"{engine.url}/counts")
    assert all(answer.complete for answer in answers), answers
    assert before.get("started", 0) == after.get("started", 0), (before, after)


async def ask_everywhere(fleet: Fleet, name: str) -> list[ChatResponse]:
    """Ask several chats at every host."""
    callers = [
        Caller(fleet.session, find_caller_url(fleet, host), "duluth-boats")
        for host in HOSTS
    ]
    return await asyncio.gather(
        *(
            caller.request_chat(f"{name}-{index}", ["hello"], 5, caller.directory_url)
            for index in range(CHATS)
            for caller in callers
        )
    )


async def restart_host(fleet: Fleet, host: str) -> None:
    """Kill a daemon and start it anew."""
    fleet.send_signal(host, signal.SIGKILL)
    await fleet.processes[host].wait()
    await fleet.start_host(host)


class PublicationTest(TestCase):
    """Each case on one small fleet, one after the other."""

    def test_cases(self):
        """What is published rules every host, and never an older version."""

        async def run():
            with tempfile.TemporaryDirectory() as folder:
                async with Fleet(Path(folder), hosts=len(HOSTS)) as fleet:
                    await run_change(fleet)
                    await run_bad_value(fleet)
                    await run_restart_while_down(fleet)
                    await run_stale_platform(fleet)
                    await run_leaving_server(fleet)
                    await run_engine_that_says_so(fleet)

        asyncio.run(run())
