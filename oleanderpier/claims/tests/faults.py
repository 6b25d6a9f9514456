"""Named faults, each run against the claims and the baselines.

Usage: ``python -m oleanderpier.claims.tests.faults SEEDS`` runs every fault with
that many seeds and prints how often each implementation breaks a guarantee.
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
    """Request each of some new keys at all of the hosts at once."""
    for _ in range(keys):
        key = fleet.make_key(ahead_s)
        for host in hosts:
            fleet.request(host, key)


def _fail_at(step: str, failure: str, fleet: Fleet) -> None:
    """Fail a host at a step of a request, and send its key to another one soon."""
    key = fleet.make_key()
    fleet.failure_at_step["host-0", step] = getattr(fleet, failure)
    fleet.request("host-0", key)
    fleet.timers.call_later(0.3, lambda: fleet.request("host-1", key))


def _fail_three_hosts(failure: str, fleet: Fleet) -> None:
    """Request keys at one host, then fail three others at once."""
    request_at_all(fleet, "host-0", keys=3 * KEY_COUNT)
    fleet.timers.advance(1.0)
    for name in fleet.names[2:5]:
        getattr(fleet, failure)(name)
    fleet.timers.advance(5.0)


def _split_fleet(groups: list[list[int]], fleet: Fleet) -> None:
    """Request the same keys in all parts of a split fleet."""
    names = [[f"host-{index}" for index in group] for group in groups]
    fleet.split(*names)
    fleet.timers.advance(5.0)
    request_at_all(fleet, *(group[0] for group in names))
    fleet.timers.call_later(10.0, fleet.cut_links.clear)


def _cut_one_way(deaf: bool, fleet: Fleet) -> None:
    """Cut a host's incoming links (deaf) or its outgoing ones."""
    others = fleet.names[1:]
    pairs = {(name, "host-0") if deaf else ("host-0", name) for name in others}
    fleet.cut_links |= pairs
    fleet.timers.advance(5.0)
    request_at_all(fleet, "host-0", "host-1")


def _isolate(fleet: Fleet, *indexes: int) -> None:
    """Cut some hosts off from all others, also those that start later."""
    isolated = [f"host-{index}" for index in indexes]
    fleet.split(isolated, [f"host-{i}" for i in range(40) if i not in indexes])
    fleet.timers.advance(0.1)


def _publish(fleet: Fleet, *indexes: int) -> None:
    """Publish a list, and start those of its hosts that have no process."""
    fleet.publish([f"host-{index}" for index in indexes])
    for name in fleet.names:
        if name not in fleet.processes:
            fleet.start(name)


def _let_lists_differ(versions: int, fleet: Fleet) -> None:
    """Let half of the hosts use a list that is some versions newer."""
    _isolate(fleet, 0, 1, 2, 3)
    for new in range(9, 9 + 3 * versions, 3):
        _publish(fleet, 3, 4, 5, 6, 7, new, new + 1, new + 2)
    fleet.show_list(["host-4", "host-5", "host-6", "host-7"])
    fleet.timers.advance(1.0)
    request_at_all(fleet, "host-0", "host-4", "host-9")
    fleet.timers.advance(6.0)
    request_at_all(fleet, "host-0", "host-4", "host-9", keys=3 * KEY_COUNT)
    fleet.timers.call_later(8.0, fleet.cut_links.clear)


def _miss_version(fleet: Fleet) -> None:
    """Show a host version 3 but not 2, which a part of the fleet still uses."""
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
    """Close a list, then restart hosts one by one with that list only.

    The restarted processes have forgotten the newer list, so they must not grant
    keys under the old one.
    """
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
    """Close a list that one host still uses, and leave it some old witnesses."""
    _publish(fleet, 1, 2, 3, 4, 5, 6, 7, 9)
    fleet.show_list([f"host-{index}" for index in range(1, 8)])
    fleet.timers.advance(8.0)
    _isolate(fleet, 0, 1, 2, 3)
    request_at_all(fleet, "host-0", "host-4", keys=6 * KEY_COUNT)


