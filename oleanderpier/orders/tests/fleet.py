"""Hosts that give orders to engines over a network that fails, driven by hand."""

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

ENGINES = {"engine-checks": True, "engine-ignores": False}
BUDGET = "weight-store"
START_LIMIT = 3
PERIOD_S = 10.0
ORDER_INTERVAL_S = 1.0
ACQUIRE_TIMEOUT_S = 1.0
MAX_RETRY_WAIT_S = 6.0
STEPS = ("start", "write", "sent", "answer", "use")


@coroutine
def wait_for_callback(start: Callable[[Callable], None]) -> Generator[Any, Any, Any]:
    """Wait in a coroutine until whatever ``start`` begins calls back."""
    return (yield start)


def run_coroutine(work: Coroutine, value: Any = None) -> None:
    """Run a coroutine to its next wait, by hand."""
    try:
        start = work.send(value)
    except StopIteration:
        return
    start(lambda later=None: run_coroutine(work, later))


class WrittenOrder(NamedTuple):
    """An order that an engine obeyed.

    Attributes:
        lease: The lease that it was given under.
        paused: Whether a pause struck between the last check and the write.
        late: Whether the lease had ended at the write.
    """

    arrived_s: float
    fence: int
    lease: Any
    paused: bool
    late: bool

    @property
    def late_after_pause(self) -> bool:
        """Whether the order was late for no other reason than such a pause."""
        return self.paused and self.late


class Engine:
    """An engine that takes orders."""

    def __init__(self, checks: bool):
        self.checks_fence, self.highest_fence = checks, 0
        self.executed: list[WrittenOrder] = []
        self.refused_count = 0

    def receive_order(self, given: WrittenOrder) -> bool:
        """Obey an order, or refuse its fence."""
        if self.checks_fence and given.fence < self.highest_fence:
            self.refused_count += 1
            return False
        self.highest_fence = max(self.highest_fence, given.fence)
        self.executed.append(given)
        return True


class LeaseNode:
    """The leases under test, with the lists they need."""

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
        """Take a message."""
        if isinstance(message, StartQuery | StartReply):
            self.budget.handle(sender, message)
        elif type(message).__module__ == LeaseQuery.__module__:
            self.leases.handle(sender, message)
        else:
            self.lists.handle(sender, message)


