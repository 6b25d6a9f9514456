"""The table of named faults, for the leases and for the baseline."""

from collections.abc import Callable
from functools import partial
from typing import Any

from oleanderpier.claims import MAX_CLOCK_SKEW_S, choose_witnesses, read_host_list
from oleanderpier.orders import LEASE_S
from oleanderpier.orders.tests.fleet import (
    ASK_AGAIN_S,
    BUDGET,
    STEPS,
    LeasedOrders,
    OrdersFleet,
)

WARM_UP_S = 32.0
CASE_S = 40.0
HEALED_S = 34.0
PAUSE_S = 30.0

Case = Callable[[OrdersFleet], None]


def find_holder(fleet: OrdersFleet, subject: str = "engine-ignores") -> str:
    """Return who gives the orders, or any host if nobody does."""
    return fleet.find_holder(subject) or fleet.names[0]


def part_holder(fleet: OrdersFleet, subject: str = "engine-ignores") -> None:
    """Cut the holder off from all others."""
    holder = find_holder(fleet, subject)
    fleet.split([holder], [name for name in fleet.processes if name != holder])


def _fail_at(step: str, failure: str, fleet: OrdersFleet) -> None:
    subject = BUDGET if step == "use" else "engine-ignores"
    holder = find_holder(fleet, subject)
    fleet.failure_at_step[holder, step] = getattr(fleet, failure)


def _fail_holder(failure: str, subject: str, fleet: OrdersFleet) -> None:
    getattr(fleet, failure)(find_holder(fleet, subject))


def _pause_starts(fleet: OrdersFleet) -> None:
    """Four hosts are paused as they get their next starts."""
    holder = fleet.find_holder(BUDGET)
    for name in [name for name in fleet.names if name != holder][:4]:
        fleet.failure_at_step[name, "use"] = fleet.pause


def _split(*sizes: int, fleet: OrdersFleet) -> None:
    names = sorted(fleet.processes, key=lambda name: name != find_holder(fleet))
    groups = [names[sum(sizes[:i]) : sum(sizes[: i + 1])] for i in range(len(sizes))]
    fleet.split(*groups)


def _cut_one_way(deaf: bool, fleet: OrdersFleet) -> None:
    holder = find_holder(fleet)
    others = [name for name in fleet.processes if name != holder]
    fleet.cut_links |= {(name, holder) if deaf else (holder, name) for name in others}


def _restart_in_turn(interval_s: float, fleet: OrdersFleet) -> None:
    for turn, name in enumerate(list(fleet.names)):
        fleet.timers.call_later(turn * interval_s, partial(fleet.start, name))


def _replace_in_turn(fleet: OrdersFleet) -> None:
    """Replace every host by one of a new name, each under a new list."""
    for turn, old in enumerate(list(fleet.names)):
        replace = partial(_replace, fleet, old, f"host-{turn + 9}")
        fleet.timers.call_later(turn * 5.0, replace)


def _replace(fleet: OrdersFleet, old: str, fresh: str) -> None:
    fleet.publish([fresh if name == old else name for name in fleet.names])
    fleet.start(fresh)
    fleet.show_list([name for name in fleet.processes if fleet.processes[name].alive])
    fleet.timers.call_later(2.0, partial(fleet.kill, old))


def _restart_all(at_once: bool, fleet: OrdersFleet) -> None:
    if at_once:
        part_holder(fleet)
    for name in list(fleet.names):
        fleet.start(name)


def _release_and_restart(fleet: OrdersFleet) -> None:
    """The lease is given up, and all witnesses forget the fence at once."""
    fleet.stop_share = 1.0
    fleet.timers.advance(1.5)
    fleet.stop_share = 0.0
    _restart_all(False, fleet)


def _differ(steps: int, fleet: OrdersFleet) -> list[str]:
    """The holder's part keeps a list that is some steps older than the rest's.

    It has a majority of the witnesses under its list, and the rest under its
    own, whose new hosts run long enough to be ready.
    """
    holder = find_holder(fleet)
    host_list = read_host_list(fleet.documents[0])
    witnesses = choose_witnesses(b"engine-ignores", host_list).hosts
    keep = [holder, *(name for name in witnesses if name != holder)][:4]
    leave = [name for name in fleet.names if name not in keep]
    fleet.split(keep, [*leave, *(f"host-{index}" for index in range(9, 40))])
    for step in range(steps):
        fresh = [f"host-{9 + 4 * step + i}" for i in range(4)]
        fleet.publish([*leave, *fresh])
        for name in fresh:
            fleet.start(name)
    fleet.show_list([name for name in fleet.processes if name not in keep])
    fleet.timers.advance(LEASE_S + 8.0)
    return keep


