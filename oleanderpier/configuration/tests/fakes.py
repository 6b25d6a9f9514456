"""A fake platform, and in-process hosts that watch it and gossip its documents."""

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
from oleanderpier.membership import HostEndpoint
from oleanderpier.membership.tests.fakes import (
    FakeNetwork,
    add_members,
    make_hosts_document,
)

LONG_POLL_WAIT_S = 20.0
PAUSE_AFTER_VALUE_S = 1.0
RESPONSE_DELAY_S = 0.002


class FakePlatform:
    """An in-process platform whose values can be published and watched.

    Attributes:
        network: The network whose timers drive the platform.
        values: The published values by document name.
        is_down: Whether no host gets a response.
        unreachable_hosts: Names of the hosts that get no response.
        call_count: Number of calls of all hosts, with or without a response.
        waiting_watches: Watches whose calls wait for a changed value.
    """

    def __init__(self, network: FakeNetwork):
        self.network = network
        self.values: dict[str, Any] = {}
        self.is_down = False
        self.unreachable_hosts: set[str] = set()
        self.call_count = 0
        self.waiting_watches: list[Any] = []

    def publish(self, name: str, value: Any) -> None:
        """Publish a value, and respond to the watches that wait for it."""
        self.values[name] = copy.deepcopy(value)
        for watch in self.waiting_watches:
            if watch.name == name and self.is_reachable_from(watch.host.name):
                watch.host.timers.call_later(
                    RESPONSE_DELAY_S, watch.finish_call_if_changed
                )

    def is_reachable_from(self, host: str) -> bool:
        """Return whether the platform and a host can reach each other."""
        return not (self.is_down or host in self.unreachable_hosts)

    def receive_call(self, host: str) -> bool:
        """Count a call and return whether it gets a response."""
        self.call_count += 1
        return self.is_reachable_from(host)


class FakeWatch:
    """Replaces the task that watches one document over HTTP.

    Attributes:
        last_read_version: Version of the value that was read last.
        call_number: Increases whenever a pending call or timer becomes void.
        watching: Whether the host is selected to watch.
    """

    def __init__(self, platform: FakePlatform, host: Any, name: str):
        self.platform = platform
        self.host = host
        self.name = name
        self.last_read_version: int | None = None
        self.call_number = 0
        self.watching = False
        host.components["watcher_selection"].subscribe(self.set_watching)

    def set_watching(self, watching: bool) -> None:
        """Start or stop to watch."""
        self.call_number += 1
        self.watching = watching
        if watching:
            self.start_call()

    def start_call(self) -> None:
        """Make one long-polling call, or schedule a retry if it fails."""
        if not self.platform.receive_call(self.host.name):
            self.schedule_call(self.host.components["random"].uniform(1.0, 15.0))
            return
        self.platform.waiting_watches.append(self)
        self.host.timers.call_later(RESPONSE_DELAY_S, self.finish_call_if_changed)
        call_number = self.call_number
        self.host.timers.call_later(
            LONG_POLL_WAIT_S, lambda: self.time_out_call(call_number)
        )

    def finish_call_if_changed(self) -> None:
        """Finish the waiting call if the value differs from the one last read."""
        value = self.platform.values.get(self.name)
        changed = value is not None and value.get("version") != self.last_read_version
        if self.watching and self in self.platform.waiting_watches and changed:
            self.finish_call(value)

    def finish_call(self, value: Any) -> None:
        """Apply the value that was read, and schedule the next call."""
        self.call_number += 1
        self.last_read_version = value.get("version")
        self.host.components["documents"].apply_value(self.name, copy.deepcopy(value))
        self.host.components["watcher_selection"].record_response()
        self.schedule_call(PAUSE_AFTER_VALUE_S)

    def time_out_call(self, call_number: int) -> None:
        """End a call that got no changed value within ``LONG_POLL_WAIT_S``."""
        if call_number == self.call_number and self.watching:
            self.host.components["watcher_selection"].record_response()
            self.schedule_call(0.0)

    def schedule_call(self, delay_s: float) -> None:
        """Schedule the next call after a delay."""
        if self in self.platform.waiting_watches:
            self.platform.waiting_watches.remove(self)
        self.call_number += 1
        call_number = self.call_number

        def call() -> None:
            if call_number == self.call_number and self.watching:
                self.start_call()

        self.host.timers.call_later(delay_s, call)