class OrdersFleet(Fleet):
    """Eight hosts that all want to give the same engines orders."""

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
        """Start a process, and let it try to give orders from then on."""
        super().start(name, version)
        process = self.processes[name]
        for engine in (*ENGINES, BUDGET):
            phase_s = self.rng.uniform(0.0, ORDER_INTERVAL_S)
            work = self._issue_orders(process, engine, phase_s)
            process.run_unless_paused(lambda work=work: run_coroutine(work))

    def pause(self, name: str, pause_s: float = 30.0) -> None:
        """Pause a host's process for a while, and count it."""
        process = self.processes[name]
        self.pause_count += process.alive and not process.paused
        super().pause(name, pause_s)

    def transmit(self, sender: str, host: str, message: Any) -> bool:
        """Carry a message, as its bytes if it is of this package."""
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

    async def _call_back(self, process: Process, question: Any, *args: Any) -> Any:
        """Wait for what a part tells through a callback."""

        def start(resume: Any) -> None:
            question(
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
        """Give one order through the function that the daemon uses."""

        async def send(fence: int, may_write: Any) -> Any:
            self._fail_at_step(process, "start")
            await self._sleep(process, 0.0005)
            if not may_write():
                return Error(NotSent(Failure(Code.LEASE_NOT_HELD, "")))
            self._fail_at_step(process, "write")
            paused = process.paused
            self.write_pause_count += paused
            await wait_for_callback(process.run_unless_paused)
            given = WrittenOrder(
                self.timers.now(), fence, lease, paused, not lease.left_s
            )
            return await self._send_order(process, engine, given)

        result = await issue_order(lease, send)
        name = "OBEYED" if result.is_ok() else result.error.code.name
        self.results[name] += 1
        if self.rng.random() < self.release_ratio:
            process.node.release(lease)

    async def _send_order(
        self, process: Process, engine: str, given: WrittenOrder
    ) -> Any:
        """Write an order and wait for its answer; the kernel sends it on."""
        answers: list[bool] = []

        def arrive() -> None:
            now = self.timers.now()
            answers.append(
                self.engines[engine].receive_order(given._replace(arrived_s=now))
            )
            if answers[-1]:
                self._record_overlap_at_execution(engine, given)
            if not lost:
                self._fail_at_step(process, "answer")
                process.call_later(0.001, finish)

        def finish() -> None:
            if waiting:
                waiting.pop()(answers[-1] if answers else None)

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

        obeyed = await wait_for_callback(wait)
        if obeyed is None:
            return Error(MaybeSent(Failure(Code.ANSWER_LOST, "")))
        return Ok(None) if obeyed else Error(Refused(Failure(Code.ORDER_REFUSED, "")))

    def _record_overlap_at_execution(self, engine: str, given: WrittenOrder) -> None:
        """Note who else had the lease when an engine obeyed."""
        leases = [
            process.node.find_lease(engine)
            for process in self.processes.values()
            if process.alive
        ]
        if not given.late_after_pause and any(
            found not in (None, given.lease) for found in leases
        ):
            self.overlaps.append(f"{engine}, as it obeyed at {self.timers.now():.3f} s")

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
        """Return the host that has a subject's lease."""
        processes = [process for process in self.processes.values() if process.alive]
        holders = [p.name for p in processes if p.node.find_lease(subject)]
        return holders[0] if holders else None

    def count_executed(self, since_s: float = 0.0) -> list[int]:
        """Return how many orders each engine obeyed from a time on."""
        engines = self.engines.values()
        return [
            sum(g.arrived_s >= since_s for g in engine.executed) for engine in engines
        ]

    def count_late_orders(self) -> int:
        """Return how many orders were written after their lease had ended."""
        engines = self.engines.values()
        return sum(
            given.late_after_pause for engine in engines for given in engine.executed
        )

    def count_superseded_orders(self) -> int:
        """Return how many of those an engine obeyed after another's order."""
        return sum(
            _count_superseded(engine.executed) for engine in self.engines.values()
        )

    def find_violations(self) -> list[str]:
        """Return what was promised and did not hold."""
        found = [f"two holders of {overlap}" for overlap in self.overlaps]
        found += [
            f"{name}: written after the lease at {given.arrived_s:.3f} s"
            for name, engine in self.engines.items()
            for given in engine.executed
            if given.late and not given.paused
        ]
        for name, engine in self.engines.items():
            found += [f"{name}: {text}" for text in _find_order_violations(engine)]
        times = sorted(self.start_times_s)
        found += [
            f"{START_LIMIT + 1} starts within {last - first:.3f} s"
            for first, last in zip(times, times[START_LIMIT:], strict=False)
            if last - first < PERIOD_S
        ]
        return found


def _count_superseded(obeyed: list[WrittenOrder]) -> int:
    harm, newest_s = 0, 0.0
    for given in obeyed:
        harm += given.late_after_pause and given.lease.granted_s < newest_s
        newest_s = max(newest_s, getattr(given.lease, "granted_s", 0.0))
    return harm


def _find_order_violations(engine: Engine) -> list[str]:
    """Return where an engine obeyed an issuer that another had followed.

    An engine that checks no fence is not protected against an order that is
    written after its lease ended, so such an order is left out.
    """
    found, seen, highest = [], [], 0
    for given in engine.executed:
        if given.late_after_pause and not engine.checks_fence:
            continue
        if given.lease in seen[:-1]:
            found.append(f"obeyed an earlier issuer again at {given.arrived_s:.3f} s")
        if given.lease not in seen and given.fence <= highest:
            found.append(f"fence {given.fence} follows {highest}")
        seen += [given.lease] if given.lease not in seen else []
        highest = max(highest, given.fence)
    return found
