"""Costs of placement: chats kept by an owner, requests, permits and renewals."""

import random
from collections import Counter
from typing import Any

from bench.placement.engines import Turn
from bench.placement.owners import OwnerRouter
from bench.placement.scenarios import USERS
from bench.placement.world import World
from bench.slopes.documents import list_servers
from bench.slopes.fits import (
    LinearFit,
    Point,
    fit_line,
    measure_allocated_bytes,
    measure_cpu_us,
)
from bench.slopes.sizes import HOSTS, MODELS, SERVERS
from oleanderpier.placement import PermitRequest, Placement
from oleanderpier.placement.affinity import ChatAffinity
from oleanderpier.placement.messages import Grant, PermitQuery, Release, Renewal
from oleanderpier.placement.owners import OwnerTable
from oleanderpier.placement.pools import divide_servers
from oleanderpier.utils import ManualTimers, decode_message, encode_message, hash_text

__all__ = ["count_pools", "measure_pools"]

CHAT_COUNTS = (4_000, 8_000, 16_000, 32_000)
ENGINE_COUNTS = (4, 8, 12, 16)
POOL_COUNTS = (50, 150, 300)
REQUESTS_PER_REPEAT = 1_500
IN_FLIGHT_PER_ENGINE = 10
PERMIT_COUNTS = (40, 80, 160)
CONFIGURATION = {
    "version": 1,
    "classes": [
        {
            "name": "review",
            "kind": "engine",
            "needs": "model-0",
            "repeatable": True,
            "first_token_s": 1.6,
            "between_tokens_s": 0.049,
            "whole_s": 60.0,
        }
    ],
    "workspaces": [],
    "load_multiple": 1.25,
}
REQUEST_INTERVAL_S = 0.01


def count_pools() -> dict[str, float]:
    """Return the numbers of pools and of owners at the target size.

    ``most owned`` is the largest number of pools that one host owns.
    """
    numbers = [pool.number for pool in divide_servers(list_servers(SERVERS))]
    table = OwnerTable()
    table.update(numbers, [f"h{index}" for index in range(HOSTS)])
    owned = Counter(table.find_owner(number) for number in numbers)
    return {
        "pools": len(numbers),
        "owners": len(owned),
        "most owned": max(owned.values()),
    }


def _fill_affinity(chats: int) -> ChatAffinity:
    affinity = ChatAffinity()
    for index in range(chats):
        for turn in range(2):
            affinity.record_placement(
                hash_text(f"chat-{index}"), f"engine-{(index + turn) % 12}"
            )
    return affinity


def _measure_request(engines: int) -> tuple[Point, Point]:
    """Return the processor time and the sent bytes per routed request."""
    scenario = USERS._replace(engines=engines, replaced_ratio_per_minute=0.0)
    world = World(scenario, OwnerRouter)
    world.timers.advance(1.0)
    rng, releases, numbers = random.Random(1), [], iter(range(1 << 30))

    def record_release(engine: str | None, release: Any) -> None:
        releases.append(release)

    def route_request() -> None:
        number = next(numbers)
        chat, workspace = f"chat-{rng.randrange(800)}", f"workspace-{number % 10}"
        turn = Turn(number, chat, workspace, "season-review", 1, 0, 1)
        world.router.place(turn, world.hosts[number % len(world.hosts)], record_release)
        world.timers.advance(REQUEST_INTERVAL_S)
        if len(releases) > IN_FLIGHT_PER_ENGINE * engines:
            releases.pop(rng.randrange(len(releases)))()

    for _ in range(2 * IN_FLIGHT_PER_ENGINE * engines):
        route_request()
    before = Counter(world.router.sent_bytes_by_type)
    minimum, maximum = measure_cpu_us(route_request, REQUESTS_PER_REPEAT, 3)
    sent = world.router.sent_bytes_by_type - before
    bytes_per_request = (
        sum(v for k, v in sent.items() if k != "Renewal") / REQUESTS_PER_REPEAT / 3
    )
    return Point(engines, minimum, maximum), Point(
        engines, bytes_per_request, bytes_per_request
    )


class _RecordingOutbox:
    """An outbox that encodes, decodes and records the sent messages."""

    def __init__(self) -> None:
        self.messages: list[Any] = []
        self.sent_bytes = 0

    def send(self, host: str, message: Any) -> bool:
        data = encode_message(message)
        self.sent_bytes += len(data)
        self.messages.append(decode_message(data))
        return True


