"""Random schedules of orders and faults, repeatable by seed.

Usage: ``python -m oleanderpier.orders.tests.schedules FIRST COUNT`` runs COUNT
schedules from seed FIRST on and prints how many break a guarantee.
"""

import random
import sys
from collections import Counter
from functools import partial
from typing import Any

from oleanderpier.orders.tests.baselines import HashedOwnerNode
from oleanderpier.orders.tests.faults import WARM_UP_S, isolate_holder
from oleanderpier.orders.tests.fleet import (
    BUDGET,
    ENGINES,
    STEPS,
    LeaseNode,
    OrdersFleet,
)

FAULTS_S = 60.0
RECOVERY_S = 45.0
MAX_SKEW_S = 1.0
SUBJECTS = (*ENGINES, BUDGET)


def _choose_host(fleet: OrdersFleet, rng: random.Random) -> str:
    """Return a random host, most often one that holds a lease."""
    holders = [fleet.find_holder(subject) for subject in SUBJECTS]
    known = [holder for holder in holders if holder]
    return rng.choice(known if known and rng.random() < 0.7 else sorted(fleet.names))


def _split_fleet(fleet: OrdersFleet, rng: random.Random) -> None:
    """Split the fleet into up to three groups at random."""
    names = sorted(fleet.processes, key=lambda _: rng.random())
    first, second = rng.choice([(4, 8), (3, 6), (1, 8), (2, 5), (5, 8)])
    fleet.split(names[:first], names[first:second], names[second:])


def _isolate_holder(fleet: OrdersFleet, rng: random.Random) -> None:
    isolate_holder(fleet, rng.choice(SUBJECTS))


def _cut_one_way(fleet: OrdersFleet, rng: random.Random) -> None:
    """Cut either all incoming or all outgoing links of a host."""
    host = _choose_host(fleet, rng)
    others = [name for name in fleet.processes if name != host]
    deaf = rng.random() < 0.5
    fleet.cut_links |= {(name, host) if deaf else (host, name) for name in others}


def _restart(fleet: OrdersFleet, rng: random.Random) -> None:
    """Restart some hosts, in 3 of 10 cases with an older list."""
    for _ in range(rng.choice([1, 1, 3, 8])):
        has_older_list = rng.random() < 0.3
        fleet.start(
            _choose_host(fleet, rng), max(1, len(fleet.documents) - has_older_list)
        )


def _replace(fleet: OrdersFleet, rng: random.Random) -> None:
    """Replace a host, and show the new list to each host at another time."""
    names = list(fleet.names)
    old = rng.choice(names)
    new = f"host-{3 * len(fleet.documents) + 6 + int(old[5:]) % 3}"
    fleet.publish([new if name == old else name for name in names])
    version = len(fleet.documents)
    fleet.start(new)
    for name in sorted(fleet.processes):
        show = partial(fleet.show_list, [name], version)
        fleet.timers.call_later(rng.choice([0.0, 0.5, 3.0, 12.0]), show)
    fleet.timers.call_later(rng.uniform(0.0, 12.0), partial(fleet.kill, old))


def _disturb_messages(fleet: OrdersFleet, rng: random.Random) -> None:
    """Set how many messages are lost, duplicated and reordered."""
    fleet.loss_ratio, fleet.duplicate_ratio = (
        rng.choice([0.0, 0.05, 0.3]),
        rng.choice([0.0, 0.2]),
    )
    fleet.reorder_ratio = rng.choice([0.0, 0.1, 0.5])


def _disturb_orders(fleet: OrdersFleet, rng: random.Random) -> None:
    """Set how many orders are lost, and how late they are."""
    fleet.order_loss_ratio, fleet.max_order_delay_s = (
        rng.choice([0.0, 0.3]),
        rng.choice([0.0, 4.9]),
    )


