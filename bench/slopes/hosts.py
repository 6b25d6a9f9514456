"""Slopes of membership, of the spread of changes and of the platform's calls."""

import time
from collections.abc import Iterable
from typing import NamedTuple

from bench.slopes.fits import MICROSECONDS, Point, Slope, fit_slope
from bench.slopes.sizes import FAILURE_DOMAINS
from bench.spread import Fleet
from oleanderpier.configuration import check_document
from oleanderpier.configuration.tests.fakes import list_versions, make_value

__all__ = ["Largest", "measure_cuts", "measure_hosts", "measure_largest"]

SIZES = (64, 256, 512, 768)
CUT_SIZES = (64, 128, 256)
LARGEST = 1_900
DOMAINS_A_REGION = 2
SETTLE_S = 10.0
IDLE_S = 20.0
LOSS_S = 25.0
CUT_S = 60.0
CHANGE_LIMIT_S = 13.0
STEP_S = 0.25


class _Traffic(NamedTuple):
    """What a host sends and spends in a second, on average and at worst."""

    octets: float
    messages: float
    worst_octets: float
    core_us: float


def _watch(fleet: Fleet, seconds: float) -> _Traffic:
    """Let time pass second by second and return the traffic a host."""
    fleet.reset_counters()
    fleet.network.sent_counts.clear()
    before, worst = 0, 0
    began_s = time.process_time()
    for _ in range(int(seconds)):
        fleet.advance(1.0)
        sent = fleet.network.sent_bytes.total()
        worst, before = max(worst, sent - before), sent
    spent_us = (time.process_time() - began_s) * MICROSECONDS
    share = seconds * fleet.size
    messages = fleet.network.sent_counts.total() / share
    return _Traffic(before / share, messages, worst / fleet.size, spent_us / share)


def _measure_change(fleet: Fleet) -> tuple[float, float]:
    """Return bytes a host of one change, and the seconds until all have it."""
    fleet.reset_counters()
    value = make_value(2, 11)
    order = check_document("configuration", value).order
    fleet.platform.publish("configuration", value)

    def all_have() -> bool:
        return set(list_versions(fleet.network, "configuration").values()) == {order}

    spent_s = fleet.measure_time_until(all_have, CHANGE_LIMIT_S)
    sent = fleet.network.sent_bytes
    octets = sent["DocumentDelta"] + sent["DocumentPart"] + sent["DocumentQuery"]
    return octets / fleet.size, spent_s


def _lose_domain(fleet: Fleet) -> _Traffic:
    """Stop all hosts of one failure domain at once."""
    for host in fleet.hosts[3::FAILURE_DOMAINS]:
        fleet.network.stop(host.name)
    return _watch(fleet, LOSS_S)


def _cut_region(fleet: Fleet) -> tuple[_Traffic, _Traffic]:
    """Cut off two failure domains for a minute, then heal."""
    inside = [
        host.name
        for index, host in enumerate(fleet.hosts)
        if index % FAILURE_DOMAINS < DOMAINS_A_REGION
    ]
    outside = [host.name for host in fleet.hosts if host.name not in set(inside)]
    fleet.network.block(inside, outside)
    fleet.network.block(outside, inside)
    cut = _watch(fleet, CUT_S)
    fleet.network.blocked.clear()
    return cut, _watch(fleet, LOSS_S)


def _fit(what: str, sizes: Iterable[int], values: Iterable[float]) -> Slope:
    points = [Point(s, v, v) for s, v in zip(sizes, values, strict=True)]
    return fit_slope(what, "hosts", points)


def measure_hosts() -> dict[str, Slope]:
    """Measure whole fleets of several sizes, idle, with changes and with losses."""
    idle, changes, losses, calls = [], [], [], []
    for size in SIZES:
        fleet = Fleet(size, FAILURE_DOMAINS)
        fleet.advance(SETTLE_S)
        idle.append(_watch(fleet, IDLE_S))
        calls.append(fleet.platform.calls / IDLE_S)
        changes.append(_measure_change(fleet))
        losses.append(_lose_domain(fleet))
    domain = "a failure domain lost"
    return {
        "idle bytes": _fit("sent when idle, bytes/s", SIZES, [t.octets for t in idle]),
        "idle messages": _fit(
            "messages sent when idle, /s", SIZES, [t.messages for t in idle]
        ),
        "idle core": _fit(
            "processor time when idle, µs/s", SIZES, [t.core_us for t in idle]
        ),
        "change bytes": _fit(
            "sent for a change, bytes", SIZES, [octets for octets, _ in changes]
        ),
        "change time": _fit(
            "a change in force everywhere, s", SIZES, [spent for _, spent in changes]
        ),
        "platform calls": _fit("platform calls of the fleet, /s", SIZES, calls),
        "loss bytes": _fit(
            f"{domain}: sent, worst second, bytes",
            SIZES,
            [t.worst_octets for t in losses],
        ),
        "loss messages": _fit(
            f"{domain}: messages sent, /s", SIZES, [t.messages for t in losses]
        ),
        "loss core": _fit(
            f"{domain}: processor time, µs/s", SIZES, [t.core_us for t in losses]
        ),
    }


def measure_cuts() -> dict[str, Slope]:
    """Measure whole fleets that are cut in two, and healed."""
    cuts = []
    for size in CUT_SIZES:
        fleet = Fleet(size, FAILURE_DOMAINS)
        fleet.advance(SETTLE_S)
        cuts.append(_cut_region(fleet))
    return {
        "cut bytes": _fit(
            "two domains cut off: sent, worst second, bytes",
            CUT_SIZES,
            [cut.worst_octets for cut, _ in cuts],
        ),
        "cut core": _fit(
            "two domains cut off: processor time, µs/s",
            CUT_SIZES,
            [cut.core_us for cut, _ in cuts],
        ),
        "heal bytes": _fit(
            "two domains back: sent, worst second, bytes",
            CUT_SIZES,
            [heal.worst_octets for _, heal in cuts],
        ),
    }


class Largest(NamedTuple):
    """What a whole fleet of the size to come showed, as a check of the slopes.

    Attributes:
        octets: Bytes a second that a host sends when idle.
        core_us: Processor time a second a host when idle, in microseconds.
        calls: Platform calls a second, by number of hosts.
    """

    octets: float
    core_us: float
    calls: dict[int, float]


def measure_largest() -> Largest:
    """Measure idle fleets of 8 hosts to 1,900."""
    calls = {}
    for size, domains in ((8, 3), (64, 3), (512, 10), (LARGEST, FAILURE_DOMAINS)):
        fleet = Fleet(size, domains)
        fleet.advance(SETTLE_S)
        traffic = _watch(fleet, IDLE_S)
        calls[size] = fleet.platform.calls / IDLE_S
    return Largest(traffic.octets, traffic.core_us, calls)
