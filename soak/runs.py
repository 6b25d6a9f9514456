"""One run of the soak: a fleet, its callers and the faults of a seed."""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from demo.fleet import find_free_port
from soak.callers import Callers
from soak.checks import CHAT_EVENTS, DRAIN_S, GRACE_S, RECOVERY_S
from soak.evidence import Evidence, Happened, Leave, Run
from soak.proxy import FaultProxy
from soak.schedule import Fault, FaultKind, make_schedule
from standins.platform_fleet import PlatformFleet, StandInServer

__all__ = ["SoakSettings", "run_seed"]

# From the end of a process to its next start.
RESTART_S = 0.3
# For so long a leaving server goes on after the bound, and a crashed one is
# still listed: three intervals of its heartbeat.
LEAVE_SLACK_S = 2.0
LISTED_S = 3.6
STORM_VERSIONS = 6
STORM_GAP_S = 0.1
SLOW_S = 0.15
# Requests after the bound on recovery.
LAST_S = 1.5
KEYS = 5


class SoakSettings:
    """How large a run is.

    Args:
        hosts: How many entry hosts.
        servers: How many backend servers at a time.
        callers: How many callers send at once.
        faults_s: For how long faults come.
        program: What the hosts run.
        log_folder: Where their output goes, None for nowhere.
    """

    def __init__(
        self,
        hosts: int = 4,
        servers: int = 4,
        callers: int = 8,
        faults_s: float = 12.0,
        program: tuple[str, ...] = ("oleanderpier.platform",),
        log_folder: Path | None = None,
    ) -> None:
        self.hosts = hosts
        self.servers = servers
        self.callers = callers
        self.faults_s = faults_s
        self.program = program
        self.log_folder = log_folder


async def run_seed(
    seed: int, settings: SoakSettings, schedule: list[Fault] | None = None
) -> Evidence:
    """Run the faults of a seed against a fleet of its own.

    Args:
        seed: Chooses the faults and the requests.
        settings: How large the run is.
        schedule: Faults in place of the seed's.

    Returns:
        What callers and servers saw.
    """
    fleet = PlatformFleet(settings.hosts, settings.program, settings.log_folder)
    async with fleet:
        if schedule is None:
            schedule = make_schedule(seed, settings.faults_s)
        run = _SoakRun(seed, settings, fleet, schedule)
        try:
            return await run.run()
        finally:
            await run.close()


