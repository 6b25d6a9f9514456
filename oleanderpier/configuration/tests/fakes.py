"""A fake platform, and hosts that watch it and spread what they read."""

import contextlib
import copy
from collections.abc import Callable
from random import Random
from typing import Any

from oleanderpier.configuration import (
    DOCUMENT_NAMES,
    DocumentDelta,
    DocumentGossip,
    DocumentPart,
    DocumentQuery,
    DocumentRefused,
    Documents,
    DocumentVersions,
    PlatformReachable,
    PublishedDocument,
    WatcherSelection,
    check_document,
)
from oleanderpier.exception import SettingsError
from oleanderpier.membership import MemberCard
from oleanderpier.membership.tests.fakes import (
    FakeNetwork,
    add_members,
    make_hosts_value,
)

WAIT_S = 20.0
PAUSE_S = 1.0
ANSWER_S = 0.002


class FakePlatform:
    """Values that can be published, watched and made stale, and call counts."""

    def __init__(self, network: FakeNetwork):
        self.network = network
        self.values: dict[str, Any] = {}
        self.down = False
        self.unreachable: set[str] = set()
        self.calls = 0
        self.waiting: list[Any] = []

    def publish(self, name: str, value: Any) -> None:
        """Put a value up, and answer the watches that wait for it."""
        self.values[name] = copy.deepcopy(value)
        for watch in self.waiting:
            if watch.name == name and self.reaches(watch.host.name):
                watch.host.timers.call_later(ANSWER_S, watch.look)

    def reaches(self, host: str) -> bool:
        """Return whether anything passes between the platform and a host."""
        return not (self.down or host in self.unreachable)

    def read(self, host: str) -> bool:
        """Count a call and return whether it is answered."""
        self.calls += 1
        return self.reaches(host)


class FakeWatch:
    """Stands for the task that watches one document over HTTP."""

    def __init__(self, platform: FakePlatform, host: Any, name: str):
        self.platform = platform
        self.host = host
        self.name = name
        self.after: int | None = None
        self.generation = 0
        self.running = False
        host.parts["watcher_selection"].subscribe(self.switch)

    def switch(self, on: bool) -> None:
        """Begin or end to watch."""
        self.generation += 1
        self.running = on
        if on:
            self.call()

    def call(self) -> None:
        """Make one call and wait for a change, or for its time to pass."""
        if not self.platform.read(self.host.name):
            self.again(self.host.parts["random"].uniform(1.0, 15.0))
            return
        self.platform.waiting.append(self)
        self.host.timers.call_later(ANSWER_S, self.look)
        generation = self.generation
        self.host.timers.call_later(WAIT_S, lambda: self.expire(generation))

    def look(self) -> None:
        """Take the value if it differs from the one last read."""
        value = self.platform.values.get(self.name)
        changed = value is not None and value.get("version") != self.after
        if self.running and self in self.platform.waiting and changed:
            self.answer(value)

    def answer(self, value: Any) -> None:
        """Offer what was read, and call again."""
        self.generation += 1
        self.after = value.get("version")
        self.host.parts["documents"].apply_value(self.name, copy.deepcopy(value))
        self.host.parts["watcher_selection"].record_response()
        self.again(PAUSE_S)

    def expire(self, generation: int) -> None:
        """End a call that nothing answered."""
        if generation == self.generation and self.running:
            self.host.parts["watcher_selection"].record_response()
            self.again(0.0)

    def again(self, delay_s: float) -> None:
        """Call once more after a delay."""
        if self in self.platform.waiting:
            self.platform.waiting.remove(self)
        self.generation += 1
        generation = self.generation

        def call() -> None:
            if generation == self.generation and self.running:
                self.call()

        self.host.timers.call_later(delay_s, call)


