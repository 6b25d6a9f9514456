"""Named faults, each run against the leases and the baseline."""

from collections.abc import Callable
from functools import partial
from typing import Any

from oleanderpier.claims import MAX_CLOCK_SKEW_S, choose_witnesses, read_host_list
from oleanderpier.orders import LEASE_TERM_S
from oleanderpier.orders.tests.fleet import (
    BUDGET,
    MAX_RETRY_WAIT_S,
    STEPS,
    LeaseNode,
    OrdersFleet,
)

# Longer than the start delay of witnesses, so that leases are held at the end.
WARM_UP_S = 32.0
CASE_S = 40.0
RECOVERY_S = 34.0
PAUSE_S = 30.0

Case = Callable[[OrdersFleet], None]


def find_holder(fleet: OrdersFleet, subject: str = "engine-ignores") -> str:
    """Return the holder of a subject's lease, or the first host if there is none."""
    return fleet.find_holder(subject) or fleet.names[0]


def isolate_holder(fleet: OrdersFleet, subject: str = "engine-ignores") -> None:
    """Cut off the holder of a subject's lease from all other hosts."""
    holder = find_holder(fleet, subject)
    fleet.split([holder], [name for name in fleet.processes if name != holder])


def _fail_at(step: str, failure: str, fleet: OrdersFleet) -> None:
    """Fail the holder at a step of its next order."""
    subject = BUDGET if step == "use" else "engine-ignores"
    holder = find_holder(fleet, subject)
    fleet.failure_at_step[holder, step] = getattr(fleet, failure)


def _fail_holder(failure: str, subject: str, fleet: OrdersFleet) -> None:
    getattr(fleet, failure)(find_holder(fleet, subject))


def _pause_before_starts(fleet: OrdersFleet) -> None:
    """Pause four hosts when they get their next start permits."""
    holder = fleet.find_holder(BUDGET)
    for name in [name for name in fleet.names if name != holder][:4]:
        fleet.failure_at_step[name, "use"] = fleet.pause


def _split_fleet(*sizes: int, fleet: OrdersFleet) -> None:
    """Split the fleet into groups of these sizes; the first one has the holder."""
    names = sorted(fleet.processes, key=lambda name: name != find_holder(fleet))
    groups = [names[sum(sizes[:i]) : sum(sizes[: i + 1])] for i in range(len(sizes))]
    fleet.split(*groups)


def _cut_one_way(deaf: bool, fleet: OrdersFleet) -> None:
    """Cut the holder's incoming links (deaf) or its outgoing ones."""
    holder = find_holder(fleet)
    others = [name for name in fleet.processes if name != holder]
    fleet.cut_links |= {(name, holder) if deaf else (holder, name) for name in others}


def _restart_in_turn(interval_s: float, fleet: OrdersFleet) -> None:
    """Restart one host after the other."""
    for turn, name in enumerate(list(fleet.names)):
        fleet.timers.call_later(turn * interval_s, partial(fleet.start, name))


def _replace_in_turn(fleet: OrdersFleet) -> None:
    """Replace every host by one with a new name, each in a new list."""
    for turn, old in enumerate(list(fleet.names)):
        replace = partial(_replace, fleet, old, f"host-{turn + 9}")
        fleet.timers.call_later(turn * 5.0, replace)


def _replace(fleet: OrdersFleet, old: str, new: str) -> None:
    fleet.publish([new if name == old else name for name in fleet.names])
    fleet.start(new)
    fleet.show_list([name for name in fleet.processes if fleet.processes[name].alive])
    fleet.timers.call_later(2.0, partial(fleet.kill, old))


def _restart_all(holder_isolated: bool, fleet: OrdersFleet) -> None:
    """Restart all processes at once, perhaps with the holder cut off."""
    if holder_isolated:
        isolate_holder(fleet)
    for name in list(fleet.names):
        fleet.start(name)


def _release_and_restart(fleet: OrdersFleet) -> None:
    """Let the holder release its lease, then restart all processes at once.

    So no witness has a record of the last fencing token.
    """
    fleet.release_ratio = 1.0
    fleet.timers.advance(1.5)
    fleet.release_ratio = 0.0
    _restart_all(False, fleet)


def _let_lists_differ(versions: int, fleet: OrdersFleet) -> list[str]:
    """Let the holder's group keep a list that is some versions older than the others'.

    The group has a majority of the witnesses under its list. The other hosts have one
    under theirs, and its new hosts run long enough to be ready.

    Returns:
        The hosts that keep the older list, the holder first.
    """
    holder = find_holder(fleet)
    host_list = read_host_list(fleet.documents[0])
    witnesses = choose_witnesses(b"engine-ignores", host_list).hosts
    keepers = [holder, *(name for name in witnesses if name != holder)][:4]
    others = [name for name in fleet.names if name not in keepers]
    fleet.split(keepers, [*others, *(f"host-{index}" for index in range(9, 40))])
    for index in range(versions):
        new = [f"host-{9 + 4 * index + i}" for i in range(4)]
        fleet.publish([*others, *new])
        for name in new:
            fleet.start(name)
    fleet.show_list([name for name in fleet.processes if name not in keepers])
    fleet.timers.advance(LEASE_TERM_S + 8.0)
    return keepers


