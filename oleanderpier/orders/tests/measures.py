"""What a lease costs, and how long an order is past its last check.

Usage: ``python -m oleanderpier.orders.tests.measures``.
"""

import asyncio
import statistics
import time
from functools import partial
from unittest import mock

import aiohttp.http_writer

from oleanderpier.orders import LEASE_S, Lease, Order, Tenure, send_order
from oleanderpier.orders.tests.faults import WARM_UP_S
from oleanderpier.orders.tests.fleet import LeasedOrders, OrdersFleet
from oleanderpier.relay import make_session
from oleanderpier.relay.tests.servers import run_engines
from oleanderpier.utils import LoopTimers

ORDERS = 500
SUBJECTS = 200
STEADY_S = 100.0


class _Quiet(OrdersFleet):
    """A fleet in which nobody asks for a lease by itself."""

    async def _issue_orders(self, process, engine, phase_s):
        pass


def measure_renewals(subjects: int) -> tuple[float, float, float]:
    """Return messages, bytes and processor seconds of steady leases a second.

    Args:
        subjects: How many leases there are.
    """
    fleet = _Quiet(1, LeasedOrders)
    fleet.timers.advance(WARM_UP_S)
    for index in range(subjects):
        process = fleet.processes[fleet.names[index % len(fleet.names)]]
        process.node.acquire(f"engine-{index}", 1.0, lambda result: None)
    fleet.timers.advance(LEASE_S)
    fleet.message_counts.clear()
    fleet.message_bytes.clear()
    begin_s = time.process_time()
    fleet.timers.advance(STEADY_S)
    used_s = time.process_time() - begin_s
    names = ("LeaseQuery", "LeaseGranted")
    messages = sum(fleet.message_counts[name] for name in names)
    octets = sum(fleet.message_bytes[name] for name in names)
    return messages / STEADY_S, octets / STEADY_S, used_s / STEADY_S


async def measure_window() -> list[float]:
    """Return the seconds from the last check of each order to its write."""
    checked_s, found = [], []
    write = aiohttp.http_writer.StreamWriter._write

    def note_write(writer, chunk):
        write(writer, chunk)
        if checked_s:
            found.append(time.perf_counter() - checked_s.pop())

    def check(lease):
        checked_s.append(time.perf_counter())
        return lease.may_write()

    async with run_engines(1) as engines, make_session() as session:
        _, server = engines[0]
        timers = LoopTimers()
        ends_s, ends_wall_s = timers.now() + LEASE_S, timers.wall() + LEASE_S
        lease = Lease("engine-0", timers, Tenure(ends_s, ends_wall_s, 1))
        with mock.patch.object(aiohttp.http_writer.StreamWriter, "_write", note_write):
            for fence in range(1, ORDERS + 1):
                may_write = partial(check, lease)
                order = Order("load_model", "drafting-7")
                await send_order(session, server, order, fence, may_write)
    return found


def main() -> None:
    """Print the figures."""
    base = measure_renewals(0)
    full = measure_renewals(SUBJECTS)
    messages, octets, used_s = (
        (b - a) / SUBJECTS for a, b in zip(base, full, strict=True)
    )
    print(f"a lease: {messages:.2f} messages/s, {octets:.0f} bytes/s over the fleet")
    print(f"  {used_s * 1e6:.0f} us of processor time a second over the fleet")
    window = asyncio.run(measure_window())
    median, worst = statistics.median(window), max(window)
    print(f"last check to write, {len(window)} orders: {median * 1e6:.0f} us median")
    print(f"  {worst * 1e6:.0f} us at worst")


if __name__ == "__main__":
    main()
