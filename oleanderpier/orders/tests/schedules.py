"""Seeded schedules of orders and failures; ``python -m`` runs many of them.

Usage: ``python -m oleanderpier.orders.tests.schedules FIRST COUNT``.
"""

import random
import sys
from collections import Counter
from functools import partial
from typing import Any

from oleanderpier.orders.tests.baselines import OwnedOrders
from oleanderpier.orders.tests.faults import WARM_UP_S, part_holder
from oleanderpier.orders.tests.fleet import (
    BUDGET,
    ENGINES,
    STEPS,
    LeasedOrders,
    OrdersFleet,
)

FAULTS_S = 60.0
HEALED_S = 45.0
SKEW_S = 1.0
SUBJECTS = (*ENGINES, BUDGET)


def _pick(fleet: OrdersFleet, rng: random.Random) -> str:
    """Return a host, most often one that gives orders."""
    holders = [fleet.find_holder(subject) for subject in SUBJECTS]
    known = [holder for holder in holders if holder]
    return rng.choice(known if known and rng.random() < 0.7 else sorted(fleet.names))


def _split(fleet: OrdersFleet, rng: random.Random) -> None:
    names = sorted(fleet.processes, key=lambda _: rng.random())
    first, second = rng.choice([(4, 8), (3, 6), (1, 8), (2, 5), (5, 8)])
    fleet.split(names[:first], names[first:second], names[second:])


def _part_holder(fleet: OrdersFleet, rng: random.Random) -> None:
    part_holder(fleet, rng.choice(SUBJECTS))


def _cut_one_way(fleet: OrdersFleet, rng: random.Random) -> None:
    host = _pick(fleet, rng)
    others = [name for name in fleet.processes if name != host]
    deaf = rng.random() < 0.5
    fleet.cut_links |= {(name, host) if deaf else (host, name) for name in others}


def _restart(fleet: OrdersFleet, rng: random.Random) -> None:
    for _ in range(rng.choice([1, 1, 3, 8])):
        stale = rng.random() < 0.3
        fleet.start(_pick(fleet, rng), max(1, len(fleet.documents) - stale))


def _replace(fleet: OrdersFleet, rng: random.Random) -> None:
    """Publish a list with one host replaced, and let hosts see it unevenly."""
    names = list(fleet.names)
    old = rng.choice(names)
    fresh = f"host-{3 * len(fleet.documents) + 6 + int(old[5:]) % 3}"
    fleet.publish([fresh if name == old else name for name in names])
    version = len(fleet.documents)
    fleet.start(fresh)
    for name in sorted(fleet.processes):
        see = partial(fleet.show_list, [name], version)
        fleet.timers.call_later(rng.choice([0.0, 0.5, 3.0, 12.0]), see)
    fleet.timers.call_later(rng.uniform(0.0, 12.0), partial(fleet.kill, old))


def _disturb(fleet: OrdersFleet, rng: random.Random) -> None:
    fleet.loss_ratio, fleet.duplicate_ratio = (
        rng.choice([0.0, 0.05, 0.3]),
        rng.choice([0.0, 0.2]),
    )
    fleet.reorder_ratio = rng.choice([0.0, 0.1, 0.5])


def _disturb_orders(fleet: OrdersFleet, rng: random.Random) -> None:
    fleet.order_loss, fleet.delay_s = rng.choice([0.0, 0.3]), rng.choice([0.0, 4.9])


def _stop(fleet: OrdersFleet, rng: random.Random) -> None:
    fleet.stop_share = rng.choice([0.0, 0.1, 0.5])


def _fail_at_step(fleet: OrdersFleet, rng: random.Random) -> None:
    failure = rng.choice([fleet.kill, fleet.pause, fleet.pause, fleet.start])
    fleet.failure_at_step[_pick(fleet, rng), rng.choice(STEPS)] = failure


def _pause(fleet: OrdersFleet, rng: random.Random) -> None:
    pause_s = rng.choice([1.0, 5.0, 14.0, 19.0, 30.0])
    fleet.pause(_pick(fleet, rng), pause_s + rng.uniform(0.0, 1.0))


def _skew(fleet: OrdersFleet, rng: random.Random) -> None:
    """Turn a host's wall clock to another error within the bound."""
    fleet.processes[_pick(fleet, rng)]._skew_s = rng.uniform(-SKEW_S, SKEW_S)


def _heal(fleet: OrdersFleet, rng: random.Random) -> None:
    fleet.cut_links.clear()


FAULTS = (
    _split,
    _part_holder,
    _cut_one_way,
    _restart,
    _replace,
    _replace,
    _disturb,
    _disturb_orders,
    _stop,
    _fail_at_step,
    _fail_at_step,
    _pause,
    _pause,
    _skew,
    _heal,
    _heal,
)


def heal(fleet: OrdersFleet) -> None:
    """End every fault but those of hosts that are gone."""
    fleet.cut_links.clear()
    fleet.failure_at_step.clear()
    fleet.loss_ratio = fleet.duplicate_ratio = fleet.reorder_ratio = 0.0
    fleet.order_loss = fleet.delay_s = fleet.stop_share = 0.0
    for name in fleet.names:
        if not fleet.processes[name].alive:
            fleet.start(name)
    fleet.show_list(sorted(fleet.processes))


def run_schedule(seed: int, make_node: Any = LeasedOrders) -> OrdersFleet:
    """Run one schedule and return its fleet, for the caller to judge."""
    fleet = OrdersFleet(seed, make_node)
    rng = random.Random(f"schedule-{seed}")
    fleet.timers.advance(WARM_UP_S)
    for _ in range(rng.randint(4, 14)):
        start = partial(rng.choice(FAULTS), fleet, rng)
        fleet.timers.call_later(rng.uniform(0.0, FAULTS_S), start)
    fleet.timers.advance(FAULTS_S)
    heal(fleet)
    fleet.timers.advance(HEALED_S)
    return fleet


def main(first: int, count: int) -> None:
    """Print how many of the schedules break a promise, for each way."""
    for make_node in (OwnedOrders, LeasedOrders):
        broken, idle, counts, results = [], [], Counter(), Counter()
        for seed in range(first, first + count):
            fleet = run_schedule(seed, make_node)
            broken += [seed] if fleet.find_violations() else []
            idle += [] if all(fleet.count_obeyed(fleet.timers.now() - 10)) else [seed]
            counts["obeyed"] += sum(fleet.count_obeyed())
            counts["written late"] += fleet.count_strikes()
            counts["late, obeyed after another's"] += fleet.count_harm()
            counts["pauses"] += fleet.pauses
            counts["pauses past the last check"] += fleet.check_pauses
            counts["starts"] += len(fleet.starts)
            results.update(fleet.results)
        print(f"{make_node.__name__}: {len(broken)} of {count} schedules broken")
        print(f"  first seeds {broken[:5]}; no orders at the end: {idle[:9]}")
        print(f"  {dict(counts)}\n  {dict(results)}", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
