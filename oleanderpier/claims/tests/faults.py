"""The table of named faults, for the claims and for the baselines.

Usage: ``python -m oleanderpier.claims.tests.faults SEEDS``.
"""

import sys
from collections.abc import Callable
from functools import partial
from typing import Any

from oleanderpier.claims.tests.baselines import HashedOwnerNode, UnsharedNode
from oleanderpier.claims.tests.fleet import ClaimsNode, Fleet
from oleanderpier.claims.tests.schedules import STEPS, WARM_UP_S

KEY_COUNT = 8
ROUND_S = 14.0

Case = Callable[[Fleet], None]


def request_at_all(
    fleet: Fleet, *hosts: str, keys: int = KEY_COUNT, ahead_s: float = 0.0
) -> None:
    """Send each of some fresh keys to every one of the hosts at once."""
    for _ in range(keys):
        key = fleet.make_key(ahead_s)
        for host in hosts:
            fleet.request(host, key)


def _fail_at(step: str, failure: str, fleet: Fleet) -> None:
    """Fail one host at one step, and ask another one shortly after."""
    key = fleet.make_key()
    fleet.failure_at_step["host-0", step] = getattr(fleet, failure)
    fleet.request("host-0", key)
    fleet.timers.call_later(0.3, lambda: fleet.request("host-1", key))


def _fail_three_hosts(failure: str, fleet: Fleet) -> None:
    """Send keys at one host, fail each host in turn, and ask again."""
    request_at_all(fleet, "host-0", keys=3 * KEY_COUNT)
    fleet.timers.advance(1.0)
    for name in fleet.names[2:5]:
        getattr(fleet, failure)(name)
    fleet.timers.advance(5.0)


def _split_fleet(groups: list[list[int]], fleet: Fleet) -> None:
    names = [[f"host-{index}" for index in group] for group in groups]
    fleet.split(*names)
    fleet.timers.advance(5.0)
    request_at_all(fleet, *(group[0] for group in names))
    fleet.timers.call_later(10.0, fleet.cut_links.clear)


def _cut_one_way(deaf: bool, fleet: Fleet) -> None:
    others = fleet.names[1:]
    pairs = {(name, "host-0") if deaf else ("host-0", name) for name in others}
    fleet.cut_links |= pairs
    fleet.timers.advance(5.0)
    request_at_all(fleet, "host-0", "host-1")


def _isolate(fleet: Fleet, *indexes: int) -> None:
    """Cut some hosts off from all others, whether those run yet or not."""
    apart = [f"host-{index}" for index in indexes]
    fleet.split(apart, [f"host-{i}" for i in range(40) if i not in indexes])
    fleet.timers.advance(0.1)


def _publish(fleet: Fleet, *indexes: int) -> None:
    """Publish a list, and start those of its hosts that do not run yet."""
    fleet.publish([f"host-{index}" for index in indexes])
    for name in fleet.names:
        if name not in fleet.processes:
            fleet.start(name)


def _let_lists_differ(steps: int, fleet: Fleet) -> None:
    """Half of the hosts see lists that are some steps newer."""
    _isolate(fleet, 0, 1, 2, 3)
    for fresh in range(9, 9 + 3 * steps, 3):
        _publish(fleet, 3, 4, 5, 6, 7, fresh, fresh + 1, fresh + 2)
    fleet.show_list(["host-4", "host-5", "host-6", "host-7"])
    fleet.timers.advance(1.0)
    request_at_all(fleet, "host-0", "host-4", "host-9")
    fleet.timers.advance(6.0)
    request_at_all(fleet, "host-0", "host-4", "host-9", keys=3 * KEY_COUNT)
    fleet.timers.call_later(8.0, fleet.cut_links.clear)


