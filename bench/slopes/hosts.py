"""Costs of membership, of the dissemination of changes and of platform calls."""

import time
from collections.abc import Iterable
from typing import NamedTuple

from bench.slopes.fits import US_PER_S, LinearFit, Point, fit_line
from bench.slopes.sizes import FAILURE_DOMAINS
from bench.spread import Fleet
from oleanderpier.configuration import check_document
from oleanderpier.configuration.tests.fakes import (
    list_version_keys,
    make_configuration_value,
)

__all__ = ["FullFleet", "measure_full_fleet", "measure_hosts", "measure_partitions"]

FLEET_SIZES = (64, 256, 512, 768)
PARTITION_SIZES = (64, 128, 256)
FULL_FLEET_HOSTS = 1_900
DOMAINS_PER_REGION = 2
SETTLE_S = 10.0
IDLE_S = 20.0
OBSERVATION_S = 25.0
PARTITION_S = 60.0
CHANGE_TIMEOUT_S = 13.0
STEP_S = 0.25


class _Traffic(NamedTuple):
    """Traffic and processor time of a host, as means over the fleet.

    Attributes:
        bytes_per_s: Bytes sent per second.
        messages_per_s: Messages sent per second.
        max_bytes_per_s: Bytes sent in the second with the most traffic.
        cpu_us_per_s: Processor time in microseconds per second.
    """

    bytes_per_s: float
    messages_per_s: float
    max_bytes_per_s: float
    cpu_us_per_s: float


def _measure_traffic(fleet: Fleet, seconds: float) -> _Traffic:
    """Advance the time second by second and return the traffic per host."""
    fleet.reset_counters()
    fleet.network.sent_counts.clear()
    before, max_sent = 0, 0
    began_s = time.process_time()
    for _ in range(int(seconds)):
        fleet.advance(1.0)
        sent = fleet.network.sent_bytes.total()
        max_sent, before = max(max_sent, sent - before), sent
    spent_us = (time.process_time() - began_s) * US_PER_S
    host_seconds = seconds * fleet.size
    messages = fleet.network.sent_counts.total() / host_seconds
    return _Traffic(
        before / host_seconds, messages, max_sent / fleet.size, spent_us / host_seconds
    )


def _measure_change(fleet: Fleet) -> tuple[float, float]:
    """Return the bytes per host of a change, and the seconds until all have it."""
    fleet.reset_counters()
    value = make_configuration_value(2, 11)
    order = check_document("configuration", value).version_key
    fleet.platform.publish("configuration", value)

    def is_in_force_everywhere() -> bool:
        return set(list_version_keys(fleet.network, "configuration").values()) == {
            order
        }

    spent_s = fleet.measure_time_until(is_in_force_everywhere, CHANGE_TIMEOUT_S)
    sent = fleet.network.sent_bytes
    change_bytes = sent["DocumentDelta"] + sent["DocumentPart"] + sent["DocumentQuery"]
    return change_bytes / fleet.size, spent_s


def _stop_domain(fleet: Fleet) -> _Traffic:
    """Stop all hosts of one failure domain at once and return the traffic."""
    for host in fleet.hosts[3::FAILURE_DOMAINS]:
        fleet.network.stop(host.name)
    return _measure_traffic(fleet, OBSERVATION_S)


def _partition_region(fleet: Fleet) -> tuple[_Traffic, _Traffic]:
    """Partition two failure domains from the others for a minute, then heal.

    Returns:
        The traffic during the partition, and after it.
    """
    inside = [
        host.name
        for index, host in enumerate(fleet.hosts)
        if index % FAILURE_DOMAINS < DOMAINS_PER_REGION
    ]
    outside = [host.name for host in fleet.hosts if host.name not in set(inside)]
    fleet.network.block(inside, outside)
    fleet.network.block(outside, inside)
    partitioned = _measure_traffic(fleet, PARTITION_S)
    fleet.network.blocked.clear()
    return partitioned, _measure_traffic(fleet, OBSERVATION_S)


def _fit_hosts(label: str, sizes: Iterable[int], values: Iterable[float]) -> LinearFit:
    points = [Point(s, v, v) for s, v in zip(sizes, values, strict=True)]
    return fit_line(label, "hosts", points)