def _change_after_claim(fleet: Fleet) -> None:
    """Replace half of a list after keys were claimed under it, closing it."""
    for index in (9, 10, 11, 12):
        fleet.start(f"host-{index}")
    fleet.timers.advance(6.0)
    fleet.response_delay_s = 40.0
    request_at_all(fleet, "host-0", keys=6 * KEY_COUNT)
    fleet.timers.advance(0.5)
    _publish(fleet, 4, 5, 6, 7, 9, 10, 11, 12)
    fleet.show_list(sorted(fleet.processes))


def _replace_in_turn(new_names: bool, fleet: Fleet) -> None:
    """Restart or replace every host in turn while the same keys are requested."""
    keys = [fleet.make_key() for _ in range(KEY_COUNT)]
    for index, name in enumerate(list(fleet.names)):
        for key in keys:
            fleet.request(name, key)
        fleet.timers.advance(0.5)
        new = f"host-{index + 9}" if new_names else name
        fleet.publish([*(other for other in fleet.names if other != name), new])
        fleet.start(new)
        fleet.show_list([host for host in fleet.names if fleet.processes[host].alive])
        fleet.timers.advance(4.0)
        if new_names:
            fleet.kill(name)


def _replace_all(fleet: Fleet) -> None:
    """Restart all processes at once, just after keys were requested."""
    request_at_all(fleet, "host-0", "host-1", ahead_s=1.2)
    fleet.timers.advance(0.01)
    for name in fleet.names:
        fleet.start(name)


def _set_response(loss_ratio: float, delay_s: float, fleet: Fleet) -> None:
    """Request keys of a service whose responses are lost or late."""
    fleet.response_loss_ratio, fleet.response_delay_s = loss_ratio, delay_s
    request_at_all(fleet, "host-0", "host-1")
    fleet.timers.advance(5.0)


def _refuse_requests(fleet: Fleet) -> None:
    """Refuse most requests after their keys were claimed."""
    fleet.refusal_ratio = 0.7
    request_at_all(fleet, "host-0", "host-1", keys=3 * KEY_COUNT)


def _disturb_messages(fleet: Fleet) -> None:
    """Lose, duplicate and reorder messages between hosts."""
    fleet.loss_ratio, fleet.duplicate_ratio, fleet.reorder_ratio = 0.2, 0.3, 0.4
    request_at_all(fleet, "host-0", "host-1", "host-2")
    fleet.timers.advance(10.0)


def _restart_claimant(fleet: Fleet) -> None:
    """Let replies to a process reach its successor, which claims the same keys."""
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
    """Request a key from a clock so far ahead that some hosts refuse it at first."""
    key_ahead = fleet.make_key(2.5)
    for name in fleet.names:
        fleet.request(name, key_ahead)


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
    "incoming links cut": partial(_cut_one_way, True),
    "outgoing links cut": partial(_cut_one_way, False),
    "lists one version apart": partial(_let_lists_differ, 1),
    "lists two versions apart": partial(_let_lists_differ, 2),
    "version skipped by a host": _miss_version,
    "closed list kept": _keep_closed_list,
    "restart with a closed list": _restart_with_closed_list,
    "list replaced after the claim": _change_after_claim,
    "rolling restart": partial(_replace_in_turn, False),
    "rolling replacement": partial(_replace_in_turn, True),
    "all replaced at once": _replace_all,
    "response lost": partial(_set_response, 1.0, 0.01),
    "response late": partial(_set_response, 0.0, 6.0),
    "service refuses": _refuse_requests,
    "messages lost, duplicated, reordered": _disturb_messages,
    "replies to a predecessor": _restart_claimant,
    "key ahead of some clocks": _request_with_fast_clock,
}


def run_case(name: str, seed: int, make_node: Any = ClaimsNode) -> Fleet:
    """Run a case, then request every key again at two hosts, three times over.

    Args:
        name: A key of ``CASES``.
        seed: Seed of the fleet.
        make_node: Makes the implementation under test.

    Returns:
        The fleet, whose ``find_violations`` lists the broken guarantees.
    """
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
    """Print for each fault with how many seeds each implementation is broken."""
    for name in CASES:
        counts = {}
        for make_node in (UnsharedNode, HashedOwnerNode, ClaimsNode):
            fleets = [run_case(name, seed, make_node) for seed in range(seeds)]
            broken = [fleet for fleet in fleets if fleet.find_violations()]
            counts[make_node.__name__] = len(broken)
        print(f"{name}: {counts}")


if __name__ == "__main__":
    main(int(sys.argv[1]))