def _close_list(fleet: OrdersFleet) -> None:
    """Close the old list while a lease that its witnesses granted still lasts."""
    keepers = _let_lists_differ(1, fleet)
    fleet.split(keepers[:1], [name for name in fleet.processes if name != keepers[0]])


def set_clocks(fleet: OrdersFleet, skews_s: list[float]) -> None:
    """Set the errors of the hosts' wall clocks in turn, in seconds."""
    for index, name in enumerate(sorted(fleet.processes)):
        fleet.processes[name]._skew_s = skews_s[index % len(skews_s)]


def _skew_clocks(skews_s: list[float], fleet: OrdersFleet) -> None:
    """Let leases change often between hosts whose wall clocks differ."""
    set_clocks(fleet, skews_s)
    fleet.release_ratio, fleet.max_retry_wait_s = 0.5, 0.1
    fleet.timers.advance(CASE_S)
    fleet.release_ratio, fleet.max_retry_wait_s = 0.0, MAX_RETRY_WAIT_S


def _skew_holder(fleet: OrdersFleet) -> None:
    """Set the holder's wall clock far ahead, and kill the holder later."""
    holder = find_holder(fleet)
    fleet.processes[holder]._skew_s = 3600.0
    fleet.timers.advance(CASE_S / 2)
    fleet.kill(holder)


def _skew_successors(fleet: OrdersFleet) -> None:
    """Restart all processes at once, with clocks as far behind as is allowed."""
    set_clocks(fleet, [MAX_CLOCK_SKEW_S / 2])
    fleet.timers.advance(LEASE_TERM_S)
    _restart_all(False, fleet)
    set_clocks(fleet, [-MAX_CLOCK_SKEW_S / 2])


def _disturb_messages(fleet: OrdersFleet) -> None:
    """Lose, duplicate and reorder messages between hosts."""
    fleet.loss_ratio, fleet.duplicate_ratio, fleet.reorder_ratio = 0.2, 0.3, 0.4
    fleet.release_ratio = 0.2


def _disturb_orders(fleet: OrdersFleet) -> None:
    """Lose and delay orders, and release the lease after half of them."""
    fleet.order_loss_ratio, fleet.max_order_delay_s, fleet.release_ratio = 0.5, 4.9, 0.5


CASES: dict[str, Case] = {
    "none": lambda fleet: None,
    **{
        f"{failure} at {step}": partial(_fail_at, step, failure)
        for failure in ("kill", "pause")
        for step in STEPS
    },
    "permits used late": _pause_before_starts,
    "budget holder killed": partial(_fail_holder, "kill", BUDGET),
    "budget holder paused": partial(_fail_holder, "pause", BUDGET),
    "budget holder cut off": partial(isolate_holder, subject=BUDGET),
    "holder paused": partial(_fail_holder, "pause", "engine-ignores"),
    "holder cut off": isolate_holder,
    "holder's incoming links cut": partial(_cut_one_way, True),
    "holder's outgoing links cut": partial(_cut_one_way, False),
    "split 3/4": lambda fleet: _split_fleet(3, 4, fleet=fleet),
    "split 4/3": lambda fleet: _split_fleet(4, 3, fleet=fleet),
    "split 3/3/2": lambda fleet: _split_fleet(3, 3, 2, fleet=fleet),
    "restart every 3 s": partial(_restart_in_turn, 3.0),
    "restart every 0.3 s": partial(_restart_in_turn, 0.3),
    "rolling replacement": _replace_in_turn,
    "all replaced at once": partial(_restart_all, False),
    "all replaced, holder cut off": partial(_restart_all, True),
    "lease released, all replaced": _release_and_restart,
    "lists one version apart": partial(_let_lists_differ, 1),
    "lists two versions apart": partial(_let_lists_differ, 2),
    "list closed during a lease": _close_list,
    "clocks 2 s apart": partial(
        _skew_clocks, [MAX_CLOCK_SKEW_S / 2, -MAX_CLOCK_SKEW_S / 2]
    ),
    "one clock an hour ahead": _skew_holder,
    "successors' clocks behind": _skew_successors,
    "messages lost, duplicated, reordered": _disturb_messages,
    "orders lost or late": _disturb_orders,
}


def run_case(name: str, seed: int, make_node: Any = LeaseNode) -> OrdersFleet:
    """Run a case, then end its faults and run on until orders are executed again.

    Args:
        name: A key of ``CASES``.
        seed: Seed of the fleet.
        make_node: Makes the implementation under test.

    Returns:
        The fleet, whose ``find_violations`` lists the broken guarantees.
    """
    fleet = OrdersFleet(
        seed, make_node, hosts=7 if name in ("split 3/4", "split 4/3") else 8
    )
    fleet.timers.advance(WARM_UP_S)
    CASES[name](fleet)
    fleet.timers.advance(CASE_S)
    fleet.cut_links.clear()
    fleet.failure_at_step.clear()
    fleet.loss_ratio = fleet.duplicate_ratio = fleet.reorder_ratio = 0.0
    fleet.order_loss_ratio = fleet.max_order_delay_s = fleet.release_ratio = 0.0
    fleet.timers.advance(RECOVERY_S)
    return fleet