def _set_release_ratio(fleet: OrdersFleet, rng: random.Random) -> None:
    """Set how often a lease is released after an order."""
    fleet.release_ratio = rng.choice([0.0, 0.1, 0.5])


def _fail_at_step(fleet: OrdersFleet, rng: random.Random) -> None:
    """Kill, pause or restart a host when it next gets to some step."""
    failure = rng.choice([fleet.kill, fleet.pause, fleet.pause, fleet.start])
    fleet.failure_at_step[_choose_host(fleet, rng), rng.choice(STEPS)] = failure


def _pause(fleet: OrdersFleet, rng: random.Random) -> None:
    pause_s = rng.choice([1.0, 5.0, 14.0, 19.0, 30.0])
    fleet.pause(_choose_host(fleet, rng), pause_s + rng.uniform(0.0, 1.0))


def _skew_clock(fleet: OrdersFleet, rng: random.Random) -> None:
    """Set the error of a host's wall clock, within its bound."""
    fleet.processes[_choose_host(fleet, rng)]._skew_s = rng.uniform(
        -MAX_SKEW_S, MAX_SKEW_S
    )


def _heal_network(fleet: OrdersFleet, rng: random.Random) -> None:
    fleet.cut_links.clear()


FAULTS = (
    _split_fleet,
    _isolate_holder,
    _cut_one_way,
    _restart,
    _replace,
    _replace,
    _disturb_messages,
    _disturb_orders,
    _set_release_ratio,
    _fail_at_step,
    _fail_at_step,
    _pause,
    _pause,
    _skew_clock,
    _heal_network,
    _heal_network,
)


def end_faults(fleet: OrdersFleet) -> None:
    """End all faults, and start the hosts that are dead."""
    fleet.cut_links.clear()
    fleet.failure_at_step.clear()
    fleet.loss_ratio = fleet.duplicate_ratio = fleet.reorder_ratio = 0.0
    fleet.order_loss_ratio = fleet.max_order_delay_s = fleet.release_ratio = 0.0
    for name in fleet.names:
        if not fleet.processes[name].alive:
            fleet.start(name)
    fleet.show_list(sorted(fleet.processes))


def run_schedule(seed: int, make_node: Any = LeaseNode) -> OrdersFleet:
    """Run one schedule and return its fleet, which knows what was broken."""
    fleet = OrdersFleet(seed, make_node)
    rng = random.Random(f"schedule-{seed}")
    fleet.timers.advance(WARM_UP_S)
    for _ in range(rng.randint(4, 14)):
        cause_fault = partial(rng.choice(FAULTS), fleet, rng)
        fleet.timers.call_later(rng.uniform(0.0, FAULTS_S), cause_fault)
    fleet.timers.advance(FAULTS_S)
    end_faults(fleet)
    fleet.timers.advance(RECOVERY_S)
    return fleet


def main(first: int, count: int) -> None:
    """Print for each implementation how many schedules break a guarantee."""
    for make_node in (HashedOwnerNode, LeaseNode):
        broken, idle, counts, results = [], [], Counter(), Counter()
        for seed in range(first, first + count):
            fleet = run_schedule(seed, make_node)
            broken += [seed] if fleet.find_violations() else []
            idle += [] if all(fleet.count_executed(fleet.timers.now() - 10)) else [seed]
            counts["executed"] += sum(fleet.count_executed())
            counts["written late after a pause"] += fleet.count_late_orders()
            counts["late, executed after another issuer's"] += (
                fleet.count_superseded_orders()
            )
            counts["pauses"] += fleet.pause_count
            counts["pauses between last check and write"] += fleet.write_pause_count
            counts["starts"] += len(fleet.start_times_s)
            results.update(fleet.results)
        print(f"{make_node.__name__}: {len(broken)} of {count} schedules broken")
        print(f"  first seeds {broken[:5]}; no orders executed at the end: {idle[:9]}")
        print(f"  {dict(counts)}\n  {dict(results)}", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
