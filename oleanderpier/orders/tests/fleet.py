"""A simulated fleet whose hosts issue orders to engines over a network that fails.

Manual timers drive all of it in one thread, and seeded randomness makes each run
repeatable.
"""

import random
from collections import Counter
from collections.abc import Callable, Coroutine, Generator
from types import coroutine
from typing import Any, NamedTuple

from expression import Error, Ok

from oleanderpier.claims import HostLists
from oleanderpier.claims.tests.fleet import Fleet, Process
from oleanderpier.orders import (
    ORDER_TIMEOUT_S,
    Budget,
    LeaseQuery,
    Leases,
    Refused,
    StartQuery,
    StartReply,
    issue_order,
)
from oleanderpier.results import Code, Failure, MaybeSent, NotSent
from oleanderpier.utils import decode_message, encode_message

# Engines by name, and whether they check fencing tokens.
ENGINES = {"engine-checks": True, "engine-ignores": False}
BUDGET = "weight-store"
START_LIMIT = 3
PERIOD_S = 10.0
ORDER_INTERVAL_S = 1.0
ACQUIRE_TIMEOUT_S = 1.0
MAX_RETRY_WAIT_S = 6.0
# Steps of an order, and the use of a start permit, at which a host can be failed.
STEPS = ("start", "write", "sent", "response", "use")


@coroutine
def wait_for_callback(start: Callable[[Callable], None]) -> Generator[Any, Any, Any]:
    """Call ``start`` with a callback; return what the callback receives."""
    return (yield start)


def run_coroutine(work: Coroutine, value: Any = None) -> None:
    """Run a coroutine to its next wait, without an event loop."""
    try:
        start = work.send(value)
    except StopIteration:
        return
    start(lambda result=None: run_coroutine(work, result))


class WrittenOrder(NamedTuple):
    """An order that was written to an engine.

    Attributes:
        arrived_s: Arrival at the engine, or the write before that, in seconds of the
            monotonic clock.
        fence: Fencing token of the order.
        lease: The lease under which it was issued.
        paused: Whether the process was paused between the last check of the lease and
            the write.
        late: Whether the lease had ended at the write.
    """

    arrived_s: float
    fence: int
    lease: Any
    paused: bool
    late: bool

    @property
    def late_after_pause(self) -> bool:
        """Whether the order was late because of such a pause."""
        return self.paused and self.late


class Engine:
    """An engine that executes orders.

    Args:
        checks_fence: Whether it refuses orders with an old fencing token.

    Attributes:
        checks_fence: Whether it refuses orders with an old fencing token.
        highest_fence: Highest fencing token of the executed orders.
        executed: The executed orders, in the order of their arrival.
        refused_count: Number of refused orders.
    """

    def __init__(self, checks_fence: bool):
        self.checks_fence, self.highest_fence = checks_fence, 0
        self.executed: list[WrittenOrder] = []
        self.refused_count = 0

    def receive_order(self, order: WrittenOrder) -> bool:
        """Execute an order and return True, or refuse its fencing token."""
        if self.checks_fence and order.fence < self.highest_fence:
            self.refused_count += 1
            return False
        self.highest_fence = max(self.highest_fence, order.fence)
        self.executed.append(order)
        return True


class LeaseNode:
    """A process with the leases under test and the host lists they need."""

    def __init__(self, process: Process, rng: random.Random):
        me = (process.name, process.incarnation)
        self.lists = HostLists(*me, process, process)
        self.leases = Leases(*me, process, rng, process, self.lists)
        options = (self.leases, START_LIMIT, PERIOD_S)
        self.budget = Budget(BUDGET, me[1], process, process, *options)
        self.apply_document = self.lists.apply_document
        self.find_lease = self.leases.find_lease
        self.request_permit = self.budget.request_permit
        self.acquire, self.release = self.leases.acquire, self.leases.release

    def handle(self, sender: str, message: Any) -> None:
        """Handle a message from a peer."""
        if isinstance(message, StartQuery | StartReply):
            self.budget.handle(sender, message)
        elif type(message).__module__ == LeaseQuery.__module__:
            self.leases.handle(sender, message)
        else:
            self.lists.handle(sender, message)