class NaiveHost:
    """Baseline that replaces all components of a host.

    It always watches the platform, and puts whatever it read last in force.
    """

    def __init__(self) -> None:
        self.published: dict[str, PublishedDocument] = {}

    def subscribe(self, callback: Callable[[bool], None]) -> None:
        """Start the watch at once."""
        callback(True)

    def record_response(self) -> None:
        """Do nothing."""

    def is_watching(self) -> bool:
        """Return True, as every host watches."""
        return True

    def is_ready(self) -> bool:
        """Return whether a configuration has been read."""
        return "configuration" in self.published

    def apply(self, published: PublishedDocument) -> None:
        """Put a document in force, even an older one."""
        self.published[published.name] = published

    def apply_value(self, name: str, value: Any) -> None:
        """Put a value in force, unless it is invalid."""
        with contextlib.suppress(SettingsError):
            self.apply(check_document(name, value))

    def get(self, name: str) -> PublishedDocument | None:
        """Return the document that was read last."""
        return self.published.get(name)

    def list_refusals(self) -> list[Any]:
        """Return an empty list, as refusals are not recorded."""
        return []


def add_naive_host(
    network: FakeNetwork, platform: FakePlatform, endpoint: HostEndpoint, seeds: list
) -> Any:
    """Start a ``NaiveHost``; the seeds are not used."""
    host = network.add(endpoint.host)
    naive = NaiveHost()
    host.components.update(documents=naive, gossip=naive, random=network.generator)
    host.components["watcher_selection"] = naive
    host.components["watches"] = [FakeWatch(platform, host, n) for n in DOCUMENT_NAMES]
    return host


def add_host(
    network: FakeNetwork,
    platform: FakePlatform,
    endpoint: HostEndpoint,
    seeds: list[HostEndpoint],
) -> Any:
    """Start a host with membership, documents, their gossip and watches."""
    members = add_members(network, endpoint, seeds)
    host = network.hosts[endpoint.host]
    generator = Random(network.generator.random())
    documents = Documents()
    gossip = DocumentGossip(documents, members, host.timers, generator, host)
    watcher_selection = WatcherSelection(members, host.timers, generator, host)
    host.components.update(
        documents=documents,
        gossip=gossip,
        watcher_selection=watcher_selection,
        random=generator,
    )
    documents.subscribe("hosts", members.apply_list)
    host.register_handler(gossip, DocumentQuery, DocumentDelta, DocumentPart)
    host.register_handler(gossip, DocumentRefused, DocumentVersions)
    host.register_handler(watcher_selection, PlatformReachable)
    host.components["watches"] = [FakeWatch(platform, host, n) for n in DOCUMENT_NAMES]
    gossip.start()
    watcher_selection.start()
    return host


def make_configuration_value(version: int, workspaces: int = 10) -> dict[str, Any]:
    """Return the value of a configuration document."""
    return {
        "version": version,
        "classes": [],
        "workspaces": [{"name": f"workspace-{i}"} for i in range(workspaces)],
        "load_multiple": 1.25,
    }


def make_server_entry(index: int, **changes: Any) -> dict[str, Any]:
    """Return the entry of a backend server, with some fields changed."""
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
    endpoints: list[HostEndpoint],
    servers: int = 12,
    add: Callable = add_host,
) -> FakePlatform:
    """Publish version 1 of the three documents and start all hosts."""
    platform = FakePlatform(network)
    platform.publish("hosts", make_hosts_document(endpoints, 1))
    platform.publish("configuration", make_configuration_value(1))
    entries = [make_server_entry(i) for i in range(servers)]
    platform.publish("backend_servers", {"version": 1, "backend_servers": entries})
    for endpoint in endpoints:
        add(network, platform, endpoint, endpoints)
    return platform


def list_version_keys(network: FakeNetwork, name: str) -> dict[str, Any]:
    """Return the version key of a document on each running host, or None."""
    version_keys = {}
    for host in network.hosts.values():
        if not host.timers.stopped:
            current = host.components["documents"].get(name)
            version_keys[host.name] = current.version_key if current else None
    return version_keys
