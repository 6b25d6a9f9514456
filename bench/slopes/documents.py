"""Slopes of the published documents: their sizes, checks and adoption."""

import random
from collections.abc import Callable, Sequence
from types import SimpleNamespace
from typing import Any

import msgspec

from bench.slopes.fits import Point, Slope, find_least_us, fit_slope, measure_held
from bench.slopes.sizes import FAILURE_DOMAINS, HOSTS, MODELS, REQUESTS_S, SERVERS
from bench.spread import FigureChecker, measure_state
from oleanderpier.configuration import Published, check_document
from oleanderpier.configuration.deltas import apply_delta, check_value, make_delta
from oleanderpier.configuration.tests.fakes import make_server
from oleanderpier.daemon.directory import Directory
from oleanderpier.daemon.node import Node
from oleanderpier.membership import BackendServers, HostEndpoint, Members
from oleanderpier.membership.tests.fakes import make_endpoints, make_hosts_document
from oleanderpier.placement import Placement
from oleanderpier.utils import ManualTimers

__all__ = ["list_servers", "make_view", "measure_documents"]

SERVER_SIZES = (1_000, 3_000, 6_000, 10_000)
HOST_SIZES = (190, 950, 1_900)
WORKSPACE_SIZES = (70, 350, 700)
SECONDS = 10
TICK_S = 1.0
CALLS = 5


class _Nowhere:
    """An outbox that takes everything and delivers nothing."""

    def send(self, host: str, message: Any) -> bool:
        return True


def list_servers(count: int) -> list[dict[str, Any]]:
    """Return entries of backend servers over all failure domains and models."""
    return [
        make_server(
            index,
            failure_domain=f"domain-{index % FAILURE_DOMAINS}",
            provides=[f"model-{index % MODELS}"],
        )
        for index in range(count)
    ]


def _publish_servers(count: int, version: int) -> Published:
    servers = list_servers(count)
    servers[7] = {**servers[7], "slots": 64 + version}
    value = {"version": version, "backend_servers": servers}
    return check_document("backend_servers", value)


def _publish_hosts(count: int, version: int) -> Published:
    value = make_hosts_document(make_endpoints(count, FAILURE_DOMAINS), version)
    value["hosts"][7]["state"] = "leaving" if version % 2 else "live"
    return check_document("hosts", value)


def _publish_configuration(workspaces: int, version: int) -> Published:
    classes = [
        {
            "name": f"class-{index}",
            "kind": "engine",
            "needs": f"model-{index}",
            "repeatable": True,
            "first_token_s": 1.6,
            "between_tokens_s": 0.049,
            "whole_s": 60.0,
        }
        for index in range(MODELS)
    ]
    value = {
        "version": version,
        "classes": classes,
        "workspaces": [{"name": f"workspace-{i}"} for i in range(workspaces)],
        "load_multiple": 1.25 + version / 100,
    }
    return check_document("configuration", value)


def _measure_document(
    label: str, per: str, sizes: Sequence[int], publish: Callable[[int, int], Published]
) -> dict[str, Slope]:
    """Measure one document: bytes, check of a whole value, applying a change."""
    octets, checks, deltas = [], [], []
    for size in sizes:
        old, new = publish(size, 1), publish(size, 2)
        data = msgspec.json.encode(new.body)
        octets.append(Point(size, len(data), len(data)))

        def read(data: bytes = data, old: Published = old) -> None:
            check_value(old.name, msgspec.json.decode(data), old)

        delta = make_delta(old, new)
        checks.append(Point(size, *find_least_us(read)))
        apply = lambda old=old, delta=delta: apply_delta(old, delta)  # noqa: E731
        deltas.append(Point(size, *find_least_us(apply)))
    return {
        f"{label} json": fit_slope(f"`{label}` as JSON, bytes", per, octets),
        f"{label} read": fit_slope(f"a value of `{label}` read, µs", per, checks),
        f"{label} delta": fit_slope(f"a change of `{label}` applied, µs", per, deltas),
    }


def make_view(
    cards: list[HostEndpoint], servers: Published | None
) -> tuple[ManualTimers, Members, BackendServers]:
    """Return one host's membership and its view of the backend servers."""
    timers, outbox = ManualTimers(), _Nowhere()
    members = Members(cards[0], timers, random.Random(1), outbox, cards[1:])
    view = BackendServers(members, timers, random.Random(2), outbox, lambda name: None)
    members.apply_list(check_document("hosts", make_hosts_document(cards, 1)))
    if servers is not None:
        view.apply_list(servers)
        view.start()
        timers.advance(TICK_S)
    return timers, members, view


def _make_placement(servers: list[Any], hosts: list[str]) -> Placement:
    rng = random.Random(1)
    placement = Placement(hosts[0], ManualTimers(), rng, _Nowhere())
    placement.update_hosts(hosts)
    placement.update_backend_servers(servers)
    return placement


