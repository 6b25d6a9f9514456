"""Costs of the published documents: size, validation and application."""

import random
from collections.abc import Callable, Sequence
from types import SimpleNamespace
from typing import Any

import msgspec

from bench.slopes.fits import (
    LinearFit,
    Point,
    fit_line,
    measure_allocated_bytes,
    measure_cpu_us,
)
from bench.slopes.sizes import FAILURE_DOMAINS, HOSTS, MODELS, REQUESTS_PER_S, SERVERS
from bench.spread import FigureChecker, measure_state
from oleanderpier.configuration import PublishedDocument, check_document
from oleanderpier.configuration.deltas import (
    apply_delta,
    check_document_update,
    make_delta,
)
from oleanderpier.configuration.tests.fakes import make_server_entry
from oleanderpier.daemon.directory import Directory
from oleanderpier.daemon.node import Node
from oleanderpier.membership import BackendServers, HostEndpoint, Members
from oleanderpier.membership.tests.fakes import make_endpoints, make_hosts_document
from oleanderpier.placement import Placement
from oleanderpier.utils import ManualTimers

__all__ = ["list_servers", "make_server_view", "measure_documents"]

SERVER_COUNTS = (1_000, 3_000, 6_000, 10_000)
HOST_COUNTS = (190, 950, 1_900)
WORKSPACE_COUNTS = (70, 350, 700)
IDLE_S = 10
TICK_S = 1.0
RUN_COUNT = 5


class _NullOutbox:
    """An outbox that accepts all messages and delivers none."""

    def send(self, host: str, message: Any) -> bool:
        return True


def list_servers(count: int) -> list[dict[str, Any]]:
    """Return server entries spread over all failure domains and models."""
    return [
        make_server_entry(
            index,
            failure_domain=f"domain-{index % FAILURE_DOMAINS}",
            provides=[f"model-{index % MODELS}"],
        )
        for index in range(count)
    ]


def _make_servers_document(count: int, version: int) -> PublishedDocument:
    servers = list_servers(count)
    servers[7] = {**servers[7], "slots": 64 + version}
    value = {"version": version, "backend_servers": servers}
    return check_document("backend_servers", value)


def _make_hosts_list(count: int, version: int) -> PublishedDocument:
    value = make_hosts_document(make_endpoints(count, FAILURE_DOMAINS), version)
    value["hosts"][7]["state"] = "leaving" if version % 2 else "live"
    return check_document("hosts", value)


def _make_configuration(workspaces: int, version: int) -> PublishedDocument:
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
    label: str,
    size_unit: str,
    sizes: Sequence[int],
    make_document: Callable[[int, int], PublishedDocument],
) -> dict[str, LinearFit]:
    """Measure a document: its size, validating a value and applying a change.

    Args:
        label: The name of the document.
        size_unit: The unit that the sizes count.
        sizes: The sizes to measure.
        make_document: Returns the document for a size and a version.
    """
    sizes_bytes, checks, deltas = [], [], []
    for size in sizes:
        old, new = make_document(size, 1), make_document(size, 2)
        data = msgspec.json.encode(new.body)
        sizes_bytes.append(Point(size, len(data), len(data)))

        def read_value(data: bytes = data, old: PublishedDocument = old) -> None:
            check_document_update(old.name, msgspec.json.decode(data), old)

        delta = make_delta(old, new)
        checks.append(Point(size, *measure_cpu_us(read_value)))
        apply = lambda old=old, delta=delta: apply_delta(old, delta)  # noqa: E731
        deltas.append(Point(size, *measure_cpu_us(apply)))
    return {
        f"{label} json": fit_line(f"`{label}` as JSON, bytes", size_unit, sizes_bytes),
        f"{label} read": fit_line(
            f"a value of `{label}` decoded and validated, µs", size_unit, checks
        ),
        f"{label} delta": fit_line(
            f"a change of `{label}` applied, µs", size_unit, deltas
        ),
    }


def make_server_view(
    endpoints: list[HostEndpoint], servers: PublishedDocument | None
) -> tuple[ManualTimers, Members, BackendServers]:
    """Return the timers, the membership and the server view of the first host."""
    timers, outbox = ManualTimers(), _NullOutbox()
    members = Members(endpoints[0], timers, random.Random(1), outbox, endpoints[1:])
    view = BackendServers(members, timers, random.Random(2), outbox, lambda name: None)
    members.apply_list(check_document("hosts", make_hosts_document(endpoints, 1)))
    if servers is not None:
        view.apply_list(servers)
        view.start()
        timers.advance(TICK_S)
    return timers, members, view


def _make_placement(servers: list[Any], hosts: list[str]) -> Placement:
    rng = random.Random(1)
    placement = Placement(hosts[0], ManualTimers(), rng, _NullOutbox())
    placement.update_hosts(hosts)
    placement.update_backend_servers(servers)
    return placement


