"""The package itself as a router: one placement a host, on a network model."""

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from bench.placement.engines import Stream, Turn
from bench.placement.routers import Router
from bench.placement.scenarios import (
    CACHE_EVENT_LAG_S,
    CACHE_EVENT_LOSS,
    CLASSES,
    DETECTION_S,
    DOCUMENT_SPREAD_S,
    LOAD_MULTIPLE,
    MESSAGE_DELAY_S,
)
from oleanderpier.placement import Outcome, Permit, PermitRequest, Placement
from oleanderpier.utils import decode_message, encode_message

if TYPE_CHECKING:
    from bench.placement.world import World

__all__ = ["OwnerRouter", "OwnerWithoutMigrationRouter"]

READERS_S = 1.0


class Outbox:
    """Sends between hosts with a delay, and counts the bytes."""

    def __init__(self, host: str, router: "OwnerRouter"):
        self._host = host
        self._router = router

    def send(self, host: str, message: Any) -> bool:
        """Hand a message to the wire."""
        data = encode_message(message)
        self._router.bytes_sent += len(data)
        self._router.sent_bytes_by_type[type(message).__name__] += len(data)

        def deliver() -> None:
            placement = self._router.placements.get(host)
            if placement is not None:
                placement.handle(self._host, decode_message(data))

        self._router.world.timers.call_later(MESSAGE_DELAY_S, deliver)
        return True


class OwnerRouter(Router):
    """The package: permits from the pools' owner hosts."""

    name = "pool owners"
    migrates = True

    def __init__(self, world: "World"):
        self.bytes_sent = 0
        self.sent_bytes_by_type: Counter[str] = Counter()
        self.migrations = 0
        self._readers: dict[str, tuple[float, list[str]]] = {}
        self._permits: dict[int, Permit] = {}
        self._streams: dict[tuple[str, int], Stream] = {}
        self.placements: dict[str, Placement] = {}
        self._spread = random.Random(world.scenario.seed + 2)
        for index, name in enumerate(world.hosts):
            self.placements[name] = Placement(
                name,
                world.timers,
                random.Random(index),
                Outbox(name, self),
                partial(self._migrate, name) if self.migrates else None,
            )
        super().__init__(world)
        configuration = {
            "version": 1,
            "classes": [
                {
                    "name": name,
                    "kind": "engine",
                    "needs": "share-explainer",
                    "repeatable": True,
                    "first_token_s": target_s,
                    "between_tokens_s": 0.1,
                    "whole_s": 60.0,
                }
                for name, target_s in CLASSES.items()
            ],
            "workspaces": [],
            "load_multiple": LOAD_MULTIPLE,
        }
        for placement in self.placements.values():
            placement.update_configuration(configuration)
            placement.update_hosts(world.hosts)

    def count_bytes(self) -> int:
        """Return the bytes that all hosts have sent to other hosts."""
        return self.bytes_sent

    def update_engines(self) -> None:
        """Hand the published engines to each host at a time of its own."""
        servers = list(self.world.published.values())
        for placement in self.placements.values():
            delay_s = self._spread.uniform(0, DOCUMENT_SPREAD_S)
            if not self.world.timers.now():
                delay_s = 0.0
            self.world.timers.call_later(
                delay_s,
                lambda placement=placement: placement.update_backend_servers(servers),
            )

    def note_cache_event(self, name: str, kind: str, chat: str) -> None:
        """Hand a late cache event to the host that reads the engine's."""
        for host in self._list_readers(name):
            self.placements[host].record_cache_event(name, kind, chat)

    def _list_readers(self, name: str) -> list[str]:
        """Return the hosts that read an engine's cache events now."""
        now = self.world.timers.now()
        known = self._readers.get(name)
        if known is None or now - known[0] > READERS_S:
            hosts = [h for h, p in self.placements.items() if p.owns_pool_of(name)]
            self._readers[name] = known = (now, hosts)
        return known[1]

    def kill_owner(self) -> None:
        """Kill the owner of the first engine's pool; the rest notice later."""
        owner = self._list_readers(next(iter(self.world.published)))[0]
        self.world.remove_host(owner)
        self._readers.clear()
        del self.placements[owner]
        for (entry, number), stream in list(self._streams.items()):
            if entry == owner:
                del self._streams[entry, number]
                stream.engine.drop(stream)
        self.world.timers.call_later(DETECTION_S, self._note_dead)

    def _note_dead(self) -> None:
        for placement in self.placements.values():
            placement.update_hosts(self.world.hosts)
        self._readers.clear()
        self.world.timers.call_later(CACHE_EVENT_LAG_S, self._read_caches)

    def _read_caches(self) -> None:
        """Have new owners read the events that the engines still have."""
        for engine in self.world.list_live():
            for chat in engine.cache:
                if self._spread.random() >= CACHE_EVENT_LOSS:
                    self.note_cache_event(engine.name, "stored", chat)

    def place(self, turn: Turn, entry: str, assigned: Callable) -> None:
        """Ask the entry host's placement for a permit."""
        placement = self.placements[entry]

        def granted(permit: Permit | None) -> None:
            if permit is None:
                assigned(None, lambda: None)
                return
            self._permits[turn.number] = permit
            self._streams[entry, permit.number] = assigned(
                permit.backend_server, release
            )

        def release() -> None:
            permit = self._permits.pop(turn.number)
            self._streams.pop((entry, permit.number), None)
            placement.release(permit)

        self._request(turn, entry, granted)

    def _request(
        self, turn: Turn, entry: str, granted: Callable, avoid: str = ""
    ) -> None:
        request = PermitRequest(
            str(turn.number), turn.chat, turn.workspace, turn.work_class, avoid
        )

        def notify(result: Any) -> None:
            granted(result.ok if result.is_ok() else None)

        self.placements[entry].request(request, notify)

    def _migrate(self, entry: str, permit: Permit) -> None:
        stream = self._streams.get((entry, permit.number))
        if stream is None:
            return
        turn, placement = stream.turn, self.placements[entry]

        def granted(other: Permit | None) -> None:
            if other is None:
                return
            if self._permits.get(turn.number) is not permit:
                placement.release(other, Outcome.ABANDONED)
                return
            self.migrations += 1
            self._permits[turn.number] = other
            del self._streams[entry, permit.number]
            self._streams[entry, other.number] = stream
            stream.migrate(
                self.world.engines[other.backend_server], self.world.timers.now()
            )
            placement.release(permit, Outcome.ABANDONED)

        self._request(turn, entry, granted, avoid=permit.backend_server)


class OwnerWithoutMigrationRouter(OwnerRouter):
    """The package, where streams cannot be resumed elsewhere."""

    name = "pool owners, no migration"
    migrates = False
