"""One daemon: its parts, from start to drain."""

import asyncio
import random
from collections import Counter
from typing import Any

import aiohttp
from aiohttp import web
from eliot import log_message

from oleanderpier.claims import Claims, HostLists
from oleanderpier.configuration import (
    DOCUMENT_NAMES,
    BackendServer,
    Documents,
    DocumentVersions,
    Host,
    PlatformSeen,
    Published,
    Refusal,
    Spread,
    WatchDuty,
    WorkClass,
)
from oleanderpier.daemon.callers import make_caller_app
from oleanderpier.daemon.operators import make_operator_app
from oleanderpier.events import Clock, Ring
from oleanderpier.membership import MemberCard, Members, MemberState
from oleanderpier.peers import Address, Mesh
from oleanderpier.results import Code
from oleanderpier.settings import Settings
from oleanderpier.utils import LoopTimers, rank_candidates

__all__ = ["Node"]

MEMBERSHIP_NUMBERS = range(20, 40)
CONFIGURATION_NUMBERS = range(40, 60)
CLAIM_NUMBERS = range(60, 80)
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
        self.in_flight: Counter[str] = Counter()
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task] = []
        self._build_parts()
        self._connect_parts()

    def _build_parts(self) -> None:
        settings, timers, rng = self.settings, self.timers, self.rng
        clock = Clock(timers)
        kept = settings["limits"]["events_kept"]
        self.ring = Ring(self.host, self.incarnation, clock, timers, kept)
        self.mesh = Mesh(self.host, self.incarnation, timers, clock)
        self.documents = Documents()
        self.members = Members(
            MemberCard(
                self.host,
                settings["failure_domain"],
                settings["address"],
                settings["peer_port"],
            ),
            timers,
            rng,
            self.mesh,
            [
                MemberCard(seed["name"], "", seed["address"], seed["peer_port"])
                for seed in settings["seed_peers"]
            ],
        )
        self.spread = Spread(self.documents, self.members, timers, rng, self.mesh)
        self.duty = WatchDuty(self.members, timers, rng, self.mesh)
        incarnation = str(self.incarnation)
        self.lists = HostLists(self.host, incarnation, timers, self.mesh)
        self.claims = Claims(self.host, incarnation, timers, rng, self.mesh, self.lists)

    def _connect_parts(self) -> None:
        mesh = self.mesh
        mesh.subscribe_range(MEMBERSHIP_NUMBERS, self.members.handle)
        mesh.subscribe_range(CONFIGURATION_NUMBERS, self.spread.handle)
        mesh.subscribe_range(CLAIM_NUMBERS, self.claims.handle)
        mesh.subscribe(PlatformSeen, self.duty.handle)
        mesh.subscribe(DocumentVersions, self._hear_versions)
        self.documents.subscribe("hosts", self._adopt_hosts)
        for name in DOCUMENT_NAMES:
            self.documents.subscribe(name, self._record_document)
        self.documents.subscribe_refusals(self._record_refusal)
        self.members.subscribe(self._record_member)
        for seed in self.settings["seed_peers"]:
            address = Address(seed["address"], seed["peer_port"])
            mesh.update_addresses({seed["name"]: address})

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
        self.members.start()
        self.spread.start()
        self.duty.start()
        loop = asyncio.get_running_loop()
        for name in DOCUMENT_NAMES:
            self._tasks.append(loop.create_task(self._follow_document(name)))
        self._tasks.append(loop.create_task(self._become_ready()))
        self.ring.record("daemon:started", self.host)

    async def drain(self) -> None:
        """Leave the directory, then finish what is in progress."""
        self.state = "draining"
        self.ring.record("daemon:draining", self.host)
        self.members.leave()
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
        published = self.documents.get("hosts")
        if published is None:
            return []
        alive = set(self.members.list_alive())
        hosts = {
            host["name"]: host
            for host in published.body["hosts"]
            if host["state"] == "live" and host["name"] in alive
        }
        ranked = rank_candidates(f"{workspace}:{self.rng.random()}", hosts)
        return [hosts[name] for name in ranked[:MAX_ADDRESSES]]

    def choose_backend_server(
        self, work_class: WorkClass, key: str
    ) -> BackendServer | None:
        """Return the least loaded backend server, ties broken by key."""
        published = self.documents.get("backend_servers")
        servers = {
            server["name"]: server
            for server in published.body["backend_servers"]
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

    async def _become_ready(self) -> None:
        while not self.spread.is_ready():
            await asyncio.sleep(POLL_S)
        if self.state == "starting":
            self.state = "ready"
            self.ring.record("daemon:ready", self.host)

    async def _follow_document(self, name: str) -> None:
        platform = self.settings["platform"]
        base = f"http://{platform['address']}:{platform['port']}/v1/values/{name}"
        while True:
            if not self.duty.is_on():
                await asyncio.sleep(POLL_S)
                continue
            known = self.documents.get(name)
            wait_s = self.settings["limits"]["platform_wait_s"]
            query = {"after": str(known.version if known else 0), "wait_s": str(wait_s)}
            try:
                async with self.session.get(base, params=query) as answer:
                    self.duty.confirm()
                    if answer.status == 200:
                        self.documents.offer_value(name, await answer.json())
            except (aiohttp.ClientError, OSError) as error:
                log_message("daemon:document_not_read", name=name, reason=repr(error))
                await asyncio.sleep(RETRY_S)

    def _adopt_hosts(self, published: Published) -> None:
        hosts = published.body["hosts"]
        addresses = {
            host["name"]: Address(host["address"], host["peer_port"]) for host in hosts
        }
        self.mesh.update_addresses(addresses)
        self.members.adopt_list(published)
        self.lists.adopt(published.body)

    def _hear_versions(self, sender: str, message: DocumentVersions) -> None:
        """Let the host lists learn from the versions that travel with pings."""
        self.spread.handle(sender, message)
        incarnation = self.mesh.find_incarnation(sender)
        for version in message.versions:
            if version.name == "hosts" and incarnation is not None:
                self.lists.hear(sender, str(incarnation), version.version)

    def _record_document(self, published: Published) -> None:
        text = f"version {published.version}, digest {published.digest}"
        self.ring.record("configuration:in_force", published.name, text=text)

    def _record_refusal(self, refusal: Refusal) -> None:
        self.ring.record(
            "configuration:refused",
            refusal.name,
            Code.CONFIGURATION_INVALID,
            refusal.text,
        )

    def _record_member(self, host: str, state: MemberState) -> None:
        card = self.members.find_card(host)
        if card is not None:
            address = Address(card.address, card.peer_port)
            self.mesh.update_addresses({host: address})
        self.ring.record("membership:state", host, text=state.name.lower())
