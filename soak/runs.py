"""Runs of the soak: a fleet, its callers and the faults of a seed."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from demo.fleet import find_free_port
from soak.callers import Callers
from soak.checks import CHAT_EVENT_COUNT, LEAVING_APPLY_S, RECOVERY_S
from soak.crashing_requests import CrashingPrompts, RepeatedRequest, connect_proxy
from soak.hosts import HostProcesses
from soak.keeping_callers import KeepingCallers
from soak.limits import ServerLimits
from soak.observations import (
    InjectedFault,
    Observations,
    Removal,
    list_arrivals,
    list_crashes,
    list_executions,
    list_statements,
)
from soak.planned_work import PlannedWork
from soak.proxy import FaultProxy
from soak.schedule import Fault, FaultKind, make_planned_schedule, make_schedule
from standins.backend_server import LEAVING_HEADER, PartFault, StandInServer
from standins.platform_fleet import PlatformFleet

__all__ = ["SoakSettings", "run_seed"]

# A leaving server is deleted from the store this long after LEAVING_APPLY_S.
LEAVE_REMOVAL_DELAY_S = 2.0
# A crashed server is still listed for three of its heartbeat intervals.
CRASH_REMOVAL_DELAY_S = 3.6
# The store is away for this long before it returns from a copy.
STORE_AWAY_S = 0.3
# Everything that the copy lacks is written again within this time.
MAX_REWRITE_DELAY_S = 1.5
STORM_VERSION_COUNT = 6
STORM_INTERVAL_S = 0.1
SLOW_DELAY_S = 0.15
# What a server that wants no requests asks for, again and again.
ASKED_WAIT_S = 1.0
# Time for which requests are sent after RECOVERY_S, for the check of the recovery.
POST_RECOVERY_S = 1.5
KEY_COUNT = 5
_SERVER_PART_FAULTS = {
    FaultKind.SERVER_PARTLY_FAILS: PartFault.ERROR,
    FaultKind.SERVER_PARTLY_MUTE: PartFault.MUTE,
    FaultKind.SERVER_PARTLY_REFUSES: PartFault.REFUSAL,
    FaultKind.SERVER_PARTLY_SENDS_EXTRA: PartFault.EXTRA_BYTES,
    FaultKind.SERVER_PARTLY_SENDS_NO_LENGTH: PartFault.WITHOUT_LENGTH,
}


class SoakSettings:
    """Settings of a run.

    Args:
        hosts: Number of entry hosts.
        servers: Number of active backend servers.
        callers: Number of concurrent callers.
        faults_s: Duration of the fault injection, in seconds.
        program: The module that each host runs, and its arguments.
        log_folder: Folder for the hosts' output; None keeps it in pipes.
        keeping_callers: Number of callers that keep a connection, beside the others.
        planned_only: Whether there is nothing but planned work.
    """

    def __init__(
        self,
        hosts: int = 4,
        servers: int = 4,
        callers: int = 8,
        faults_s: float = 12.0,
        program: tuple[str, ...] = ("oleanderpier.platform",),
        log_folder: Path | None = None,
        keeping_callers: int = 48,
        planned_only: bool = False,
    ) -> None:
        self.hosts = hosts
        self.servers = servers
        self.callers = callers
        self.faults_s = faults_s
        self.program = program
        self.log_folder = log_folder
        self.keeping_callers = keeping_callers
        self.planned_only = planned_only

    def make_schedule(self, seed: int) -> list[Fault]:
        """Return the faults of a seed."""
        make = make_planned_schedule if self.planned_only else make_schedule
        return make(seed, self.faults_s)


async def run_seed(
    seed: int, settings: SoakSettings, schedule: list[Fault] | None = None
) -> Observations:
    """Run the faults of a seed against a new fleet.

    Args:
        seed: Seed of the faults and of the requests.
        settings: Settings of the run.
        schedule: Faults to inject instead of those of the seed.

    Returns:
        The observations of the run.
    """
    fleet = PlatformFleet(settings.hosts, settings.program, settings.log_folder)
    async with fleet:
        if schedule is None:
            schedule = settings.make_schedule(seed)
        run = _SoakRun(seed, settings, fleet, schedule)
        try:
            return await run.run()
        finally:
            await run.close()


class _SoakRun:
    """The state of one run in progress."""

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
        self._keys = [f"key-{number}" for number in range(KEY_COUNT)]
        self._callers = Callers(fleet, random.Random(f"callers {seed}"), self._keys)
        keeping_rng = random.Random(f"keeping callers {seed}")
        self._keeping_callers = KeepingCallers(self._callers, keeping_rng)
        self.prompts = CrashingPrompts(fleet, seed)
        self.repeated = RepeatedRequest(fleet, seed)
        self.hosts = HostProcesses(fleet, self._get_elapsed_s)
        self.planned_work = PlannedWork(self.hosts, settings.hosts, self._apply)
        self._limits = ServerLimits(self._get_elapsed_s)
        self._version = 1
        self._store_proxies: list[FaultProxy] = []
        self._server_proxies: dict[str, FaultProxy] = {}
        self._active_servers: list[StandInServer] = []
        self._draining_servers: list[StandInServer] = []
        self._overlap_counts: Counter[object] = Counter()
        self._faults: list[InjectedFault] = []
        self._leaving_servers: list[Removal] = []
        self._revoked_keys: list[Removal] = []

    async def run(self) -> Observations:
        """Start the fleet and the callers, inject the faults, await the recovery."""
        self._publish_configuration()
        for number, fields in enumerate(self._fleet.settings):
            proxy = FaultProxy(self._fleet.store_address)
            await proxy.start(find_free_port())
            self._store_proxies.append(proxy)
            fields["Platform"]["Address"] = proxy.address
            await self.hosts.start(number)
        for _ in range(self._settings.servers):
            await self._add_server()
        for number in range(self._settings.hosts):
            await self._fleet.wait_until_ready(number)
        callers_task = asyncio.create_task(self._callers.run(self._settings.callers))
        await asyncio.sleep(0)
        keeping_task = asyncio.create_task(
            self._keeping_callers.run(self._settings.keeping_callers)
        )
        async with asyncio.TaskGroup() as group:
            for fault in self._schedule:
                group.create_task(self._inject(fault))
        faults_ended_s = self._get_elapsed_s()
        await asyncio.sleep(RECOVERY_S + POST_RECOVERY_S)
        self._callers.stop()
        await asyncio.gather(callers_task, keeping_task)
        started_s = asyncio.get_running_loop().time() - self._get_elapsed_s()
        servers = self._fleet.servers
        return Observations(
            self._callers.requests,
            list_executions(servers, started_s),
            self._faults,
            self._leaving_servers,
            self._revoked_keys,
            self.hosts.exits,
            faults_ended_s,
            list_arrivals(servers, started_s),
            list_statements(servers, started_s),
            list_crashes(servers, started_s),
            self._limits.named,
        )

    async def close(self) -> None:
        """Stop the restarts and the proxies; the fleet itself is stopped elsewhere."""
        await self.hosts.close()
        for proxy in [*self._store_proxies, *self._server_proxies.values()]:
            await proxy.stop()

    def _get_elapsed_s(self) -> float:
        return self._callers.get_elapsed_s()

    def _publish_configuration(self) -> None:
        revoked = self._callers.revoked_keys
        self._version += 1
        keys = tuple(key for key in self._keys if key not in revoked)
        self._fleet.publish_configuration(self._version, keys)

    async def _add_server(self) -> None:
        server = await self._fleet.add_server(event_count=CHAT_EVENT_COUNT)
        proxy = FaultProxy(server.address)
        await proxy.start(find_free_port())
        server.address = proxy.address
        connect_proxy(
            server, proxy, self.repeated, lambda: self._register_unless_gone(server)
        )
        self._fleet.register_server(server)
        self._server_proxies[server.instance_id] = proxy
        self._active_servers.append(server)

    def _register_unless_gone(self, server: StandInServer) -> None:
        if server in (*self._active_servers, *self._draining_servers):
            state = "draining" if server in self._draining_servers else "ready"
            self._fleet.register_server(server, state, born=server.run)

    async def _inject(self, fault: Fault) -> None:
        """Inject one fault at its time and record it."""
        await asyncio.sleep(fault.at_s)
        await self._apply(fault)

    async def _apply(self, fault: Fault) -> None:
        """Inject one fault now and record it."""
        began_s = self._get_elapsed_s()
        host = self.find_host(fault) if fault.kind.value.startswith("host") else -1
        affects_server = fault.kind.value.startswith("server")
        server = self._find_server(fault).instance_id if affects_server else ""
        index = len(self._faults)
        # An infinite end marks a fault in progress until its end is known.
        record = InjectedFault(fault.kind, began_s, float("inf"), host, server)
        self._faults.append(record)
        await _ACTIONS[fault.kind](self, fault)
        self._faults[index] = record._replace(ended_s=self._get_elapsed_s())

    def find_host(self, fault: Fault) -> int:
        """Return the number of the host that a fault selects."""
        return fault.target % self._settings.hosts

    async def _kill_all_hosts(self, fault: Fault) -> None:
        await self.hosts.kill(range(self._settings.hosts))

    async def _kill_host_after_change(self, fault: Fault) -> None:
        self._publish_configuration()
        await self.hosts.kill([self.find_host(fault)])

    async def _reload_host(self, fault: Fault) -> None:
        await self.hosts.reload(self.find_host(fault))

    async def _enable_for_duration(
        self, fault: Fault, effect: object, set_enabled: Callable
    ) -> None:
        """Enable an effect for the duration of a fault.

        Overlapping faults may enable the same effect; it is disabled when the last
        of them ends.

        Args:
            fault: The fault.
            effect: Key that identifies the effect.
            set_enabled: Enables the effect with True and disables it with False.
        """
        self._overlap_counts[effect] += 1
        set_enabled(True)
        await asyncio.sleep(fault.for_s)
        self._overlap_counts[effect] -= 1
        if not self._overlap_counts[effect]:
            set_enabled(False)

    async def _refuse_store_calls(self, fault: Fault) -> None:
        def set_enabled(enabled: bool) -> None:
            self._fleet.store.refuses_calls = enabled

        await self._enable_for_duration(fault, "store", set_enabled)

    def _find_store_proxy(self, fault: Fault) -> FaultProxy:
        return self._store_proxies[fault.target % len(self._store_proxies)]

    async def _cut_off_store(self, fault: Fault) -> None:
        proxy = self._find_store_proxy(fault)
        await self._enable_for_duration(fault, proxy, proxy.hold_all_data)

    async def _hold_store_responses(self, fault: Fault) -> None:
        await self._hold_responses(fault, self._find_store_proxy(fault))

    async def _hold_responses(self, fault: Fault, proxy: FaultProxy) -> None:
        """Hold back responses, while requests are still forwarded."""

        def set_enabled(enabled: bool) -> None:
            proxy.holds_target_data = enabled

        await self._enable_for_duration(fault, (proxy, "responses held"), set_enabled)

    async def _reset_store_connections(self, fault: Fault) -> None:
        self._find_store_proxy(fault).reset_all()

    async def _slow_store(self, fault: Fault) -> None:
        await self._delay_data(fault, self._find_store_proxy(fault))

    async def _delay_data(self, fault: Fault, proxy: FaultProxy) -> None:
        def set_enabled(enabled: bool) -> None:
            proxy.delay_s = SLOW_DELAY_S if enabled else 0.0

        await self._enable_for_duration(fault, (proxy, "data delayed"), set_enabled)

    async def _return_store(self, fault: Fault) -> None:
        """Let the store return from a copy; then operator and servers write again."""
        store = self._fleet.store
        store.save_copy()
        await asyncio.sleep(fault.for_s)

        def set_enabled(enabled: bool) -> None:
            store.refuses_calls = enabled

        away = fault._replace(for_s=STORE_AWAY_S)
        await self._enable_for_duration(away, "store", set_enabled)
        store.return_from_copy()
        rng = random.Random(fault.target)
        await asyncio.sleep(rng.uniform(0.0, MAX_REWRITE_DELAY_S))
        self._publish_configuration()
        for server in self._active_servers:
            self._fleet.register_server(server)
        for server in self._draining_servers:
            self._fleet.register_server(server, "draining")
        await asyncio.sleep(CRASH_REMOVAL_DELAY_S)
        listed = {*self._active_servers, *self._draining_servers}
        for server in self._fleet.servers:
            if server not in listed:
                store.put(f"servers/{server.instance_id}", None)

    def _find_server(self, fault: Fault) -> StandInServer:
        return self._active_servers[fault.target % len(self._active_servers)]

    def _find_server_proxy(self, fault: Fault) -> FaultProxy:
        return self._server_proxies[self._find_server(fault).instance_id]

    async def _announce_leaving(self, fault: Fault) -> None:
        await self._drain_server(self._find_server(fault))

    async def _drain_server(self, server: StandInServer) -> None:
        self._active_servers.remove(server)
        self._draining_servers.append(server)
        self._fleet.register_server(server, "draining")
        self._leaving_servers.append(Removal(server.instance_id, self._get_elapsed_s()))
        await self._add_server()
        await asyncio.sleep(LEAVING_APPLY_S + LEAVE_REMOVAL_DELAY_S)
        self._draining_servers.remove(server)
        self._fleet.store.put(f"servers/{server.instance_id}", None)

    async def _say_leaving(self, fault: Fault) -> None:
        server = self._find_server(fault)
        server.response_headers[LEAVING_HEADER] = "1"
        await asyncio.sleep(fault.for_s)
        if server in self._active_servers:
            await self._drain_server(server)

    async def _ask_for_time(self, fault: Fault) -> None:
        server = self._find_server(fault)

        def set_enabled(enabled: bool) -> None:
            server.asks_to_wait_s = ASKED_WAIT_S if enabled else 0.0

        await self._enable_for_duration(fault, (server, "asks"), set_enabled)

    async def _name_limit(self, fault: Fault) -> None:
        await self._limits.run(self._find_server(fault), fault.for_s)

    async def _crash_server(self, fault: Fault) -> None:
        server = self._find_server(fault)
        self._active_servers.remove(server)
        proxy = self._server_proxies[server.instance_id]
        proxy.reset_all()
        await proxy.stop()
        await self._add_server()
        await asyncio.sleep(CRASH_REMOVAL_DELAY_S)
        self._fleet.store.put(f"servers/{server.instance_id}", None)

    async def _silence_server(self, fault: Fault) -> None:
        proxy = self._find_server_proxy(fault)
        await self._enable_for_duration(fault, proxy, proxy.hold_all_data)

    async def _hold_server_responses(self, fault: Fault) -> None:
        await self._hold_responses(fault, self._find_server_proxy(fault))

    async def _reset_server_connections(self, fault: Fault) -> None:
        self._find_server_proxy(fault).reset_all()

    async def _slow_server(self, fault: Fault) -> None:
        await self._delay_data(fault, self._find_server_proxy(fault))

    async def _fail_server(self, fault: Fault) -> None:
        server = self._find_server(fault)

        def set_enabled(enabled: bool) -> None:
            server.returns_errors = enabled

        await self._enable_for_duration(fault, server, set_enabled)

    async def _fail_part_of_requests(self, fault: Fault) -> None:
        server = self._find_server(fault)
        part_fault = _SERVER_PART_FAULTS[fault.kind]

        def set_enabled(enabled: bool) -> None:
            server.part_fault = part_fault if enabled else PartFault.NONE

        await self._enable_for_duration(fault, (server, part_fault), set_enabled)

    async def _revoke_key(self, fault: Fault) -> None:
        left = [key for key in self._keys if key not in self._callers.revoked_keys]
        if len(left) < 2:
            return
        key = left[fault.target % len(left)]
        self._callers.revoked_keys.add(key)
        self._publish_configuration()
        self._revoked_keys.append(Removal(key, self._get_elapsed_s()))

    async def _publish_repeatedly(self, fault: Fault) -> None:
        for _ in range(STORM_VERSION_COUNT):
            self._publish_configuration()
            await asyncio.sleep(STORM_INTERVAL_S)


_ACTIONS = {
    FaultKind.HOST_KILLED: lambda run, fault: run.hosts.kill([run.find_host(fault)]),
    FaultKind.ALL_KILLED: _SoakRun._kill_all_hosts,
    FaultKind.HOST_PAUSED: lambda run, fault: run.hosts.pause(
        run.find_host(fault), fault.for_s
    ),
    FaultKind.HOST_TERMINATED: lambda run, fault: run.hosts.terminate(
        run.find_host(fault)
    ),
    FaultKind.HOST_RELOADED: _SoakRun._reload_host,
    FaultKind.STORE_REFUSES: _SoakRun._refuse_store_calls,
    FaultKind.STORE_CUT_OFF: _SoakRun._cut_off_store,
    FaultKind.STORE_DEAF: _SoakRun._hold_store_responses,
    FaultKind.STORE_RESET: _SoakRun._reset_store_connections,
    FaultKind.STORE_SLOW: _SoakRun._slow_store,
    FaultKind.STORE_RETURNS: _SoakRun._return_store,
    FaultKind.SERVER_LEAVES: _SoakRun._announce_leaving,
    FaultKind.SERVER_CRASHES: _SoakRun._crash_server,
    FaultKind.SERVER_SILENT: _SoakRun._silence_server,
    FaultKind.SERVER_DEAF: _SoakRun._hold_server_responses,
    FaultKind.SERVER_RESET: _SoakRun._reset_server_connections,
    FaultKind.SERVER_SLOW: _SoakRun._slow_server,
    FaultKind.SERVER_FAILS: _SoakRun._fail_server,
    FaultKind.HOST_SLOW: lambda run, fault: run.hosts.slow(
        run.find_host(fault), fault.for_s
    ),
    FaultKind.HOST_KILLED_AFTER_CHANGE: _SoakRun._kill_host_after_change,
    **dict.fromkeys(_SERVER_PART_FAULTS, _SoakRun._fail_part_of_requests),
    FaultKind.SERVER_SAYS_LEAVING: _SoakRun._say_leaving,
    FaultKind.SERVER_ASKS_FOR_TIME: _SoakRun._ask_for_time,
    FaultKind.PROMPT_CRASHES_SERVERS: lambda run, fault: run.prompts.run(fault),
    FaultKind.REQUEST_CRASHES_SERVERS: lambda run, fault: run.repeated.run(fault),
    FaultKind.SERVER_NAMES_LIMIT: _SoakRun._name_limit,
    FaultKind.KEY_REVOKED: _SoakRun._revoke_key,
    FaultKind.CONFIGURATION_STORM: _SoakRun._publish_repeatedly,
    FaultKind.STOPS_IN_SERIES: lambda run, fault: run.planned_work.stop_in_series(
        fault
    ),
    FaultKind.ALL_STOPPED: lambda run, fault: run.planned_work.stop_all(fault),
    FaultKind.RELOADS_DURING_DRAIN: (
        lambda run, fault: run.planned_work.reload_while_stopping(fault)
    ),
    FaultKind.STOP_WITH_PAUSES: (
        lambda run, fault: run.planned_work.stop_with_pauses(fault)
    ),
    FaultKind.STOP_DURING_CHANGES: (
        lambda run, fault: run.planned_work.stop_during_changes(fault)
    ),
}