def _measure_owner(engines: int) -> tuple[Point, Point]:
    """Return the processor time and the sent bytes per request at the owner alone."""
    outbox, timers = _RecordingOutbox(), ManualTimers()
    hosts = [f"h{index}" for index in range(9)]
    owner = Placement(hosts[0], timers, random.Random(1), outbox)
    servers = list_servers(engines * MODELS)[::MODELS]
    owner.update_hosts(hosts, hosts[1:])
    owner.update_backend_servers(servers)
    (pool,) = divide_servers(servers)
    timers.advance(1.0)
    rng, permits, numbers = random.Random(2), [], iter(range(1, 1 << 30))

    def receive(sender: str, message: Any) -> None:
        owner.handle(sender, decode_message(encode_message(message)))

    def serve_request() -> None:
        number = next(numbers)
        sender = hosts[1 + number % 8]
        receive(
            sender, PermitQuery(number, pool.number, rng.getrandbits(9) + 1, 7, 1_600)
        )
        timers.advance(REQUEST_INTERVAL_S)
        permits.append((sender, number))
        if len(permits) > IN_FLIGHT_PER_ENGINE * engines:
            sender, number = permits.pop(rng.randrange(len(permits)))
            receive(sender, Release(pool.number, [number], [], []))

    for _ in range(2 * IN_FLIGHT_PER_ENGINE * engines):
        serve_request()
    before = outbox.sent_bytes
    minimum, maximum = measure_cpu_us(serve_request, REQUESTS_PER_REPEAT, 3)
    granted = sum(isinstance(message, Grant) for message in outbox.messages)
    if granted < 3 * REQUESTS_PER_REPEAT:
        raise RuntimeError(
            f"the owner granted {granted} requests, expected at least"
            f" {3 * REQUESTS_PER_REPEAT}"
        )
    bytes_per_request = (outbox.sent_bytes - before) / REQUESTS_PER_REPEAT / 3
    return Point(engines, minimum, maximum), Point(
        engines, bytes_per_request, bytes_per_request
    )


def _make_permit_holder(count: int) -> Placement:
    """Return a host that owns a pool and holds permits in it."""
    timers = ManualTimers()
    placement = Placement("h0", timers, random.Random(1), _RecordingOutbox())
    servers = list_servers(count // IN_FLIGHT_PER_ENGINE * MODELS)[::MODELS]
    placement.update_hosts(["h0"])
    placement.update_backend_servers(servers)
    placement.update_configuration(CONFIGURATION)
    timers.advance(1.0)
    granted: list[Any] = []
    for index in range(count):
        request = PermitRequest(
            f"host-1234-{index:016x}", f"chat-{index}", "workspace-1", "review"
        )
        placement.request(request, granted.append)
        timers.advance(REQUEST_INTERVAL_S)
    if sum(result.is_ok() for result in granted) < count:
        raise RuntimeError(f"not all of {count} requests got a permit")
    return placement


def _measure_renewal(pools: int) -> tuple[Point, Point]:
    """Return the bytes and the processor time to renew one permit in each pool."""
    rng = random.Random(1)
    messages = [
        Renewal(rng.getrandbits(32), [rng.getrandbits(31)]) for _ in range(pools)
    ]
    sent_bytes = sum(len(encode_message(message)) for message in messages)

    def encode_and_decode() -> None:
        for message in messages:
            decode_message(encode_message(message))

    return Point(pools, sent_bytes, sent_bytes), Point(
        pools, *measure_cpu_us(encode_and_decode, 5)
    )


def measure_pools() -> dict[str, LinearFit]:
    """Measure memory, bytes and processor time of pool owners and entry hosts."""
    chats = []
    for size in CHAT_COUNTS:
        allocated = measure_allocated_bytes(lambda size=size: _fill_affinity(size))
        chats.append(Point(size, allocated, allocated))
    permits = []
    for size in PERMIT_COUNTS:
        allocated = measure_allocated_bytes(lambda size=size: _make_permit_holder(size))
        permits.append(Point(size, allocated, allocated))
    requests = [_measure_request(size) for size in ENGINE_COUNTS]
    owned = [_measure_owner(size) for size in ENGINE_COUNTS]
    renewals = [_measure_renewal(size) for size in POOL_COUNTS]
    return {
        "chats": fit_line("chats kept for a pool, bytes", "chats", chats),
        "permits": fit_line(
            "permits, entry host and owner together, bytes", "permits", permits
        ),
        "request cpu": fit_line(
            "a routed request, entry host and owner together, µs",
            "engines per pool",
            [cpu for cpu, _ in requests],
        ),
        "request bytes": fit_line(
            "sent per routed request, bytes",
            "engines per pool",
            [sent for _, sent in requests],
        ),
        "owner cpu": fit_line(
            "a request, owner alone, µs",
            "engines per pool",
            [cpu for cpu, _ in owned],
        ),
        "owner bytes": fit_line(
            "sent by the owner per request, bytes",
            "engines per pool",
            [sent for _, sent in owned],
        ),
        "renewal bytes": fit_line(
            "one round of renewals, bytes", "pools", [sent for sent, _ in renewals]
        ),
        "renewal cpu": fit_line(
            "one round of renewals, both ends, µs",
            "pools",
            [cpu for _, cpu in renewals],
        ),
    }
