"""One daemon: its parts, from start to drain."""

import asyncio
import random
from collections import Counter
from typing import Any

import aiohttp
from aiohttp import web
from eliot import log_message

from oleanderpier.configuration import (
    BackendServer,
    Host,
    Published,
    WorkClass,
    check_document,
)
from oleanderpier.daemon.callers import make_caller_app
from oleanderpier.daemon.operators import make_operator_app
from oleanderpier.events import Clock, Ring
from oleanderpier.exception import SettingsError
from oleanderpier.peers import Address, Mesh
from oleanderpier.results import Code
from oleanderpier.settings import Settings
from oleanderpier.utils import LoopTimers, rank_candidates

__all__ = ["Node"]

DOCUMENT_NAMES = ("configuration", "hosts", "backend_servers")
MAX_ADDRESSES = 3
MILLISECONDS_PER_S = 1000
POLL_S = 0.1
RETRY_S = 0.5


class Node:
    """The parts of one daemon, wired to each other.

    Args:
        settings: The complete settings of this host.

    Attributes:
        state: ``starting``, ``ready`` or ``draining``.
        in_progress: How many requests of callers are under way.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.host = settings["host"]
        self.state = "starting"
        self.in_progress = 0
        self.timers = LoopTimers()
        self.started_s = self.timers.wall()
        self.incarnation = int(self.started_s * MILLISECONDS_PER_S)
        self.rng = random.Random(f"{self.host}:{self.incarnation}")
        clock = Clock(self.timers)
        kept = settings["limits"]["events_kept"]
        self.ring = Ring(self.host, self.incarnation, clock, self.timers, kept)
        self.mesh = Mesh(self.host, self.incarnation, self.timers, clock)
        self.documents: dict[str, Published] = {}
        self.in_flight: Counter[str] = Counter()
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Listen, and follow what the platform publishes."""
        settings = self.settings
        self.session = aiohttp.ClientSession()
        await self.mesh.listen(settings["address"], settings["peer_port"])
        for app, port in (
            (make_operator_app(self), settings["operator_port"]),
            (make_caller_app(self), settings["caller_port"]),
        ):
            runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
            await runner.setup()
            await web.TCPSite(runner, settings["address"], port).start()
            self._runners.append(runner)
        loop = asyncio.get_running_loop()
        for name in DOCUMENT_NAMES:
            self._tasks.append(loop.create_task(self._follow_document(name)))
        self.ring.record("daemon:started", self.host)

    async def drain(self) -> None:
        """Leave the directory, then finish what is in progress."""
        self.state = "draining"
        self.ring.record("daemon:draining", self.host)
        limits = self.settings["limits"]
        deadline = self.timers.now() + limits["drain_s"]
        await asyncio.sleep(limits["address_keep_s"])
        while self.in_progress and self.timers.now() < deadline:
            await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """Close everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()
        await self.mesh.close()
        await self.session.close()

    def find_class(self, name: str) -> WorkClass | None:
        """Return a class of work by name."""
        return self._find("configuration", "classes", name)

    def has_workspace(self, name: str) -> bool:
        """Return whether the configuration has a workspace."""
        return self._find("configuration", "workspaces", name) is not None

    def choose_addresses(self, workspace: str) -> list[Host]:
        """Return the hosts that a caller of a workspace should use, best first."""
        if "hosts" not in self.documents:
            return []
        hosts = {
            host["name"]: host
            for host in self.documents["hosts"].body["hosts"]
            if host["state"] == "live"
        }
        ranked = rank_candidates(f"{workspace}:{self.rng.random()}", hosts)
        return [hosts[name] for name in ranked[:MAX_ADDRESSES]]

    def choose_backend_server(
        self, work_class: WorkClass, key: str
    ) -> BackendServer | None:
        """Return the least loaded backend server, ties broken by key."""
        servers = {
            server["name"]: server
            for server in self.documents["backend_servers"].body["backend_servers"]
            if server["state"] == "live" and work_class["needs"] in server["provides"]
        }
        ranked = rank_candidates(key, servers)
        if not ranked:
            return None
        return servers[min(ranked, key=lambda name: self.in_flight[name])]

    def _find(self, document: str, field: str, name: str) -> Any:
        published = self.documents.get(document)
        items = published.body[field] if published else []
        return next((item for item in items if item["name"] == name), None)

    async def _follow_document(self, name: str) -> None:
        platform = self.settings["platform"]
        base = f"http://{platform['address']}:{platform['port']}/v1/values/{name}"
        while True:
            known = self.documents.get(name)
            wait_s = self.settings["limits"]["platform_wait_s"]
            query = {"after": str(known.version if known else 0), "wait_s": str(wait_s)}
            try:
                async with self.session.get(base, params=query) as answer:
                    if answer.status == 200:
                        self._accept(check_document(name, await answer.json()))
            except (aiohttp.ClientError, OSError, SettingsError) as error:
                log_message("daemon:document_not_read", name=name, reason=repr(error))
                await asyncio.sleep(RETRY_S)

    def _accept(self, published: Published) -> None:
        known = self.documents.get(published.name)
        if known and known.order >= published.order:
            return
        self.documents[published.name] = published
        if published.name == "hosts":
            self.mesh.update_addresses(
                {
                    host["name"]: Address(host["address"], host["peer_port"])
                    for host in published.body["hosts"]
                }
            )
        if len(self.documents) == len(DOCUMENT_NAMES) and self.state == "starting":
            self.state = "ready"
            self.ring.record("daemon:ready", self.host, Code.DONE)