class _SoakRun:
    """The state of one run."""

    def __init__(
        self,
        seed: int,
        settings: SoakSettings,
        fleet: PlatformFleet,
        schedule: list[Fault],
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._schedule = schedule
        self._keys = [f"key-{number}" for number in range(KEYS)]
        self._callers = Callers(fleet, random.Random(f"callers {seed}"), self._keys)
        self._version = 1
        self._stores: list[FaultProxy] = []
        self._proxies: dict[str, FaultProxy] = {}
        self._active: list[StandInServer] = []
        self._hosts: dict[int, asyncio.subprocess.Process] = {}
        self._watches: list[asyncio.Task] = []
        self._holds: Counter[object] = Counter()
        self._faults: list[Happened] = []
        self._leaves: list[Leave] = []
        self._revoked: list[Leave] = []
        self._exits: list[tuple[int, int, float]] = []
        self._closing = False

    async def run(self) -> Evidence:
        """Start everything, inject the faults, and wait for the recovery."""
        self._publish()
        for number, fields in enumerate(self._fleet.settings):
            proxy = FaultProxy(self._fleet.store_address)
            await proxy.start(find_free_port())
            self._stores.append(proxy)
            fields["Platform"]["Address"] = proxy.address
            await self._start_host(number)
        for _ in range(self._settings.servers):
            await self._add_server()
        for number in range(self._settings.hosts):
            await self._fleet.wait_until_ready(number)
        sending = asyncio.create_task(self._callers.run(self._settings.callers))
        await asyncio.sleep(0)
        async with asyncio.TaskGroup() as group:
            for fault in self._schedule:
                group.create_task(self._inject(fault))
        calm_s = self._now()
        await asyncio.sleep(RECOVERY_S + LAST_S)
        self._callers.stop()
        await sending
        return Evidence(
            self._callers.attempts,
            self._list_runs(),
            self._faults,
            self._leaves,
            self._revoked,
            self._exits,
            calm_s,
        )

    async def close(self) -> None:
        """End what the run has started beside the fleet."""
        self._closing = True
        for watch in self._watches:
            watch.cancel()
        await asyncio.gather(*self._watches, return_exceptions=True)
        for proxy in [*self._stores, *self._proxies.values()]:
            await proxy.stop()

    def _now(self) -> float:
        return self._callers.get_time_s()

    def _list_runs(self) -> list[Run]:
        began_s = asyncio.get_running_loop().time() - self._now()
        return [
            Run(identity, server.instance_id, at_s - began_s)
            for server in self._fleet.servers
            for identity, at_s in zip(
                server.request_ids, server.request_times_s, strict=True
            )
        ]

    def _publish(self) -> None:
        revoked = self._callers.revoked
        self._version += 1
        keys = tuple(key for key in self._keys if key not in revoked)
        self._fleet.publish_configuration(self._version, keys)

    async def _add_server(self) -> None:
        server = await self._fleet.add_server(event_count=CHAT_EVENTS)
        proxy = FaultProxy(server.address)
        await proxy.start(find_free_port())
        server.address = proxy.address
        self._fleet.register_server(server)
        self._proxies[server.instance_id] = proxy
        self._active.append(server)

    async def _start_host(self, number: int) -> None:
        process = await self._fleet.start_host(number)
        self._hosts[number] = process
        self._watches.append(asyncio.create_task(self._watch(number, process)))

    async def _watch(self, number: int, process: asyncio.subprocess.Process) -> None:
        """Note the end of a process, and start the next one."""
        status = await process.wait()
        del self._hosts[number]
        self._exits.append((number, status, self._now()))
        await asyncio.sleep(RESTART_S)
        if not self._closing:
            await self._start_host(number)

    async def _inject(self, fault: Fault) -> None:
        """Let one fault happen at its time, and note it."""
        await asyncio.sleep(fault.at_s)
        began_s = self._now()
        number = fault.target % self._settings.hosts
        host = number if fault.kind.value.startswith("host") else -1
        index = len(self._faults)
        # It counts as going on until its end is known.
        self._faults.append(Happened(fault.kind, began_s, float("inf"), host))
        await _ACTIONS[fault.kind](self, fault)
        self._faults[index] = Happened(fault.kind, began_s, self._now(), host)

    def _signal(self, number: int, sent: signal.Signals) -> None:
        """Send a signal to a host's process, if it has one now."""
        process = self._hosts.get(number)
        if process is not None and process.returncode is None:
            process.send_signal(sent)

    async def _kill(self, fault: Fault) -> None:
        await self._kill_hosts([fault.target % self._settings.hosts])

    async def _kill_all(self, fault: Fault) -> None:
        await self._kill_hosts(range(self._settings.hosts))

    async def _kill_hosts(self, numbers) -> None:
        for number in numbers:
            self._signal(number, signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        for number in numbers:
            await self._fleet.wait_until_ready(number)

    async def _pause(self, fault: Fault) -> None:
        number = fault.target % self._settings.hosts
        self._signal(number, signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        self._signal(number, signal.SIGCONT)

    async def _terminate(self, fault: Fault) -> None:
        number = fault.target % self._settings.hosts
        process = self._hosts.get(number)
        self._signal(number, signal.SIGTERM)
        if process is not None:
            try:
                async with asyncio.timeout(GRACE_S):
                    await process.wait()
            except TimeoutError:
                # What is left after the time for a shutdown is killed.
                self._signal(number, signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        await self._fleet.wait_until_ready(number)

    async def _reload(self, fault: Fault) -> None:
        self._signal(fault.target % self._settings.hosts, signal.SIGHUP)

    async def _hold(self, fault: Fault, name: object, switch: Callable) -> None:
        """Keep something switched on, also while another fault does the same."""
        self._holds[name] += 1
        switch(True)
        await asyncio.sleep(fault.for_s)
        self._holds[name] -= 1
        if not self._holds[name]:
            switch(False)

    async def _refuse_calls(self, fault: Fault) -> None:
        def switch(on: bool) -> None:
            self._fleet.store.refuses_calls = on

        await self._hold(fault, "store", switch)

    def _find_store(self, fault: Fault) -> FaultProxy:
        return self._stores[fault.target % len(self._stores)]

    async def _cut_off(self, fault: Fault) -> None:
        proxy = self._find_store(fault)
        await self._hold(fault, proxy, proxy.silence)

    async def _deafen_store(self, fault: Fault) -> None:
        await self._deafen(fault, self._find_store(fault))

    async def _deafen(self, fault: Fault, proxy: FaultProxy) -> None:
        """Hold answers back, but not what they answer."""

        def switch(on: bool) -> None:
            proxy.deaf_to_target = on

        await self._hold(fault, (proxy, "deaf"), switch)

    async def _reset_store(self, fault: Fault) -> None:
        self._find_store(fault).reset_all()

    async def _slow_store(self, fault: Fault) -> None:
        await self._slow(fault, self._find_store(fault))

    async def _slow(self, fault: Fault, proxy: FaultProxy) -> None:
        def switch(on: bool) -> None:
            proxy.delay_s = SLOW_S if on else 0.0

        await self._hold(fault, (proxy, "slow"), switch)

    def _find_server(self, fault: Fault) -> StandInServer:
        return self._active[fault.target % len(self._active)]

    def _find_proxy(self, fault: Fault) -> FaultProxy:
        return self._proxies[self._find_server(fault).instance_id]

    async def _leave(self, fault: Fault) -> None:
        server = self._find_server(fault)
        self._active.remove(server)
        self._fleet.register_server(server, "draining")
        self._leaves.append(Leave(server.instance_id, self._now()))
        await self._add_server()
        await asyncio.sleep(DRAIN_S + LEAVE_SLACK_S)
        self._fleet.store.put(f"servers/{server.instance_id}", None)

    async def _crash(self, fault: Fault) -> None:
        server = self._find_server(fault)
        self._active.remove(server)
        proxy = self._proxies[server.instance_id]
        proxy.reset_all()
        await proxy.stop()
        await self._add_server()
        await asyncio.sleep(LISTED_S)
        self._fleet.store.put(f"servers/{server.instance_id}", None)

    async def _silence_server(self, fault: Fault) -> None:
        proxy = self._find_proxy(fault)
        await self._hold(fault, proxy, proxy.silence)

    async def _deafen_server(self, fault: Fault) -> None:
        await self._deafen(fault, self._find_proxy(fault))

    async def _reset_server(self, fault: Fault) -> None:
        self._find_proxy(fault).reset_all()

    async def _slow_server(self, fault: Fault) -> None:
        await self._slow(fault, self._find_proxy(fault))

    async def _fail_server(self, fault: Fault) -> None:
        server = self._find_server(fault)

        def switch(on: bool) -> None:
            server.returns_errors = on

        await self._hold(fault, server, switch)

    async def _revoke(self, fault: Fault) -> None:
        left = [key for key in self._keys if key not in self._callers.revoked]
        if len(left) < 2:
            return
        key = left[fault.target % len(left)]
        self._callers.revoked.add(key)
        self._publish()
        self._revoked.append(Leave(key, self._now()))

    async def _storm(self, fault: Fault) -> None:
        for _ in range(STORM_VERSIONS):
            self._publish()
            await asyncio.sleep(STORM_GAP_S)


_ACTIONS = {
    FaultKind.HOST_KILLED: _SoakRun._kill,
    FaultKind.ALL_KILLED: _SoakRun._kill_all,
    FaultKind.HOST_PAUSED: _SoakRun._pause,
    FaultKind.HOST_TERMINATED: _SoakRun._terminate,
    FaultKind.HOST_RELOADED: _SoakRun._reload,
    FaultKind.STORE_REFUSES: _SoakRun._refuse_calls,
    FaultKind.STORE_CUT_OFF: _SoakRun._cut_off,
    FaultKind.STORE_DEAF: _SoakRun._deafen_store,
    FaultKind.STORE_RESET: _SoakRun._reset_store,
    FaultKind.STORE_SLOW: _SoakRun._slow_store,
    FaultKind.SERVER_LEAVES: _SoakRun._leave,
    FaultKind.SERVER_CRASHES: _SoakRun._crash,
    FaultKind.SERVER_SILENT: _SoakRun._silence_server,
    FaultKind.SERVER_DEAF: _SoakRun._deafen_server,
    FaultKind.SERVER_RESET: _SoakRun._reset_server,
    FaultKind.SERVER_SLOW: _SoakRun._slow_server,
    FaultKind.SERVER_FAILS: _SoakRun._fail_server,
    FaultKind.KEY_REVOKED: _SoakRun._revoke,
    FaultKind.CONFIGURATION_STORM: _SoakRun._storm,
}
