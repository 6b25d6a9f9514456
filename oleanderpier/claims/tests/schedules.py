"""Random schedules of requests and faults, repeatable by seed.

Usage: ``python -m oleanderpier.claims.tests.schedules FIRST COUNT`` runs COUNT
schedules from seed FIRST on and prints how many break a guarantee.
"""

import random
import sys
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

from oleanderpier.claims.tests.baselines import HashedOwnerNode, UnsharedNode
from oleanderpier.claims.tests.fleet import ClaimsNode, Fleet

CALLER_COUNT = 6
SCHEDULE_S = 45.0
STEPS = ("claim", "check", "send", "response", "settle")
WARM_UP_S = 9.0


def _choose_host(fleet: Fleet, rng: random.Random) -> str:
    return rng.choice(sorted(fleet.processes))


def _split_fleet(fleet: Fleet, rng: random.Random) -> None:
    """Split the fleet into up to three groups at random."""
    names = sorted(fleet.processes, key=lambda _: rng.random())
    first, second = rng.choice([(4, 8), (3, 6), (1, 8), (2, 5), (5, 8)])
    fleet.split(names[:first], names[first:second], names[second:])


def _cut_one_way(fleet: Fleet, rng: random.Random) -> None:
    """Cut all outgoing links of one host, and one link of another."""
    hosts = rng.sample(sorted(fleet.processes), 3)
    fleet.cut_links |= {
        (hosts[0], name) for name in fleet.processes if name != hosts[0]
    }
    fleet.cut_links |= {(hosts[1], hosts[2])}


def _restart(fleet: Fleet, rng: random.Random) -> None:
    """Restart a host, in 2 of 5 cases with an older list."""
    versions_behind = rng.choice([0, 0, 0, 1, 2])
    fleet.start(
        _choose_host(fleet, rng), max(1, len(fleet.documents) - versions_behind)
    )


def _replace(fleet: Fleet, rng: random.Random) -> None:
    """Replace some hosts, and show the new list to each host at another time."""
    names = list(fleet.names)
    old = rng.sample(names, rng.choice([1, 1, 2, 3]))
    # The new index is equal modulo 3, so the failure domain stays the same.
    base = 9 * (len(fleet.documents) + 1)
    new = [f"host-{base + 3 * i + int(name[5:]) % 3}" for i, name in enumerate(old)]
    fleet.publish([*(name for name in names if name not in old), *new])
    for name in new:
        fleet.start(name)
    for name in sorted(fleet.processes):
        show = partial(fleet.show_list, [name], len(fleet.documents))
        fleet.timers.call_later(rng.choice([0.0, 0.5, 3.0, 12.0]), show)
    for name in old:
        fleet.timers.call_later(rng.uniform(0.0, 12.0), partial(fleet.kill, name))


def _disturb_messages(fleet: Fleet, rng: random.Random) -> None:
    """Set how many messages are lost, duplicated and reordered."""
    fleet.loss_ratio, fleet.duplicate_ratio = (
        rng.choice([0.0, 0.05, 0.3]),
        rng.choice([0.0, 0.2]),
    )
    fleet.reorder_ratio = rng.choice([0.0, 0.1, 0.5])


def _fail_service(fleet: Fleet, rng: random.Random) -> None:
    """Set how many responses are lost and requests refused, and the delay."""
    fleet.response_loss_ratio, fleet.refusal_ratio = (
        rng.choice([0.0, 0.5]),
        rng.choice([0.0, 0.3]),
    )
    fleet.response_delay_s = rng.choice([0.01, 6.0])


def _fail_at_step(fleet: Fleet, rng: random.Random) -> None:
    """Kill, pause or restart a host when it next gets to some step."""
    failure: Callable[[str], None] = rng.choice([fleet.kill, fleet.pause, fleet.start])
    fleet.failure_at_step[_choose_host(fleet, rng), rng.choice(STEPS)] = failure


def _pause(fleet: Fleet, rng: random.Random) -> None:
    fleet.pause(_choose_host(fleet, rng), rng.choice([1.0, 5.0, 30.0]))


def _heal_network(fleet: Fleet, rng: random.Random) -> None:
    fleet.cut_links.clear()


FAULTS = (
    _split_fleet,
    _split_fleet,
    _cut_one_way,
    _restart,
    _replace,
    _replace,
    _disturb_messages,
    _fail_service,
    _fail_at_step,
    _fail_at_step,
    _pause,
    _heal_network,
    _heal_network,
)


def _request_repeatedly(fleet: Fleet, rng: random.Random, key: str, left: int) -> None:
    """Request a key at one or two hosts, and again later ``left`` times."""
    for _ in range(rng.choice([1, 1, 2])):
        fleet.request(_choose_host(fleet, rng), key)
    if left:
        repeat = partial(_request_repeatedly, fleet, rng, key, left - 1)
        fleet.timers.call_later(rng.choice([0.0, 0.001, 0.02, 1.0, 8.0]), repeat)


def run_schedule(seed: int, make_node: Any = ClaimsNode) -> Fleet:
    """Run one schedule and return its fleet, which knows what was broken."""
    fleet = Fleet(seed, make_node)
    rng = random.Random(f"schedule-{seed}")
    fleet.timers.advance(WARM_UP_S)
    for _ in range(rng.randint(4, 14)):
        cause_fault = partial(rng.choice(FAULTS), fleet, rng)
        fleet.timers.call_later(rng.uniform(0.0, SCHEDULE_S / 2), cause_fault)
    for _ in range(CALLER_COUNT):

        def start_caller() -> None:
            _request_repeatedly(fleet, rng, fleet.make_key(), 3)

        fleet.timers.call_later(rng.uniform(0.0, SCHEDULE_S / 2), start_caller)
    fleet.timers.advance(SCHEDULE_S)
    return fleet


def main(first: int, count: int) -> None:
    """Print for each implementation how many schedules break a guarantee."""
    for make_node in (ClaimsNode, HashedOwnerNode, UnsharedNode):
        broken, received, ran, keys = [], Counter(), 0, 0
        for seed in range(first, first + count):
            fleet = run_schedule(seed, make_node)
            broken += [seed] if fleet.find_violations() else []
            received.update(
                code.name for call in fleet.calls for code in call.received_codes
            )
            ran += len(fleet.executions)
            keys += len({call.key for call in fleet.calls})
        print(f"{make_node.__name__}: {len(broken)} of {count} schedules broken")
        print(f"  first seeds {broken[:5]}; {ran} of {keys} keys ran; {dict(received)}")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
