"""Costs of claims: the work of witnesses and collectors."""

from collections import Counter
from typing import Any
from unittest import mock

from bench.slopes.fits import (
    LinearFit,
    Point,
    fit_line,
    measure_allocated_bytes,
    measure_cpu_us,
)
from bench.slopes.sizes import FAILURE_DOMAINS
from oleanderpier.claims import Claim, HostList, ListedHost, Settle
from oleanderpier.claims.tests.costs import CLAIM_ID, make_keys, make_list
from oleanderpier.claims.tests.fleet import Fleet
from oleanderpier.claims.tests.schedules import WARM_UP_S
from oleanderpier.claims.witness import Witness
from oleanderpier.claims.witness_sets import choose_witnesses
from oleanderpier.utils import ManualTimers, decode_message, encode_message

__all__ = ["measure_calls"]

HOST_COUNTS = (190, 475, 950, 1_900)
RECORD_COUNTS = (2_000, 5_000, 10_000)
CALL_COUNTS = (100, 200, 400)
COLLECTOR_HOST_COUNTS = (8, 16, 32, 64)
RESULT_BODY = bytes(64)
OBSERVATION_S = 30.0
CALL_INTERVAL_S = 0.02


def _fill_witness(keys: list[bytes]) -> Witness:
    timers = ManualTimers()
    witness = Witness(timers, mock.Mock(highest_version=1, ready=True))
    timers.advance(10.0)
    for key in keys:
        claim = decode_message(encode_message(Claim(key, CLAIM_ID, 1)))
        witness.grant(claim)
        settle = Settle(claim.key, claim.claim_id, 0, RESULT_BODY)
        witness.settle(decode_message(encode_message(settle)))
    return witness


def _choose_witnesses(keys: list[bytes], hosts: HostList) -> None:
    for key in keys:
        choose_witnesses(key, hosts)


def _make_list_entries(size: int) -> tuple[ListedHost, ...]:
    return tuple(
        ListedHost(f"host-{index}", f"domain-{index % FAILURE_DOMAINS}")
        for index in range(size)
    )


class _CountingFleet(Fleet):
    """A fleet that counts the claim bytes and messages that each host sends."""

    def __init__(self, hosts: int):
        self.sent_bytes: Counter[str] = Counter()
        self.message_counts: Counter[str] = Counter()
        super().__init__(1, hosts=hosts)

    def transmit(self, sender: str, host: str, message: Any) -> bool:
        """Count a claim message between two hosts for its sender, and deliver it."""
        if sender != host and type(message).__module__.startswith("oleanderpier.claim"):
            self.sent_bytes[sender] += len(encode_message(message))
            self.message_counts[sender] += 1
        return super().transmit(sender, host, message)


def _measure_calls(calls: int) -> tuple[float, float]:
    """Return the bytes and messages that a fleet sends for calls with distinct keys."""
    fleet = _CountingFleet(16)
    fleet.timers.advance(WARM_UP_S)
    fleet.sent_bytes.clear()
    fleet.message_counts.clear()
    for index in range(calls):
        fleet.request(f"host-{index % 16}", fleet.make_key())
        fleet.timers.advance(CALL_INTERVAL_S)
    return fleet.sent_bytes.total(), fleet.message_counts.total()


def _measure_collectors(hosts: int) -> tuple[float, float, float]:
    """Measure the traffic after a new hosts list.

    Returns:
        The bytes and the messages sent by the busiest host, and the mean bytes
        sent per host, over ``OBSERVATION_S``.
    """
    fleet = _CountingFleet(hosts)
    fleet.timers.advance(WARM_UP_S)
    fleet.publish(fleet.names)
    fleet.sent_bytes.clear()
    fleet.message_counts.clear()
    fleet.show_list(fleet.names, 2)
    fleet.timers.advance(OBSERVATION_S)
    busiest = max(fleet.sent_bytes, key=fleet.sent_bytes.__getitem__)
    return (
        fleet.sent_bytes[busiest],
        fleet.message_counts[busiest],
        fleet.sent_bytes.total() / hosts,
    )


def measure_calls() -> dict[str, LinearFit]:
    """Measure the claims of calls that may not be repeated."""
    keys = make_keys(max(RECORD_COUNTS))
    choices, lists = [], []
    for size in HOST_COUNTS:
        hosts = make_list(size, FAILURE_DOMAINS)
        minimum, maximum = measure_cpu_us(
            lambda hosts=hosts: _choose_witnesses(keys[:50], hosts)
        )
        choices.append(Point(size, minimum / 50, maximum / 50))
        allocated = measure_allocated_bytes(lambda size=size: _make_list_entries(size))
        lists.append(Point(size, allocated, allocated))
    records, grants = [], []
    for size in RECORD_COUNTS:
        allocated = measure_allocated_bytes(
            lambda size=size: _fill_witness(keys[:size])
        )
        records.append(Point(size, allocated, allocated))
        fill = lambda size=size: _fill_witness(keys[:size])  # noqa: E731
        grants.append(Point(size, *measure_cpu_us(fill, repeats=3)))
    calls = [(size, *_measure_calls(size)) for size in CALL_COUNTS]
    list_changes = [
        (size, *_measure_collectors(size)) for size in COLLECTOR_HOST_COUNTS
    ]
    return {
        "choices": fit_line("choice of the witnesses of a key, µs", "hosts", choices),
        "list memory": fit_line("a hosts list kept by claims, bytes", "hosts", lists),
        "records": fit_line("records kept by a witness, bytes", "records", records),
        "grants": fit_line(
            "claims granted and settled by a witness, µs", "claims", grants
        ),
        "call bytes": fit_line(
            "claims of calls, bytes sent by the fleet",
            "calls",
            [Point(n, b, b) for n, b, _ in calls],
        ),
        "call messages": fit_line(
            "claims of calls, messages sent by the fleet",
            "calls",
            [Point(n, m, m) for n, _, m in calls],
        ),
        "collector messages": fit_line(
            "a new hosts list: messages sent by the busiest host in 30 s",
            "hosts",
            [Point(n, m, m) for n, _, m, _ in list_changes],
        ),
        "collector size": fit_line(
            "a new hosts list: bytes per message of the busiest host",
            "hosts",
            [Point(n, b / m, b / m) for n, b, m, _ in list_changes],
        ),
    }