def _close_list(fleet: OrdersFleet) -> None:
    """The old list is closed while a lease that it granted still lasts."""
    keep = _differ(1, fleet)
    fleet.split(keep[:1], [name for name in fleet.processes if name != keep[0]])


def set_clocks(fleet: OrdersFleet, skews_s: list[float]) -> None:
    """Set the wall clocks of all hosts, in turn."""
    for index, name in enumerate(sorted(fleet.processes)):
        fleet.processes[name]._skew_s = skews_s[index % len(skews_s)]


def _skew(skews_s: list[float], fleet: OrdersFleet) -> None:
    """Pass the orders on again and again between hosts with other clocks."""
    set_clocks(fleet, skews_s)
    fleet.stop_share, fleet.ask_again_s = 0.5, 0.1
    fleet.timers.advance(CASE_S)
    fleet.stop_share, fleet.ask_again_s = 0.0, ASK_AGAIN_S


def _skew_one(fleet: OrdersFleet) -> None:
    """The holder's clock runs far ahead, and then the holder dies."""
    holder = find_holder(fleet)
    fleet.processes[holder]._skew_s = 3600.0
    fleet.timers.advance(CASE_S / 2)
    fleet.kill(holder)


def _skew_successors(fleet: OrdersFleet) -> None:
    """All are replaced at once, and the new clocks lag as far as they may."""
    set_clocks(fleet, [MAX_CLOCK_SKEW_S / 2])
    fleet.timers.advance(LEASE_S)
    _restart_all(False, fleet)
    set_clocks(fleet, [-MAX_CLOCK_SKEW_S / 2])


def _disturb(fleet: OrdersFleet) -> None:
    fleet.loss_ratio, fleet.duplicate_ratio, fleet.reorder_ratio = 0.2, 0.3, 0.4
    fleet.stop_share = 0.2


def _lose_orders(fleet: OrdersFleet) -> None:
    fleet.order_loss, fleet.delay_s, fleet.stop_share = 0.5, 4.9, 0.5


CASES: dict[str, Case] = {
    "none": lambda fleet: None,
    **{
        f"{failure} at {step}": partial(_fail_at, step, failure)
        for failure in ("kill", "pause")
        for step in STEPS
    },
    "starts used late": _pause_starts,
    "budget holder killed": partial(_fail_holder, "kill", BUDGET),
    "budget holder paused": partial(_fail_holder, "pause", BUDGET),
    "budget holder cut off": partial(part_holder, subject=BUDGET),
    "holder paused": partial(_fail_holder, "pause", "engine-ignores"),
    "holder cut off": part_holder,
    "holder hears nothing": partial(_cut_one_way, True),
    "holder is not heard": partial(_cut_one_way, False),
    "split 3/4": lambda fleet: _split(3, 4, fleet=fleet),
    "split 4/3": lambda fleet: _split(4, 3, fleet=fleet),
    "split 3/3/2": lambda fleet: _split(3, 3, 2, fleet=fleet),
    "restart every 3 s": partial(_restart_in_turn, 3.0),
    "restart every 0.3 s": partial(_restart_in_turn, 0.3),
    "rolling replacement": _replace_in_turn,
    "all replaced at once": partial(_restart_all, False),
    "all replaced, one apart": partial(_restart_all, True),
    "given up, all replaced": _release_and_restart,
    "lists one step apart": partial(_differ, 1),
    "lists two steps apart": partial(_differ, 2),
    "list closed under a lease": _close_list,
    "clocks 2 s apart": partial(_skew, [MAX_CLOCK_SKEW_S / 2, -MAX_CLOCK_SKEW_S / 2]),
    "one clock an hour ahead": _skew_one,
    "successors' clocks behind": _skew_successors,
    "messages lost, doubled, crossed": _disturb,
    "orders lost and late": _lose_orders,
}


def run_case(name: str, seed: int, make_node: Any = LeasedOrders) -> OrdersFleet:
    """Run one case, heal what it broke, go on for a while, return the fleet."""
    fleet = OrdersFleet(
        seed, make_node, hosts=7 if name in ("split 3/4", "split 4/3") else 8
    )
    fleet.timers.advance(WARM_UP_S)
    CASES[name](fleet)
    fleet.timers.advance(CASE_S)
    fleet.cut_links.clear()
    fleet.failure_at_step.clear()
    fleet.loss_ratio = fleet.duplicate_ratio = fleet.reorder_ratio = 0.0
    fleet.order_loss = fleet.delay_s = fleet.stop_share = 0.0
    fleet.timers.advance(HEALED_S)
    return fleet
