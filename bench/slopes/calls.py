"""Slopes of claims: what witnesses and collectors do."""

from collections import Counter
from typing import Any
from unittest import mock

from bench.slopes.fits import Point, Slope, find_least_us, fit_slope, measure_held
from bench.slopes.sizes import FAILURE_DOMAINS
from oleanderpier.claims import Claim, HostList, ListedHost, Settle
from oleanderpier.claims.tests.costs import CLAIM_ID, make_keys, make_list
from oleanderpier.claims.tests.fleet import Fleet
from oleanderpier.claims.tests.schedules import WARM_UP_S
from oleanderpier.claims.witness import Witness
from oleanderpier.claims.witness_sets import choose_witnesses
from oleanderpier.utils import ManualTimers, decode_message, encode_message

__all__ = ["measure_calls"]

LIST_SIZES = (190, 475, 950, 1_900)
RECORD_SIZES = (2_000, 5_000, 10_000)
CALL_SIZES = (100, 200, 400)
COLLECTOR_SIZES = (8, 16, 32, 64)
BODY = bytes(64)
AFTER_LIST_S = 30.0
CALL_SPACING_S = 0.02


def _fill_witness(keys: list[bytes]) -> Witness:
    timers = ManualTimers()
    witness = Witness(timers, mock.Mock(highest_version=1, ready=True))
    timers.advance(10.0)
    for key in keys:
        claim = decode_message(encode_message(Claim(key, CLAIM_ID, 1)))
        witness.grant(claim)
        settle = Settle(claim.key, claim.claim_id, 0, BODY)
        witness.settle(decode_message(encode_message(settle)))
    return witness


def _choose_all(keys: list[bytes], known: HostList) -> None:
    for key in keys:
        choose_witnesses(key, known)


def _copy_list(size: int) -> tuple[ListedHost, ...]:
    return tuple(
        ListedHost(f"host-{index}", f"domain-{index % FAILURE_DOMAINS}")
        for index in range(size)
    )


class _Counted(Fleet):
    """A fleet that counts what each host sends."""

    def __init__(self, hosts: int):
        self.sent: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        super().__init__(1, hosts=hosts)

    def transmit(self, sender: str, host: str, message: Any) -> bool:
        """Count a message by its sender and carry it."""
        if sender != host and type(message).__module__.startswith("oleanderpier.claim"):
            self.sent[sender] += len(encode_message(message))
            self.messages[sender] += 1
        return super().transmit(sender, host, message)


def _measure_calls(calls: int) -> tuple[float, float]:
    """Return bytes and messages of calls of distinct keys, over the fleet."""
    fleet = _Counted(16)
    fleet.timers.advance(WARM_UP_S)
    fleet.sent.clear()
    fleet.messages.clear()
    for index in range(calls):
        fleet.request(f"host-{index % 16}", fleet.make_key())
        fleet.timers.advance(CALL_SPACING_S)
    return fleet.sent.total(), fleet.messages.total()


def _measure_collectors(hosts: int) -> tuple[float, float, float]:
    """Return what a host sends after a new list: worst, its messages, and mean."""
    fleet = _Counted(hosts)
    fleet.timers.advance(WARM_UP_S)
    fleet.publish(fleet.names)
    fleet.sent.clear()
    fleet.messages.clear()
    fleet.show_list(fleet.names, 2)
    fleet.timers.advance(AFTER_LIST_S)
    worst = max(fleet.sent, key=fleet.sent.__getitem__)
    return fleet.sent[worst], fleet.messages[worst], fleet.sent.total() / hosts


def measure_calls() -> dict[str, Slope]:
    """Measure claims of calls that may not be repeated."""
    keys = make_keys(max(RECORD_SIZES))
    choices, lists = [], []
    for size in LIST_SIZES:
        known = make_list(size, FAILURE_DOMAINS)
        least, most = find_least_us(lambda known=known: _choose_all(keys[:50], known))
        choices.append(Point(size, least / 50, most / 50))
        held = measure_held(lambda size=size: _copy_list(size))
        lists.append(Point(size, held, held))
    records, grants = [], []
    for size in RECORD_SIZES:
        held = measure_held(lambda size=size: _fill_witness(keys[:size]))
        records.append(Point(size, held, held))
        fill = lambda size=size: _fill_witness(keys[:size])  # noqa: E731
        grants.append(Point(size, *find_least_us(fill, repeats=3)))
    calls = [(size, *_measure_calls(size)) for size in CALL_SIZES]
    news = [(size, *_measure_collectors(size)) for size in COLLECTOR_SIZES]
    return {
        "choices": fit_slope("witnesses of a key chosen, µs", "hosts", choices),
        "list memory": fit_slope("a hosts list held by claims, bytes", "hosts", lists),
        "records": fit_slope("records of a witness, bytes", "records", records),
        "grants": fit_slope("claims granted and settled, µs", "claims", grants),
        "call bytes": fit_slope(
            "calls, bytes over the fleet",
            "calls",
            [Point(n, b, b) for n, b, _ in calls],
        ),
        "call messages": fit_slope(
            "calls, messages over the fleet",
            "calls",
            [Point(n, m, m) for n, _, m in calls],
        ),
        "collector messages": fit_slope(
            "a new hosts list: messages of the busiest host in 30 s",
            "hosts",
            [Point(n, m, m) for n, _, m, _ in news],
        ),
        "collector size": fit_slope(
            "a new hosts list: bytes a message of the busiest host",
            "hosts",
            [Point(n, b / m, b / m) for n, b, m, _ in news],
        ),
    }