def measure_hosts() -> dict[str, LinearFit]:
    """Measure fleets of several sizes: idle, with a change and with a lost domain."""
    idle, changes, losses, calls = [], [], [], []
    for size in FLEET_SIZES:
        fleet = Fleet(size, FAILURE_DOMAINS)
        fleet.advance(SETTLE_S)
        idle.append(_measure_traffic(fleet, IDLE_S))
        calls.append(fleet.platform.call_count / IDLE_S)
        changes.append(_measure_change(fleet))
        losses.append(_stop_domain(fleet))
    event = "a failure domain lost"
    return {
        "idle bytes": _fit_hosts(
            "sent by an idle host, bytes/s", FLEET_SIZES, [t.bytes_per_s for t in idle]
        ),
        "idle messages": _fit_hosts(
            "messages sent by an idle host, /s",
            FLEET_SIZES,
            [t.messages_per_s for t in idle],
        ),
        "idle cpu": _fit_hosts(
            "processor time of an idle host, µs/s",
            FLEET_SIZES,
            [t.cpu_us_per_s for t in idle],
        ),
        "change bytes": _fit_hosts(
            "sent by a host for a change, bytes",
            FLEET_SIZES,
            [sent for sent, _ in changes],
        ),
        "change time": _fit_hosts(
            "time until a change is in force everywhere, s",
            FLEET_SIZES,
            [spent for _, spent in changes],
        ),
        "platform calls": _fit_hosts(
            "platform calls of the fleet, /s", FLEET_SIZES, calls
        ),
        "loss bytes": _fit_hosts(
            f"{event}: bytes sent in the busiest second",
            FLEET_SIZES,
            [t.max_bytes_per_s for t in losses],
        ),
        "loss messages": _fit_hosts(
            f"{event}: messages sent, /s",
            FLEET_SIZES,
            [t.messages_per_s for t in losses],
        ),
        "loss cpu": _fit_hosts(
            f"{event}: processor time, µs/s",
            FLEET_SIZES,
            [t.cpu_us_per_s for t in losses],
        ),
    }


def measure_partitions() -> dict[str, LinearFit]:
    """Measure fleets during a network partition and after it."""
    partitions = []
    for size in PARTITION_SIZES:
        fleet = Fleet(size, FAILURE_DOMAINS)
        fleet.advance(SETTLE_S)
        partitions.append(_partition_region(fleet))
    return {
        "partition bytes": _fit_hosts(
            "two domains partitioned: bytes sent in the busiest second",
            PARTITION_SIZES,
            [traffic.max_bytes_per_s for traffic, _ in partitions],
        ),
        "partition cpu": _fit_hosts(
            "two domains partitioned: processor time, µs/s",
            PARTITION_SIZES,
            [traffic.cpu_us_per_s for traffic, _ in partitions],
        ),
        "heal bytes": _fit_hosts(
            "two domains reconnected: bytes sent in the busiest second",
            PARTITION_SIZES,
            [traffic.max_bytes_per_s for _, traffic in partitions],
        ),
    }


class FullFleet(NamedTuple):
    """Costs measured with an idle fleet of the target size, to check the fits.

    Attributes:
        bytes_per_s: Bytes that a host sends per second.
        cpu_us_per_s: Processor time of a host, in microseconds per second.
        platform_calls_per_s: Platform calls per second by number of hosts.
    """

    bytes_per_s: float
    cpu_us_per_s: float
    platform_calls_per_s: dict[int, float]


def measure_full_fleet() -> FullFleet:
    """Measure idle fleets of 8 to 1,900 hosts."""
    platform_calls_per_s = {}
    for size, domains in (
        (8, 3),
        (64, 3),
        (512, 10),
        (FULL_FLEET_HOSTS, FAILURE_DOMAINS),
    ):
        fleet = Fleet(size, domains)
        fleet.advance(SETTLE_S)
        traffic = _measure_traffic(fleet, IDLE_S)
        platform_calls_per_s[size] = fleet.platform.call_count / IDLE_S
    return FullFleet(traffic.bytes_per_s, traffic.cpu_us_per_s, platform_calls_per_s)
