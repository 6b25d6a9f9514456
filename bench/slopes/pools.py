"""Slopes of placement: an owner's chats, a request, renewals, and peers."""

import random
from collections import Counter
from typing import Any

from bench.placement.engines import Turn
from bench.placement.owners import OwnerRouter
from bench.placement.scenarios import USERS
from bench.placement.world import World
from bench.slopes.documents import list_servers
from bench.slopes.fits import Point, Slope, find_least_us, fit_slope, measure_held
from bench.slopes.sizes import HOSTS, MODELS, SERVERS
from oleanderpier.placement import PermitRequest, Placement
from oleanderpier.placement.affinity import ChatAffinity
from oleanderpier.placement.messages import Grant, PermitQuery, Release, Renewal
from oleanderpier.placement.owners import OwnerTable
from oleanderpier.placement.pools import divide_servers
from oleanderpier.utils import ManualTimers, decode_message, encode_message, hash_text

__all__ = ["count_pools", "measure_pools"]

CHAT_SIZES = (4_000, 8_000, 16_000, 32_000)
ENGINE_SIZES = (4, 8, 12, 16)
POOL_SIZES = (50, 150, 300)
REQUESTS = 1_500
FLIGHT_AN_ENGINE = 10
PERMIT_SIZES = (40, 80, 160)
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
STEP_S = 0.01


def count_pools() -> dict[str, float]:
    """Return how the pools at the size to come fall on its hosts."""
    numbers = [pool.number for pool in divide_servers(list_servers(SERVERS))]
    table = OwnerTable()
    table.update(numbers, [f"h{index}" for index in range(HOSTS)])
    owned = Counter(table.find_owner(number) for number in numbers)
    return {
        "pools": len(numbers),
        "owners": len(owned),
        "most owned": max(owned.values()),
    }


def _fill_homes(chats: int) -> ChatAffinity:
    homes = ChatAffinity()
    for index in range(chats):
        for turn in range(2):
            homes.record_placement(
                hash_text(f"chat-{index}"), f"engine-{(index + turn) % 12}"
            )
    return homes


def _measure_request(engines: int) -> tuple[Point, Point]:
    """Return processor time and bytes of a routed request."""
    scenario = USERS._replace(engines=engines, replaced_ratio_per_minute=0.0)
    world = World(scenario, OwnerRouter)
    world.timers.advance(1.0)
    rng, releases, numbers = random.Random(1), [], iter(range(1 << 30))

    def assigned(engine: str | None, release: Any) -> None:
        releases.append(release)

    def route() -> None:
        number = next(numbers)
        chat, workspace = f"chat-{rng.randrange(800)}", f"workspace-{number % 10}"
        turn = Turn(number, chat, workspace, "season-review", 1, 0, 1)
        world.router.place(turn, world.hosts[number % len(world.hosts)], assigned)
        world.timers.advance(STEP_S)
        if len(releases) > FLIGHT_AN_ENGINE * engines:
            releases.pop(rng.randrange(len(releases)))()

    for _ in range(2 * FLIGHT_AN_ENGINE * engines):
        route()
    before = Counter(world.router.sent_bytes_by_type)
    least, most = find_least_us(route, REQUESTS, 3)
    sent = world.router.sent_bytes_by_type - before
    octets = sum(v for k, v in sent.items() if k != "Renewal") / REQUESTS / 3
    return Point(engines, least, most), Point(engines, octets, octets)


class _Captured:
    """An outbox that keeps what is sent, encoded and decoded."""

    def __init__(self) -> None:
        self.messages: list[Any] = []
        self.octets = 0

    def send(self, host: str, message: Any) -> bool:
        data = encode_message(message)
        self.octets += len(data)
        self.messages.append(decode_message(data))
        return True