def _measure_adoption() -> dict[str, Slope]:
    """Measure what a host does with a new list of backend servers."""
    points: dict[str, list[Point]] = {
        name: [] for name in ("placed", "viewed", "owned", "ticked", "topology")
    }
    cards = make_endpoints(HOSTS, FAILURE_DOMAINS)
    names = [card.host for card in cards]
    for size in SERVER_SIZES:
        published = _publish_servers(size, 1)
        servers = published.body["backend_servers"]
        placement = _make_placement(servers, names)
        timers, _, view = make_view(cards, published)
        node = SimpleNamespace(
            _list_entries=lambda document, field, p=published: p.body[field],
            placement=placement,
        )

        def adopt(view: Any = view, p: Any = published, timers: Any = timers) -> None:
            view.apply_list(p)
            timers.advance(TICK_S)

        actions = {
            "placed": lambda p=placement, s=servers: p.update_backend_servers(s),
            "viewed": adopt,
            "owned": lambda node=node: Node._list_owned_engines(node),
            "ticked": lambda timers=timers: timers.advance(SECONDS),
        }
        for name, action in actions.items():
            least, most = find_least_us(action, repeats=CALLS)
            scale = SECONDS if name == "ticked" else 1
            points[name].append(Point(size, least / scale, most / scale))
        held = measure_held(lambda s=servers: _make_placement(s, names))
        points["topology"].append(Point(size, held, held))
    what = {
        "placed": "placement takes a list, µs",
        "viewed": "the view of the servers takes a list, µs",
        "owned": "engines of owned pools listed, µs",
        "ticked": "the view of the servers, idle, µs/s",
        "topology": "pools and owners in memory, bytes",
    }
    return {n: fit_slope(what[n], "servers", points[n]) for n in points}


def _measure_host_changes() -> dict[str, Slope]:
    """Measure what a host does when another one dies, and with a hosts list."""
    servers = list_servers(SERVERS)
    owners, lists, choices = [], [], []
    for size in HOST_SIZES:
        cards = make_endpoints(size, FAILURE_DOMAINS)
        names = [card.host for card in cards]
        placement = _make_placement(servers, names)
        fewer = names[:-1]

        def lose(p: Any = placement, names: Any = names, fewer: Any = fewer) -> None:
            p.update_hosts(fewer)
            p.update_hosts(names)

        least, most = find_least_us(lose)
        owners.append(Point(size, least / 2, most / 2))
        _, members, _ = make_view(cards, None)
        hosts = _publish_hosts(size, 2)
        adopt = lambda m=members, h=hosts: m.apply_list(h)  # noqa: E731
        lists.append(Point(size, *find_least_us(adopt)))
        documents = SimpleNamespace(get=lambda name, h=hosts: h)
        args = (names[0], documents, members, ManualTimers(), random.Random(1))
        directory = Directory(*args, lambda: True)
        choose = lambda d=directory: _choose_for_a_second(d)  # noqa: E731
        choices.append(Point(size, *find_least_us(choose, CALLS)))
    return {
        "owners": fit_slope("owners after one host's change, µs", "hosts", owners),
        "hosts adopted": fit_slope("members take a hosts list, µs", "hosts", lists),
        "directory": fit_slope("a second of directory calls, µs", "hosts", choices),
    }


def _choose_for_a_second(directory: Directory) -> None:
    """Work the list out once, and answer the calls of a second from it."""
    directory.refresh()
    for _ in range(round(REQUESTS_S)):
        directory.choose_hosts()


class _Figures(FigureChecker):
    """Keeps the figures of another bench in place of printing them."""

    def __init__(self) -> None:
        super().__init__()
        self.figures: dict[str, float] = {}

    def check_figure(
        self, label: str, figure: float, unit: str, bound: float | None = None
    ) -> None:
        """Keep one figure."""
        self.figures[label] = figure


def _measure_state() -> Slope:
    """Measure the memory of lists and facts, hosts in proportion to servers."""
    report = _Figures()
    measure_state(report)
    points = []
    for label, figure in report.figures.items():
        if not label.endswith("peak"):
            servers = int(label.split(" and ")[1].split()[0])
            points.append(Point(servers, figure * 2**20, figure * 2**20))
    return fit_slope("lists and facts of one host, bytes", "servers", points)


def measure_documents() -> dict[str, Slope]:
    """Measure the three documents and what a host does with each."""
    found = _measure_document("hosts", "hosts", HOST_SIZES, _publish_hosts)
    found |= _measure_document(
        "backend_servers", "servers", SERVER_SIZES, _publish_servers
    )
    found |= _measure_document(
        "configuration", "workspaces", WORKSPACE_SIZES, _publish_configuration
    )
    found["state"] = _measure_state()
    return found | _measure_adoption() | _measure_host_changes()