def _measure_server_lists() -> dict[str, LinearFit]:
    """Measure how a host applies a new list of backend servers."""
    points: dict[str, list[Point]] = {
        name: [] for name in ("placed", "viewed", "owned", "ticked", "topology")
    }
    endpoints = make_endpoints(HOSTS, FAILURE_DOMAINS)
    names = [endpoint.host for endpoint in endpoints]
    for size in SERVER_COUNTS:
        published = _make_servers_document(size, 1)
        servers = published.body["backend_servers"]
        placement = _make_placement(servers, names)
        timers, _, view = make_server_view(endpoints, published)
        node = SimpleNamespace(
            _list_entries=lambda document, field, p=published: p.body[field],
            placement=placement,
        )

        def apply_list(
            view: Any = view, p: Any = published, timers: Any = timers
        ) -> None:
            view.apply_list(p)
            timers.advance(TICK_S)

        actions = {
            "placed": lambda p=placement, s=servers: p.update_backend_servers(s),
            "viewed": apply_list,
            "owned": lambda node=node: Node._list_owned_engines(node),
            "ticked": lambda timers=timers: timers.advance(IDLE_S),
        }
        for name, action in actions.items():
            minimum, maximum = measure_cpu_us(action, repeats=RUN_COUNT)
            scale = IDLE_S if name == "ticked" else 1
            points[name].append(Point(size, minimum / scale, maximum / scale))
        allocated = measure_allocated_bytes(lambda s=servers: _make_placement(s, names))
        points["topology"].append(Point(size, allocated, allocated))
    labels = {
        "placed": "placement applies a list of servers, µs",
        "viewed": "the server view applies a list, µs",
        "owned": "listing the engines of owned pools, µs",
        "ticked": "the server view, idle, µs/s",
        "topology": "pools and owners in memory, bytes",
    }
    return {n: fit_line(labels[n], "servers", points[n]) for n in points}


def _measure_host_changes() -> dict[str, LinearFit]:
    """Measure how a host reacts to a dead host and to a new hosts list."""
    servers = list_servers(SERVERS)
    owners, lists, choices = [], [], []
    for size in HOST_COUNTS:
        endpoints = make_endpoints(size, FAILURE_DOMAINS)
        names = [endpoint.host for endpoint in endpoints]
        placement = _make_placement(servers, names)
        remaining = names[:-1]

        def remove_and_restore(
            p: Any = placement, names: Any = names, remaining: Any = remaining
        ) -> None:
            p.update_hosts(remaining)
            p.update_hosts(names)

        minimum, maximum = measure_cpu_us(remove_and_restore)
        owners.append(Point(size, minimum / 2, maximum / 2))
        _, members, _ = make_server_view(endpoints, None)
        hosts = _make_hosts_list(size, 2)
        apply_list = lambda m=members, h=hosts: m.apply_list(h)  # noqa: E731
        lists.append(Point(size, *measure_cpu_us(apply_list)))
        documents = SimpleNamespace(get=lambda name, h=hosts: h)
        args = (names[0], documents, members, ManualTimers(), random.Random(1))
        directory = Directory(*args, lambda: True)
        choose = lambda d=directory: _serve_one_second(d)  # noqa: E731
        choices.append(Point(size, *measure_cpu_us(choose, RUN_COUNT)))
    return {
        "owners": fit_line(
            "owners recomputed after a change of one host, µs", "hosts", owners
        ),
        "hosts applied": fit_line("members apply a hosts list, µs", "hosts", lists),
        "directory": fit_line("directory calls of a second, µs", "hosts", choices),
    }


def _serve_one_second(directory: Directory) -> None:
    """Refresh the list once and answer the directory calls of a second from it."""
    directory.invalidate()
    for _ in range(round(REQUESTS_PER_S)):
        directory.choose_hosts()


class _FigureCollector(FigureChecker):
    """Collects the figures of another benchmark instead of printing them."""

    def __init__(self) -> None:
        super().__init__()
        self.figures: dict[str, float] = {}

    def check_figure(
        self, label: str, figure: float, unit: str, bound: float | None = None
    ) -> None:
        """Store a figure under its label."""
        self.figures[label] = figure


def _measure_state() -> LinearFit:
    """Measure the memory of lists and records, with about 5.3 servers per host."""
    collector = _FigureCollector()
    measure_state(collector)
    points = []
    for label, figure in collector.figures.items():
        if not label.endswith("peak"):
            servers = int(label.split(" and ")[1].split()[0])
            points.append(Point(servers, figure * 2**20, figure * 2**20))
    return fit_line("lists and records kept by a host, bytes", "servers", points)


def measure_documents() -> dict[str, LinearFit]:
    """Measure the three documents and how a host processes each of them."""
    fits = _measure_document("hosts", "hosts", HOST_COUNTS, _make_hosts_list)
    fits |= _measure_document(
        "backend_servers", "servers", SERVER_COUNTS, _make_servers_document
    )
    fits |= _measure_document(
        "configuration", "workspaces", WORKSPACE_COUNTS, _make_configuration
    )
    fits["state"] = _measure_state()
    return fits | _measure_server_lists() | _measure_host_changes()
