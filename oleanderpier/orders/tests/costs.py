"""Prints the costs of leases, and the time from an order's last check to its write.

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
from oleanderpier.relay.tests.harness import serve_engines
from oleanderpier.utils import LoopTimers

ORDER_COUNT = 500
SUBJECT_COUNT = 200
MEASUREMENT_S = 100.0


class _IdleFleet(OrdersFleet):
    """A fleet whose hosts acquire no leases on their own."""

    async def _issue_orders(self, process, engine, phase_s):
        pass


def measure_renewals(subjects: int) -> tuple[float, float, float]:
    """Measure the costs of renewing leases, over the whole fleet.

    Args:
        subjects: Number of leases.

    Returns:
        Messages, bytes and processor seconds, each per second.
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
    fleet.timers.advance(MEASUREMENT_S)
    used_s = time.process_time() - start_s
    names = ("LeaseQuery", "LeaseGranted")
    messages = sum(fleet.message_counts[name] for name in names)
    byte_count = sum(fleet.message_bytes[name] for name in names)
    return messages / MEASUREMENT_S, byte_count / MEASUREMENT_S, used_s / MEASUREMENT_S


async def measure_write_delays() -> list[float]:
    """Return the time from the last check of each order to its write, in seconds."""
    check_times_s, delays_s = [], []
    write = aiohttp.http_writer.StreamWriter._write

    def record_write(writer, chunk):
        write(writer, chunk)
        if check_times_s:
            delays_s.append(time.perf_counter() - check_times_s.pop())

    def check_lease(lease):
        check_times_s.append(time.perf_counter())
        return lease.may_write()

    async with serve_engines(1) as engines, make_session() as session:
        _, server = engines[0]
        timers = LoopTimers()
        ends_s, ends_wall_s = timers.now() + LEASE_TERM_S, timers.wall() + LEASE_TERM_S
        lease = Lease("engine-0", timers, LeaseTerm(ends_s, ends_wall_s, 1))
        with mock.patch.object(
            aiohttp.http_writer.StreamWriter, "_write", record_write
        ):
            for fence in range(1, ORDER_COUNT + 1):
                may_write = partial(check_lease, lease)
                order = Order("load_model", "drafting-7")
                await send_order(session, server, order, fence, may_write)
    return delays_s


def main() -> None:
    """Print the costs of a lease and the delays of orders."""
    baseline = measure_renewals(0)
    loaded = measure_renewals(SUBJECT_COUNT)
    messages, byte_count, used_s = (
        (b - a) / SUBJECT_COUNT for a, b in zip(baseline, loaded, strict=True)
    )
    print(
        f"a lease: {messages:.2f} messages/s, {byte_count:.0f} bytes/s over the fleet"
    )
    print(f"  {used_s * 1e6:.0f} us of processor time a second over the fleet")
    delays_s = asyncio.run(measure_write_delays())
    median_s, max_s = statistics.median(delays_s), max(delays_s)
    print(
        f"last check to write, {len(delays_s)} orders: {median_s * 1e6:.0f} us median"
    )
    print(f"  {max_s * 1e6:.0f} us maximum")


if __name__ == "__main__":
    main()
