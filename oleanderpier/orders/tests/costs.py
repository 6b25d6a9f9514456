"""What a lease costs, and how long an order is past its last check.

Usage: ``python -m oleanderpier.orders.tests.costs``.
"""

import asyncio
import statistics
import time
from functools import partial
from unittest import mock

import aiohttp.http_writer

from oleanderpier.orders import LEASE_TERM_S, Lease, LeaseTerm, Order, send_order
from oleanderpier.orders.tests.faults import WARM_UP_S
from oleanderpier.orders.tests.fleet import LeaseNode, OrdersFleet
from oleanderpier.relay import make_session
from oleanderpier.relay.tests.servers import run_engines
from oleanderpier.utils import LoopTimers

ORDER_COUNT = 500
SUBJECT_COUNT = 200
MEASURED_S = 100.0


class _IdleFleet(OrdersFleet):
    """A fleet in which nobody asks for a lease by itself."""

    async def _issue_orders(self, process, engine, phase_s):
        pass


def measure_renewals(subjects: int) -> tuple[float, float, float]:
    """Return messages, bytes and processor seconds of steady leases a second.

    Args:
        subjects: How many leases there are.
    """
    fleet = _IdleFleet(1, LeaseNode)
    fleet.timers.advance(WARM_UP_S)
    for index in range(subjects):
        process = fleet.processes[fleet.names[index % len(fleet.names)]]
        process.node.acquire(f"engine-{index}", 1.0, lambda result: None)
    fleet.timers.advance(LEASE_TERM_S)
    fleet.message_counts.clear()
    fleet.message_bytes.clear()
    start_s = time.process_time()
    fleet.timers.advance(MEASURED_S)
    used_s = time.process_time() - start_s
    names = ("LeaseQuery", "LeaseGranted")
    messages = sum(fleet.message_counts[name] for name in names)
    byte_count = sum(fleet.message_bytes[name] for name in names)
    return messages / MEASURED_S, byte_count / MEASURED_S, used_s / MEASURED_S


async def measure_write_delays() -> list[float]:
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
        ends_s, ends_wall_s = timers.now() + LEASE_TERM_S, timers.wall() + LEASE_TERM_S
        lease = Lease("engine-0", timers, LeaseTerm(ends_s, ends_wall_s, 1))
        with mock.patch.object(aiohttp.http_writer.StreamWriter, "_write", note_write):
            for fence in range(1, ORDER_COUNT + 1):
                may_write = partial(check, lease)
                order = Order("load_model", "drafting-7")
                await send_order(session, server, order, fence, may_write)
    return found


def main() -> None:
    """Print the figures."""
    base = measure_renewals(0)
    full = measure_renewals(SUBJECT_COUNT)
    messages, octets, used_s = (
        (b - a) / SUBJECT_COUNT for a, b in zip(base, full, strict=True)
    )
    print(f"a lease: {messages:.2f} messages/s, {octets:.0f} bytes/s over the fleet")
    print(f"  {used_s * 1e6:.0f} us of processor time a second over the fleet")
    window = asyncio.run(measure_write_delays())
    median, worst = statistics.median(window), max(window)
    print(f"last check to write, {len(window)} orders: {median * 1e6:.0f} us median")
    print(f"  {worst * 1e6:.0f} us at worst")


if __name__ == "__main__":
    main()