def _miss_version(fleet: Fleet) -> None:
    """One host sees version 3 without 2, which a part of the fleet still has."""
    _isolate(fleet, 7)
    _publish(fleet, 3, 4, 5, 6, 7, 9, 10, 11)
    fleet.show_list([f"host-{index}" for index in range(7)])
    fleet.timers.advance(8.0)
    _isolate(fleet, 3, 9, 10, 11)
    _publish(fleet, 3, 4, 5, 6, 7, 12, 13, 14)
    fleet.show_list(["host-7"])
    fleet.timers.advance(6.0)
    request_at_all(fleet, "host-7", "host-3", keys=6 * KEY_COUNT)
    fleet.timers.advance(5.0)


def _restart_with_closed_list(fleet: Fleet) -> None:
    """Close a list, then restart hosts one by one that see only the old one."""
    _publish(fleet, 1, 2, 3, 4, 5, 6, 7, 9)
    fleet.show_list([f"host-{index}" for index in range(1, 8)])
    fleet.timers.advance(8.0)
    fleet.timers.advance(0.1)
    for index in (1, 2, 3):
        fleet.start(f"host-{index}", 1)
        _isolate(fleet, *range(index + 1))
        fleet.timers.advance(4.9)
    request_at_all(fleet, "host-0", "host-4", keys=6 * KEY_COUNT)


def _keep_closed_list(fleet: Fleet) -> None:
    """Close a list that one host still goes by, with witnesses in reach."""
    _publish(fleet, 1, 2, 3, 4, 5, 6, 7, 9)
    fleet.show_list([f"host-{index}" for index in range(1, 8)])
    fleet.timers.advance(8.0)
    _isolate(fleet, 0, 1, 2, 3)
    request_at_all(fleet, "host-0", "host-4", keys=6 * KEY_COUNT)


def _change_after_claim(fleet: Fleet) -> None:
    """Replace half of a list, closing the old one, after keys were claimed."""
    for index in (9, 10, 11, 12):
        fleet.start(f"host-{index}")
    fleet.timers.advance(6.0)
    fleet.response_delay_s = 40.0
    request_at_all(fleet, "host-0", keys=6 * KEY_COUNT)
    fleet.timers.advance(0.5)
    _publish(fleet, 4, 5, 6, 7, 9, 10, 11, 12)
    fleet.show_list(sorted(fleet.processes))


def _replace_in_turn(fresh_names: bool, fleet: Fleet) -> None:
    """Replace every host in turn while the same keys are asked again."""
    keys = [fleet.make_key() for _ in range(KEY_COUNT)]
    for index, name in enumerate(list(fleet.names)):
        for key in keys:
            fleet.request(name, key)
        fleet.timers.advance(0.5)
        fresh = f"host-{index + 9}" if fresh_names else name
        fleet.publish([*(other for other in fleet.names if other != name), fresh])
        fleet.start(fresh)
        fleet.show_list([host for host in fleet.names if fleet.processes[host].alive])
        fleet.timers.advance(4.0)
        if fresh_names:
            fleet.kill(name)


def _replace_all(fleet: Fleet) -> None:
    """Replace every process at once, just after keys were asked."""
    request_at_all(fleet, "host-0", "host-1", ahead_s=1.2)
    fleet.timers.advance(0.01)
    for name in fleet.names:
        fleet.start(name)


def _set_response(loss: float, answer_s: float, fleet: Fleet) -> None:
    fleet.response_loss_ratio, fleet.response_delay_s = loss, answer_s
    request_at_all(fleet, "host-0", "host-1")
    fleet.timers.advance(5.0)


def _refuse_requests(fleet: Fleet) -> None:
    fleet.refusal_ratio = 0.7
    request_at_all(fleet, "host-0", "host-1", keys=3 * KEY_COUNT)


def _disturb_messages(fleet: Fleet) -> None:
    fleet.loss_ratio, fleet.duplicate_ratio, fleet.reorder_ratio = 0.2, 0.3, 0.4
    request_at_all(fleet, "host-0", "host-1", "host-2")
    fleet.timers.advance(10.0)