def _measure_owner(engines: int) -> tuple[Point, Point]:
    """Return processor time and bytes of a request at the owner alone."""
    outbox, timers = _Captured(), ManualTimers()
    hosts = [f"h{index}" for index in range(9)]
    owner = Placement(hosts[0], timers, random.Random(1), outbox)
    servers = list_servers(engines * MODELS)[::MODELS]
    owner.update_hosts(hosts, hosts[1:])
    owner.update_backend_servers(servers)
    (pool,) = divide_servers(servers)
    timers.advance(1.0)
    rng, held, numbers = random.Random(2), [], iter(range(1, 1 << 30))

    def take(sender: str, message: Any) -> None:
        owner.handle(sender, decode_message(encode_message(message)))

    def serve() -> None:
        number = next(numbers)
        sender = hosts[1 + number % 8]
        take(sender, PermitQuery(number, pool.number, rng.getrandbits(9) + 1, 7, 1_600))
        timers.advance(STEP_S)
        held.append((sender, number))
        if len(held) > FLIGHT_AN_ENGINE * engines:
            sender, number = held.pop(rng.randrange(len(held)))
            take(sender, Release(pool.number, [number], [], []))

    for _ in range(2 * FLIGHT_AN_ENGINE * engines):
        serve()
    before = outbox.octets
    least, most = find_least_us(serve, REQUESTS, 3)
    granted = sum(isinstance(message, Grant) for message in outbox.messages)
    if granted < 3 * REQUESTS:
        raise RuntimeError(f"{granted} grants: the owner did not serve")
    octets = (outbox.octets - before) / REQUESTS / 3
    return Point(engines, least, most), Point(engines, octets, octets)


def _hold_permits(count: int) -> Placement:
    """Return a host that owns a pool and holds permits there itself."""
    timers = ManualTimers()
    placement = Placement("h0", timers, random.Random(1), _Captured())
    servers = list_servers(count // FLIGHT_AN_ENGINE * MODELS)[::MODELS]
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
        timers.advance(STEP_S)
    if sum(result.is_ok() for result in granted) < count:
        raise RuntimeError("not all requests got permits")
    return placement


def _measure_renewal(pools: int) -> tuple[Point, Point]:
    """Return bytes and processor time of renewing one permit in each pool."""
    rng = random.Random(1)
    messages = [
        Renewal(rng.getrandbits(32), [rng.getrandbits(31)]) for _ in range(pools)
    ]
    octets = sum(len(encode_message(message)) for message in messages)

    def renew() -> None:
        for message in messages:
            decode_message(encode_message(message))

    return Point(pools, octets, octets), Point(pools, *find_least_us(renew, 5))


def measure_pools() -> dict[str, Slope]:
    """Measure what a pool's owner and its entry hosts keep, send and spend."""
    chats = []
    for size in CHAT_SIZES:
        held = measure_held(lambda size=size: _fill_homes(size))
        chats.append(Point(size, held, held))
    permits = []
    for size in PERMIT_SIZES:
        held = measure_held(lambda size=size: _hold_permits(size))
        permits.append(Point(size, held, held))
    requests = [_measure_request(size) for size in ENGINE_SIZES]
    owned = [_measure_owner(size) for size in ENGINE_SIZES]
    renewals = [_measure_renewal(size) for size in POOL_SIZES]
    return {
        "chats": fit_slope("chats remembered for a pool, bytes", "chats", chats),
        "permits": fit_slope(
            "permits, entry host and owner together, bytes", "permits", permits
        ),
        "request core": fit_slope(
            "a routed request, entry host and owner together, µs",
            "engines a pool",
            [core for core, _ in requests],
        ),
        "request bytes": fit_slope(
            "sent for a routed request, bytes",
            "engines a pool",
            [octets for _, octets in requests],
        ),
        "owner core": fit_slope(
            "a request at the owner alone, µs",
            "engines a pool",
            [core for core, _ in owned],
        ),
        "owner bytes": fit_slope(
            "sent by the owner for a request, bytes",
            "engines a pool",
            [octets for _, octets in owned],
        ),
        "renewal bytes": fit_slope(
            "one round of renewals, bytes", "pools", [o for o, _ in renewals]
        ),
        "renewal core": fit_slope(
            "one round of renewals, both ends, µs", "pools", [c for _, c in renewals]
        ),
    }