class OrdersFleet(Fleet):
    """Hosts that all try to issue orders to the same engines.

    Args:
        seed: Seed of all randomness.
        make_node: Makes the code under test from a process and a random generator.
        hosts: Number of hosts.

    Attributes:
        engines: The engines, by name.
        overlaps: Descriptions of moments when two processes held one lease.
        results: Number of issued orders, by result code.
        start_times_s: Times of the orders that used a start permit, in seconds of the
            monotonic clock.
        max_order_delay_s: Upper bound of the random delay of an order on its way to
            the engine, in seconds.
        order_loss_ratio: Probability that an order or its response is lost.
        release_ratio: Probability that a host releases the lease after an order.
        max_retry_wait_s: Longest wait before the next attempt to acquire a lease, in
            seconds.
        pause_count: Number of pauses of processes.
        write_pause_count: Number of orders with a pause between the last check of the
            lease and the write.
    """

    def __init__(self, seed: int, make_node: Any = LeaseNode, hosts: int = 8):
        self.engines = {name: Engine(checks) for name, checks in ENGINES.items()}
        self.overlaps: list[str] = []
        self.results: Counter[str] = Counter()
        self.start_times_s: list[float] = []
        self.max_order_delay_s = 0.0
        self.order_loss_ratio = 0.0
        self.release_ratio = 0.0
        self.max_retry_wait_s = MAX_RETRY_WAIT_S
        self.pause_count = self.write_pause_count = 0
        super().__init__(seed, make_node, hosts)

    def start(self, name: str, version: int = 0) -> None:
        """Start a process that tries to issue orders from then on."""
        super().start(name, version)
        process = self.processes[name]
        for engine in (*ENGINES, BUDGET):
            phase_s = self.rng.uniform(0.0, ORDER_INTERVAL_S)
            work = self._issue_orders(process, engine, phase_s)
            process.run_unless_paused(lambda work=work: run_coroutine(work))

    def pause(self, name: str, pause_s: float = 30.0) -> None:
        """Pause a host's process for some seconds, and count the pause."""
        process = self.processes[name]
        self.pause_count += process.alive and not process.paused
        super().pause(name, pause_s)

    def transmit(self, sender: str, host: str, message: Any) -> bool:
        """Send a message, encoded and decoded if it belongs to this package."""
        if type(message).__module__ == LeaseQuery.__module__:
            data = encode_message(message)
            self.message_counts[type(message).__name__] += 1
            self.message_bytes[type(message).__name__] += len(data)
            message = decode_message(data)
        return super().transmit(sender, host, message)

    async def _issue_orders(self, process: Process, engine: str, phase_s: float):
        await self._sleep(process, phase_s)
        while process.alive:
            await self._sleep(process, ORDER_INTERVAL_S)
            if engine == BUDGET:
                await self._use_permit(process)
            elif process.node.find_lease(engine) is None:
                await self._acquire(process, engine)
            else:
                await self._issue_order(
                    process, engine, process.node.find_lease(engine)
                )

    async def _sleep(self, process: Process, delay_s: float) -> None:
        await wait_for_callback(lambda resume: process.call_later(delay_s, resume))

    async def _acquire(self, process: Process, engine: str) -> None:
        result = await self._call_back(
            process, process.node.acquire, engine, ACQUIRE_TIMEOUT_S
        )
        if result.is_error():
            wait_s = min(result.error.retry_after_s or 0.0, self.max_retry_wait_s)
            await self._sleep(process, wait_s)
        elif process.node.find_lease(engine):
            self._record_overlaps(process, engine)

    async def _call_back(self, process: Process, function: Any, *args: Any) -> Any:
        """Call a function whose last argument is a callback; return its result."""

        def start(resume: Any) -> None:
            function(
                *args, lambda result: process.run_unless_paused(lambda: resume(result))
            )

        return await wait_for_callback(start)

    def _record_overlaps(self, process: Process, engine: str) -> None:
        others = [
            other.name
            for other in self.processes.values()
            if other is not process and other.alive and other.node.find_lease(engine)
        ]
        self.overlaps += [f"{engine}: {process.name} and {name}" for name in others]

    async def _issue_order(self, process: Process, engine: str, lease: Any) -> None:
        """Issue one order with the function under test."""

        async def send(fence: int, may_write: Any) -> Any:
            self._fail_at_step(process, "start")
            await self._sleep(process, 0.0005)
            if not may_write():
                return Error(NotSent(Failure(Code.LEASE_NOT_HELD, "")))
            self._fail_at_step(process, "write")
            paused = process.paused
            self.write_pause_count += paused
            await wait_for_callback(process.run_unless_paused)
            order = WrittenOrder(
                self.timers.now(), fence, lease, paused, not lease.left_s
            )
            return await self._send_order(process, engine, order)

        result = await issue_order(lease, send)
        name = "EXECUTED" if result.is_ok() else result.error.code.name
        self.results[name] += 1
        if self.rng.random() < self.release_ratio:
            process.node.release(lease)

    async def _send_order(
        self, process: Process, engine: str, order: WrittenOrder
    ) -> Any:
        """Write an order and wait for its response.

        The kernel delivers a written order also if the process is killed or paused.
        """
        responses: list[bool] = []

        def arrive() -> None:
            now = self.timers.now()
            responses.append(
                self.engines[engine].receive_order(order._replace(arrived_s=now))
            )
            if responses[-1]:
                self._record_overlap_at_execution(engine, order)
            if not lost:
                self._fail_at_step(process, "response")
                process.call_later(0.001, finish)

        def finish() -> None:
            if waiting:
                waiting.pop()(responses[-1] if responses else None)

        waiting: list[Any] = []
        lost = self.rng.random() < self.order_loss_ratio
        delay_s = self.rng.uniform(0.0, self.max_order_delay_s) + 0.0005
        if not (lost and self.rng.random() < 0.3):
            self.timers.call_later(delay_s, arrive)
        if lost and self.rng.random() < 0.5:
            process.call_later(0.001, finish)
        self._fail_at_step(process, "sent")

        def wait(resume: Any) -> None:
            waiting.append(resume)
            process.call_later(ORDER_TIMEOUT_S, finish)

        executed = await wait_for_callback(wait)
        if executed is None:
            return Error(MaybeSent(Failure(Code.ANSWER_LOST, "")))
        return Ok(None) if executed else Error(Refused(Failure(Code.ORDER_REFUSED, "")))

    def _record_overlap_at_execution(self, engine: str, order: WrittenOrder) -> None:
        """Record whether another process held the lease when an order was executed."""
        leases = [
            process.node.find_lease(engine)
            for process in self.processes.values()
            if process.alive
        ]
        if not order.late_after_pause and any(
            found not in (None, order.lease) for found in leases
        ):
            self.overlaps.append(
                f"{engine}, when it executed an order at {self.timers.now():.3f} s"
            )

    async def _use_permit(self, process: Process) -> None:
        result = await self._call_back(process, process.node.request_permit)
        if result.is_error():
            return
        self._fail_at_step(process, "use")
        await wait_for_callback(process.run_unless_paused)
        if result.ok.valid:
            delay_s = self.rng.uniform(0.0, ORDER_TIMEOUT_S)
            self.timers.call_later(
                delay_s, lambda: self.start_times_s.append(self.timers.now())
            )

    def find_holder(self, subject: str) -> str | None:
        """Return the host that holds a subject's lease, if any."""
        processes = [process for process in self.processes.values() if process.alive]
        holders = [p.name for p in processes if p.node.find_lease(subject)]
        return holders[0] if holders else None

    def count_executed(self, since_s: float = 0.0) -> list[int]:
        """Return the number of orders that each engine executed from a time on."""
        engines = self.engines.values()
        return [
            sum(order.arrived_s >= since_s for order in engine.executed)
            for engine in engines
        ]

    def count_late_orders(self) -> int:
        """Return the number of orders written after their lease, due to a pause."""
        engines = self.engines.values()
        return sum(
            order.late_after_pause for engine in engines for order in engine.executed
        )

    def count_superseded_orders(self) -> int:
        """Return the number of late orders that follow one under a newer lease."""
        return sum(
            _count_superseded(engine.executed) for engine in self.engines.values()
        )

    def find_violations(self) -> list[str]:
        """Return each breach of a guarantee.

        Two processes never hold one lease, no order is written after its lease ended
        except after a pause, fencing tokens increase from issuer to issuer, and no
        period has more than ``START_LIMIT`` starts.
        """
        violations = [f"two holders of {overlap}" for overlap in self.overlaps]
        violations += [
            f"{name}: written after the lease ended, at {order.arrived_s:.3f} s"
            for name, engine in self.engines.items()
            for order in engine.executed
            if order.late and not order.paused
        ]
        for name, engine in self.engines.items():
            violations += [f"{name}: {text}" for text in _find_order_violations(engine)]
        times = sorted(self.start_times_s)
        violations += [
            f"{START_LIMIT + 1} starts within {last - first:.3f} s"
            for first, last in zip(times, times[START_LIMIT:], strict=False)
            if last - first < PERIOD_S
        ]
        return violations


def _count_superseded(executed: list[WrittenOrder]) -> int:
    count, newest_s = 0, 0.0
    for order in executed:
        count += order.late_after_pause and order.lease.granted_s < newest_s
        newest_s = max(newest_s, getattr(order.lease, "granted_s", 0.0))
    return count


def _find_order_violations(engine: Engine) -> list[str]:
    """Return where an engine executed orders of an issuer after those of its successor.

    An engine that does not check fencing tokens is not protected against an order
    that is written after its lease ended, so such orders are left out.
    """
    violations, seen, highest = [], [], 0
    for order in engine.executed:
        if order.late_after_pause and not engine.checks_fence:
            continue
        if order.lease in seen[:-1]:
            violations.append(
                f"executed an order of an earlier issuer at {order.arrived_s:.3f} s"
            )
        if order.lease not in seen and order.fence <= highest:
            violations.append(f"fence {order.fence} follows {highest}")
        seen += [order.lease] if order.lease not in seen else []
        highest = max(highest, order.fence)
    return violations
