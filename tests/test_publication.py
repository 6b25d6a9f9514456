"""Publication of documents, with real processes.

A published version is applied by every host and never replaced by an older one.
"""

import asyncio
import copy
import signal
import tempfile
from pathlib import Path

from testtools import TestCase

from demo.__main__ import find_caller_url
from demo.caller import Caller, ChatResponse
from demo.fleet import CONFIGURATION, Fleet

APPLY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
HOSTS = ["host-0", "host-1", "host-2", "host-3"]
CHAT_COUNT = 12


async def wait_until_applied(
    fleet: Fleet, name: str, version: int, hosts: list[str]
) -> list[int]:
    """Wait until hosts have applied a version; return all versions observed."""
    versions = []
    async with asyncio.timeout(APPLY_TIMEOUT_S):
        for host in hosts:
            found = -1
            while found != version:
                status = await fleet.read_status(host)
                found = status.get("versions", {}).get(name, {}).get("version", 0)
                versions.append(found)
                await asyncio.sleep(POLL_INTERVAL_S)
    return versions


async def change_configuration(fleet: Fleet, workspace: str) -> int:
    """Publish the configuration with an additional workspace."""
    changed = copy.deepcopy(CONFIGURATION)
    changed["workspaces"].append({"name": workspace})
    return await fleet.publish("configuration", **changed)


async def check_change_is_applied(fleet: Fleet) -> None:
    """Check that every host applies a change."""
    version = await change_configuration(fleet, "new-boats")
    await wait_until_applied(fleet, "configuration", version, HOSTS)


async def check_invalid_value_is_refused(fleet: Fleet) -> None:
    """Check that all hosts refuse an invalid value and keep the last valid one."""
    valid_version = (await fleet.read_status("host-0"))["versions"]["configuration"][
        "version"
    ]
    invalid_version = await fleet.publish(
        "configuration", **{**CONFIGURATION, "load_multiple": 99}
    )
    async with asyncio.timeout(APPLY_TIMEOUT_S):
        for host in HOSTS:
            refused: list[int] = []
            while invalid_version not in refused:
                status = await fleet.read_status(host)
                refused = [item["version"] for item in status["refused_documents"]]
                assert status["versions"]["configuration"]["version"] == valid_version
                await asyncio.sleep(POLL_INTERVAL_S)


async def check_restart_without_platform(fleet: Fleet) -> None:
    """Check that a host restarted without the platform syncs from its peers."""
    version = await change_configuration(fleet, "late-boats")
    await wait_until_applied(fleet, "configuration", version, HOSTS)
    await fleet.set_faults(fleet.platform, down=True)
    await restart_host(fleet, "host-3")
    await wait_until_applied(fleet, "configuration", version, ["host-3"])
    await fleet.wait_until_ready(["host-3"])
    await fleet.set_faults(fleet.platform)


async def check_stale_platform(fleet: Fleet) -> None:
    """Check that hosts ignore an older version that the platform returns."""
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


async def check_published_leaving_server(fleet: Fleet) -> None:
    """Check that a leaving server gets no requests once the list is applied."""
    servers = fleet.list_backend_servers()
    servers[0]["state"] = "leaving"
    version = await fleet.publish("backend_servers", backend_servers=servers)
    await wait_until_applied(fleet, "backend_servers", version, HOSTS)
    before = await fleet.read_json(f"{fleet.engines[0].url}/counts")
    responses = await request_chats_at_all_hosts(fleet, "leave")
    after = await fleet.read_json(f"{fleet.engines[0].url}/counts")
    assert all(response.complete for response in responses), responses
    assert before.get("started", 0) == after.get("started", 0), (before, after)


async def check_engine_reporting_leaving(fleet: Fleet) -> None:
    """Check that all hosts learn of an engine that reports leaving to its probers."""
    engine = fleet.engines[1]
    await fleet.set_faults(engine, leaving=True)
    async with asyncio.timeout(APPLY_TIMEOUT_S):
        for host in HOSTS:
            state = ""
            while state != "leaving":
                rows = (await fleet.read_status(host))["backend_servers"]
                state = next(r["state"] for r in rows if r["name"] == engine.name)
                await asyncio.sleep(POLL_INTERVAL_S)
    before = await fleet.read_json(f"{engine.url}/counts")
    responses = await request_chats_at_all_hosts(fleet, "said")
    after = await fleet.read_json(f"{engine.url}/counts")
    assert all(response.complete for response in responses), responses
    assert before.get("started", 0) == after.get("started", 0), (before, after)


async def request_chats_at_all_hosts(fleet: Fleet, name: str) -> list[ChatResponse]:
    """Send several chat requests to every host."""
    callers = [
        Caller(fleet.session, find_caller_url(fleet, host), "duluth-boats")
        for host in HOSTS
    ]
    return await asyncio.gather(
        *(
            caller.request_chat(f"{name}-{index}", ["hello"], 5, caller.directory_url)
            for index in range(CHAT_COUNT)
            for caller in callers
        )
    )


async def restart_host(fleet: Fleet, host: str) -> None:
    """Kill a daemon and start it again."""
    fleet.send_signal(host, signal.SIGKILL)
    await fleet.processes[host].wait()
    await fleet.start_host(host)


class PublicationTest(TestCase):
    """Publication cases, run one after the other on the same small fleet."""

    def test_publication(self):
        """Published versions are applied by every host and never reverted."""

        async def run():
            with tempfile.TemporaryDirectory() as folder:
                async with Fleet(Path(folder), hosts=len(HOSTS)) as fleet:
                    await check_change_is_applied(fleet)
                    await check_invalid_value_is_refused(fleet)
                    await check_restart_without_platform(fleet)
                    await check_stale_platform(fleet)
                    await check_published_leaving_server(fleet)
                    await check_engine_reporting_leaving(fleet)

        asyncio.run(run())