class NaiveHost:
    """Stands for all parts of a host that watches by itself.

    It is always on duty, and takes whatever was read last.
    """

    def __init__(self) -> None:
        self.published: dict[str, PublishedDocument] = {}

    def subscribe(self, callback: Callable[[bool], None]) -> None:
        """Put the watch on."""
        callback(True)

    def record_response(self) -> None:
        """Take note of nothing."""

    def is_watching(self) -> bool:
        """Return that every host watches."""
        return True

    def is_ready(self) -> bool:
        """Return whether there is something to serve by."""
        return "configuration" in self.published

    def apply(self, published: PublishedDocument) -> None:
        """Take a document."""
        self.published[published.name] = published

    def apply_value(self, name: str, value: Any) -> None:
        """Take a value, unless it cannot be read at all."""
        with contextlib.suppress(SettingsError):
            self.apply(check_document(name, value))

    def get(self, name: str) -> PublishedDocument | None:
        """Return what was read last."""
        return self.published.get(name)

    def list_refusals(self) -> list[Any]:
        """Return nothing: what was refused is not known."""
        return []


def add_naive(
    network: FakeNetwork, platform: FakePlatform, card: MemberCard, seeds: list
) -> Any:
    """Start a host that watches by itself and takes what it read last."""
    host = network.add(card.host)
    naive = NaiveHost()
    host.parts.update(documents=naive, gossip=naive, random=network.generator)
    host.parts["watcher_selection"] = naive
    host.parts["watches"] = [FakeWatch(platform, host, n) for n in DOCUMENT_NAMES]
    return host


def add_host(
    network: FakeNetwork,
    platform: FakePlatform,
    card: MemberCard,
    seeds: list[MemberCard],
) -> Any:
    """Start a host with membership, documents, spread and watches."""
    members = add_members(network, card, seeds)
    host = network.hosts[card.host]
    generator = Random(network.generator.random())
    documents = Documents()
    gossip = DocumentGossip(documents, members, host.timers, generator, host)
    watcher_selection = WatcherSelection(members, host.timers, generator, host)
    host.parts.update(
        documents=documents,
        gossip=gossip,
        watcher_selection=watcher_selection,
        random=generator,
    )
    documents.subscribe("hosts", members.adopt_list)
    host.take(gossip, DocumentQuery, DocumentDelta, DocumentPart)
    host.take(gossip, DocumentRefused, DocumentVersions)
    host.take(watcher_selection, PlatformReachable)
    host.parts["watches"] = [FakeWatch(platform, host, n) for n in DOCUMENT_NAMES]
    gossip.start()
    watcher_selection.start()
    return host


def make_value(version: int, workspaces: int = 10) -> dict[str, Any]:
    """Return a configuration document."""
    return {
        "version": version,
        "classes": [],
        "workspaces": [{"name": f"workspace-{i}"} for i in range(workspaces)],
        "load_multiple": 1.25,
    }


def make_server(index: int, **changes: Any) -> dict[str, Any]:
    """Return a backend server's entry."""
    entry = {
        "name": f"engine-{index}",
        "failure_domain": f"domain-{index % 3}",
        "kind": "engine",
        "address": f"10.1.{index >> 8}.{index & 255}",
        "port": 9000,
        "provides": [f"model-{index % 5}"],
        "slots": 64,
        "state": "live",
        "checks_fencing": True,
    }
    return {**entry, **changes}


def start_fleet(
    network: FakeNetwork,
    cards: list[MemberCard],
    servers: int = 12,
    add: Callable = add_host,
) -> FakePlatform:
    """Publish the three documents and start all hosts."""
    platform = FakePlatform(network)
    platform.publish("hosts", make_hosts_value(cards, 1))
    platform.publish("configuration", make_value(1))
    entries = [make_server(i) for i in range(servers)]
    platform.publish("backend_servers", {"version": 1, "backend_servers": entries})
    for card in cards:
        add(network, platform, card, cards)
    return platform


def list_versions(network: FakeNetwork, name: str) -> dict[str, Any]:
    """Return each running host's order of a document, None for none."""
    orders = {}
    for host in network.hosts.values():
        if not host.timers.stopped:
            current = host.parts["documents"].get(name)
            orders[host.name] = current.version_key if current else None
    return orders
