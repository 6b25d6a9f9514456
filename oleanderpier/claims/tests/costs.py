"""Prints the costs of claims, and the share of keys with a majority in a split.

Usage: ``python -m oleanderpier.claims.tests.costs``.
"""

import random
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from itertools import combinations
from unittest import mock

from oleanderpier.claims import Claim, HostList, ListedHost, ListReply, RoundId, Settle
from oleanderpier.claims import witness_sets as witness_sets_module
from oleanderpier.claims.tests.fleet import FAILURE_DOMAINS, Fleet
from oleanderpier.claims.tests.schedules import WARM_UP_S
from oleanderpier.claims.witness import Witness
from oleanderpier.claims.witness_sets import choose_witnesses, count_majority
from oleanderpier.utils import ManualTimers, decode_message, encode_message, pack_key
from oleanderpier.utils import make_key as make_text

CLAIM_ID = RoundId("host-1234", "i123456789", 123456)
RECORD_COUNT = 20_000


def make_keys(count: int) -> list[bytes]:
    """Return packed keys that a witness grants 10 s after the manual timers' start."""
    rng = random.Random(1)
    wall_s = ManualTimers().wall() + 10.0
    return [pack_key(make_text(wall_s, rng)) for _ in range(count)]


def make_list(hosts: int, domains: int) -> HostList:
    """Return a list whose hosts are assigned to failure domains in turn."""
    names = [f"host-{index}" for index in range(hosts)]
    listed = (ListedHost(n, f"domain-{i % domains}") for i, n in enumerate(names))
    return HostList(1, tuple(listed))


def measure_us(action: Callable[[], object], count: int) -> float:
    """Return the mean processor time of an action, in microseconds."""
    start = time.process_time()
    for _ in range(count):
        action()
    return (time.process_time() - start) / count * 1e6


def print_witness_time() -> None:
    """Print the processor time to choose a key's witnesses, by number of hosts."""
    for hosts in (8, 100, 500, 1000, 1900):
        keys, host_list = iter(make_keys(200)), make_list(hosts, 22)
        cost_us = measure_us(
            lambda k=keys, n=host_list: choose_witnesses(next(k), n), 200
        )
        print(f"choose witnesses of {hosts} hosts: {cost_us:.0f} us")


def print_majority_shares() -> None:
    """Print the share of keys whose majority is on one side, over all splits."""
    keys = make_keys(3000)
    for count, hosts, size in (
        (w, h, s) for w in (3, 5, 7) for h in (7, 8) for s in (4, 5)
    ):
        host_list = make_list(hosts, len(FAILURE_DOMAINS))
        with mock.patch.object(witness_sets_module, "WITNESS_COUNT", count):
            sets = Counter(
                frozenset(choose_witnesses(k, host_list).hosts) for k in keys
            )
        sides = [set(side) for side in combinations(host_list.names, size)]
        majority = count_majority(count)
        with_majority = sum(
            n for side in sides for s, n in sets.items() if len(s & side) >= majority
        )
        share = with_majority / len(sides) / len(keys)
        print(f"{count} witnesses, {size} of {hosts} hosts: {share:.3f} of keys")


def print_message_bytes() -> None:
    """Print the sizes of messages, and the messages and bytes of a claim."""
    key = make_keys(1)[0]
    print("Claim bytes:", len(encode_message(Claim(key, CLAIM_ID, 57_000))))
    hosts = list(make_list(1900, 22).hosts)
    print("ListReply bytes, 1900 hosts:", len(encode_message(ListReply(1, hosts, []))))
    fleet = Fleet(1)
    fleet.timers.advance(WARM_UP_S)
    fleet.message_counts.clear()
    fleet.message_bytes.clear()
    for index in range(1000):
        fleet.request(f"host-{index % 8}", fleet.make_key())
        fleet.timers.advance(0.02)
    print("messages a claim:", {k: n / 1000 for k, n in fleet.message_counts.items()})
    print("bytes a claim:", sum(fleet.message_bytes.values()) / 1000)


def print_record_bytes() -> None:
    """Print the memory that a witness uses for a settled record, in bytes."""
    timers = ManualTimers()
    witness = Witness(timers, mock.Mock(highest_version=1, ready=True))
    timers.advance(10.0)
    keys = make_keys(RECORD_COUNT)
    tracemalloc.start()
    for key in keys:
        claim = decode_message(encode_message(Claim(key, CLAIM_ID, 1)))
        witness.grant(claim)
        settle = Settle(claim.key, claim.claim_id, 0, bytes(64))
        witness.settle(decode_message(encode_message(settle)))
    print("bytes a record:", round(tracemalloc.get_traced_memory()[0] / RECORD_COUNT))
    tracemalloc.stop()


if __name__ == "__main__":
    print_witness_time()
    print_majority_shares()
    print_message_bytes()
    print_record_bytes()
