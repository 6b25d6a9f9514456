"""Routers that use ``oleanderpier.placement`` itself, over a simulated network."""

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from bench.placement.engines import Stream, Turn
from bench.placement.routers import Router
from bench.placement.scenarios import (
    CACHE_EVENT_DELAY_S,
    CACHE_EVENT_LOSS_RATIO,
    FAILURE_DETECTION_S,
    FIRST_TOKEN_TARGETS_S,
    LOAD_MULTIPLE,
    MAX_DOCUMENT_DELAY_S,
    MESSAGE_DELAY_S,
)
from oleanderpier.placement import Outcome, Permit, PermitRequest, Placement
from oleanderpier.utils import decode_message, encode_message

if TYPE_CHECKING:
    from bench.placement.world import World

__all__ = ["OwnerRouter", "OwnerWithoutMigrationRouter"]

# How long the list of hosts that read an engine's cache events is reused.
READERS_REFRESH_S = 1.0


class SimulatedOutbox:
    """Delivers messages between hosts after a fixed delay, and counts their bytes.

    Args:
        host: The sending host.
        router: The router that holds the placements of all hosts and the byte counts.
    """

    def __init__(self, host: str, router: "OwnerRouter"):
        self._host = host
        self._router = router

    def send(self, host: str, message: Any) -> bool:
        """Send a message to a host; it is lost if the host has been removed."""
        data = encode_message(message)
        self._router.sent_bytes += len(data)
        self._router.sent_bytes_by_type[type(message).__name__] += len(data)

        def deliver() -> None:
            placement = self._router.placements.get(host)
            if placement is not None:
                placement.handle(self._host, decode_message(data))

        self._router.world.timers.call_later(MESSAGE_DELAY_S, deliver)
        return True


class OwnerRouter(Router):
    """Placement by permits from the owner hosts of the pools.

    Attributes:
        sent_bytes: Bytes sent between hosts so far.
        sent_bytes_by_type: The same by name of the message class.
        migrations: Number of streams migrated so far.
        placements: The ``Placement`` of each host.
    """

    name = "pool owners"
    migrates = True

    def __init__(self, world: "World"):
        self.sent_bytes = 0
        self.sent_bytes_by_type: Counter[str] = Counter()
        self.migrations = 0
        self._cache_event_readers: dict[str, tuple[float, list[str]]] = {}
        self._permits: dict[int, Permit] = {}
        self._streams: dict[tuple[str, int], Stream] = {}
        self.placements: dict[str, Placement] = {}
        self._rng = random.Random(world.scenario.seed + 2)
        for index, name in enumerate(world.hosts):
            self.placements[name] = Placement(
                name,
                world.timers,
                random.Random(index),
                SimulatedOutbox(name, self),
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
                for name, target_s in FIRST_TOKEN_TARGETS_S.items()
            ],
            "workspaces": [],
            "load_multiple": LOAD_MULTIPLE,
        }
        for placement in self.placements.values():
            placement.update_configuration(configuration)
            placement.update_hosts(world.hosts)

    def count_sent_bytes(self) -> int:
        """Return the number of bytes sent between hosts so far."""
        return self.sent_bytes

    def update_engines(self) -> None:
        """Pass the published engines to each host, after a random delay per host.

        At time 0 there is no delay, so that the run starts with equal documents.
        """
        servers = list(self.world.published.values())
        for placement in self.placements.values():
            delay_s = self._rng.uniform(0, MAX_DOCUMENT_DELAY_S)
            if not self.world.timers.now():
                delay_s = 0.0
            self.world.timers.call_later(
                delay_s,
                lambda placement=placement: placement.update_backend_servers(servers),
            )

    def handle_cache_event(self, name: str, kind: str, chat: str) -> None:
        """Pass a delayed cache event to the hosts that read the engine's events."""
        for host in self._list_cache_event_readers(name):
            self.placements[host].record_cache_event(name, kind, chat)

    def _list_cache_event_readers(self, name: str) -> list[str]:
        """Return the owners of an engine's pool, which read its cache events."""
        now = self.world.timers.now()
        cached = self._cache_event_readers.get(name)
        if cached is None or now - cached[0] > READERS_REFRESH_S:
            hosts = [h for h, p in self.placements.items() if p.owns_pool_of(name)]
            self._cache_event_readers[name] = cached = (now, hosts)
        return cached[1]

    def kill_owner(self) -> None:
        """Kill the owner of the first engine's pool.

        Its own streams end at once. The other hosts learn of the failure after
        ``FAILURE_DETECTION_S``.
        """
        owner = self._list_cache_event_readers(next(iter(self.world.published)))[0]
        self.world.remove_host(owner)
        self._cache_event_readers.clear()
        del self.placements[owner]
        for (entry, number), stream in list(self._streams.items()):
            if entry == owner:
                del self._streams[entry, number]
                stream.engine.cancel(stream)
        self.world.timers.call_later(FAILURE_DETECTION_S, self._handle_host_failure)

    def _handle_host_failure(self) -> None:
        for placement in self.placements.values():
            placement.update_hosts(self.world.hosts)
        self._cache_event_readers.clear()
        self.world.timers.call_later(CACHE_EVENT_DELAY_S, self._replay_cache_events)

    def _replay_cache_events(self) -> None:
        """Replay the cache events that the engines have kept to the new owners."""
        for engine in self.world.list_live_engines():
            for chat in engine.cached_tokens:
                if self._rng.random() >= CACHE_EVENT_LOSS_RATIO:
                    self.handle_cache_event(engine.name, "stored", chat)

    def place(self, turn: Turn, entry: str, on_assigned: Callable) -> None:
        """Request a permit through the placement of the entry host."""
        placement = self.placements[entry]

        def on_granted(permit: Permit | None) -> None:
            if permit is None:
                on_assigned(None, lambda: None)
                return
            self._permits[turn.number] = permit
            self._streams[entry, permit.number] = on_assigned(
                permit.backend_server, release
            )

        def release() -> None:
            permit = self._permits.pop(turn.number)
            self._streams.pop((entry, permit.number), None)
            placement.release(permit)

        self._request_permit(turn, entry, on_granted)

    def _request_permit(
        self, turn: Turn, entry: str, on_granted: Callable, avoid: str = ""
    ) -> None:
        request = PermitRequest(
            str(turn.number), turn.chat, turn.workspace, turn.work_class, avoid
        )

        def handle_result(result: Any) -> None:
            on_granted(result.ok if result.is_ok() else None)

        self.placements[entry].request(request, handle_result)

    def _migrate(self, entry: str, permit: Permit) -> None:
        stream = self._streams.get((entry, permit.number))
        if stream is None:
            return
        turn, placement = stream.turn, self.placements[entry]

        def on_granted(new_permit: Permit | None) -> None:
            if new_permit is None:
                return
            if self._permits.get(turn.number) is not permit:
                placement.release(new_permit, Outcome.ABANDONED)
                return
            self.migrations += 1
            self._permits[turn.number] = new_permit
            del self._streams[entry, permit.number]
            self._streams[entry, new_permit.number] = stream
            stream.migrate(
                self.world.engines[new_permit.backend_server], self.world.timers.now()
            )
            placement.release(permit, Outcome.ABANDONED)

        self._request_permit(turn, entry, on_granted, avoid=permit.backend_server)


class OwnerWithoutMigrationRouter(OwnerRouter):
    """Placement by pool owners without the migration of running streams."""

    name = "pool owners, no migration"
    migrates = False