def _restart_claimant(fleet: Fleet) -> None:
    """Answers to a process reach its successor, which claims the same keys."""
    fleet.reorder_ratio = fleet.duplicate_ratio = 1.0
    request_at_all(fleet, "host-0", keys=3 * KEY_COUNT)
    fleet.timers.advance(1.5)
    fleet.reorder_ratio = fleet.duplicate_ratio = 0.0
    fleet.start("host-0")
    fleet.timers.advance(0.2)
    fleet.cut_links = {("host-0", name) for name in fleet.names}
    for call in list(fleet.calls):
        fleet.request("host-0", call.key)


def _request_with_fast_clock(fleet: Fleet) -> None:
    """A caller's clock is ahead, so some hosts refuse its key for a while."""
    ahead = fleet.make_key(2.5)
    for name in fleet.names:
        fleet.request(name, ahead)


CASES: dict[str, Case] = {
    "duplicate at two hosts": lambda fleet: request_at_all(fleet, "host-0", "host-1"),
    "duplicate at all hosts": lambda fleet: request_at_all(fleet, *fleet.names),
    **{
        f"{failure} at {step}": partial(_fail_at, step, failure)
        for failure in ("kill", "pause", "start")
        for step in STEPS
    },
    "three hosts killed": partial(_fail_three_hosts, "kill"),
    "three hosts paused": partial(_fail_three_hosts, "pause"),
    "three hosts restarted": partial(_fail_three_hosts, "start"),
    "split 4/3": partial(_split_fleet, [[0, 1, 2, 3], [4, 5, 6]]),
    "split 3/3/2": partial(_split_fleet, [[0, 1, 2], [3, 4, 5], [6, 7]]),
    "host hears nothing": partial(_cut_one_way, True),
    "host is not heard": partial(_cut_one_way, False),
    "lists one step apart": partial(_let_lists_differ, 1),
    "lists two steps apart": partial(_let_lists_differ, 2),
    "version missed": _miss_version,
    "old list kept": _keep_closed_list,
    "list forgotten": _restart_with_closed_list,
    "list replaced after the claim": _change_after_claim,
    "rolling restart": partial(_replace_in_turn, False),
    "rolling replacement": partial(_replace_in_turn, True),
    "all replaced at once": _replace_all,
    "answer lost": partial(_set_response, 1.0, 0.01),
    "answer late": partial(_set_response, 0.0, 6.0),
    "service refuses": _refuse_requests,
    "messages lost, doubled, crossed": _disturb_messages,
    "answers to a predecessor": _restart_claimant,
    "key ahead of the clocks": _request_with_fast_clock,
}


def run_case(name: str, seed: int, make_node: Any = ClaimsNode) -> Fleet:
    """Run one case, then ask again with every key, twice; return the fleet."""
    fleet = Fleet(seed, make_node, hosts=7 if name == "split 4/3" else 8)
    fleet.timers.advance(WARM_UP_S)
    CASES[name](fleet)
    for _ in range(3):
        fleet.timers.advance(ROUND_S)
        fleet.cut_links.clear()
        live = [host for host in fleet.names if fleet.processes[host].alive]
        for key in sorted({call.key for call in fleet.calls}):
            for host in fleet.rng.sample(live, 2):
                fleet.request(host, key)
    fleet.timers.advance(ROUND_S)
    return fleet


def main(seeds: int) -> None:
    """Print for each fault with how many seeds each way breaks a promise."""
    for name in CASES:
        counts = {}
        for make_node in (UnsharedNode, HashedOwnerNode, ClaimsNode):
            fleets = [run_case(name, seed, make_node) for seed in range(seeds)]
            broken = [fleet for fleet in fleets if fleet.find_violations()]
            counts[make_node.__name__] = len(broken)
        print(f"{name}: {counts}")


if __name__ == "__main__":
    main(int(sys.argv[1]))
