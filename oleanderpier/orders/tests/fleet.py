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
    StartTell,
    issue_order,
)
from oleanderpier.results import Code, Failure, MaybeSent, NotSent
from oleanderpier.utils import decode_message, encode_message

ENGINES = {"engine-checks": True, "engine-ignores": False}
BUDGET = "weight-store"
STARTS = 3
PERIOD_S = 10.0
ORDER_INTERVAL_S = 1.0
ACQUIRE_S = 1.0
ASK_AGAIN_S = 6.0
STEPS = ("start", "write", "sent", "answer", "use")


@coroutine
def suspend(start: Callable[[Callable], None]) -> Generator[Any, Any, Any]:
    """Wait in a coroutine until whatever ``start`` begins calls back."""
    return (yield start)


def drive(work: Coroutine, value: Any = None) -> None:
    """Run a coroutine to its next wait, by hand."""
    try:
        start = work.send(value)
    except StopIteration:
        return
    start(lambda later=None: drive(work, later))


class Given(NamedTuple):
    """An order that an engine obeyed.

    Attributes:
        lease: The lease that it was given under.
        paused: Whether a pause struck between the last check and the write.
        late: Whether the lease had ended at the write.
    """

    at_s: float
    fence: int
    lease: Any
    paused: bool
    late: bool

    @property
    def window(self) -> bool:
        """Whether the order was late for no other reason than such a pause."""
        return self.paused and self.late


class Engine:
    """An engine that takes orders."""

    def __init__(self, checks: bool):
        self.checks, self.fence = checks, 0
        self.obeyed: list[Given] = []
        self.refused = 0

    def take(self, given: Given) -> bool:
        """Obey an order, or refuse its fence."""
        if self.checks and given.fence < self.fence:
            self.refused += 1
            return False
        self.fence = max(self.fence, given.fence)
        self.obeyed.append(given)
        return True


class LeasedOrders:
    """The leases under test, with the lists they need."""

    def __init__(self, process: Process, rng: random.Random):
        me = (process.name, process.incarnation)
        self.lists = HostLists(*me, process, process)
        self.leases = Leases(*me, process, rng, process, self.lists)
        options = (self.leases, STARTS, PERIOD_S)
        self.budget = Budget(BUDGET, me[1], process, process, *options)
        self.apply_document = self.lists.apply_document
        self.find_lease = self.leases.find_lease
        self.take_start = self.budget.take
        self.acquire, self.release = self.leases.acquire, self.leases.release

    def handle(self, sender: str, message: Any) -> None:
        """Take a message."""
        if isinstance(message, StartQuery | StartTell):
            self.budget.handle(sender, message)
        elif type(message).__module__ == LeaseQuery.__module__:
            self.leases.handle(sender, message)
        else:
            self.lists.handle(sender, message)


class OrdersFleet(Fleet):
    """Eight hosts that all want to give the same engines orders."""

    def __init__(self, seed: int, make_node: Any = LeasedOrders, hosts: int = 8):
        self.engines = {name: Engine(checks) for name, checks in ENGINES.items()}
        self.overlaps: list[str] = []
        self.results: Counter[str] = Counter()
        self.starts: list[float] = []
        self.delay_s = 0.0
        self.order_loss = 0.0
        self.stop_share = 0.0
        self.ask_again_s = ASK_AGAIN_S
        self.pauses = self.check_pauses = 0
        super().__init__(seed, make_node, hosts)

    def start(self, name: str, version: int = 0) -> None:
        """Start a process, and let it try to give orders from then on."""
        super().start(name, version)
        process = self.processes[name]
        for engine in (*ENGINES, BUDGET):
            phase_s = self.rng.uniform(0.0, ORDER_INTERVAL_S)
            work = self._issue_orders(process, engine, phase_s)
            process.run_unless_paused(lambda work=work: drive(work))

    def pause(self, name: str, pause_s: float = 30.0) -> None:
        """Pause a host's process for a while, and count it."""
        process = self.processes[name]
        self.pauses += process.alive and not process.paused
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
                await self._use_start(process)
            elif process.node.find_lease(engine) is None:
                await self._acquire(process, engine)
            else:
                await self._give(process, engine, process.node.find_lease(engine))

    async def _sleep(self, process: Process, delay_s: float) -> None:
        await suspend(lambda resume: process.call_later(delay_s, resume))

    async def _acquire(self, process: Process, engine: str) -> None:
        result = await self._ask(process, process.node.acquire, engine, ACQUIRE_S)
        if result.is_error():
            wait_s = min(result.error.retry_after_s or 0.0, self.ask_again_s)
            await self._sleep(process, wait_s)
        elif process.node.find_lease(engine):
            self._find_overlaps(process, engine)

    async def _ask(self, process: Process, question: Any, *args: Any) -> Any:
        """Wait for what a part tells through a callback."""

        def start(resume: Any) -> None:
            question(
                *args, lambda result: process.run_unless_paused(lambda: resume(result))
            )

        return await suspend(start)

    def _find_overlaps(self, process: Process, engine: str) -> None:
        others = [
            other.name
            for other in self.processes.values()
            if other is not process and other.alive and other.node.find_lease(engine)
        ]
        self.overlaps += [f"{engine}: {process.name} and {name}" for name in others]

    async def _give(self, process: Process, engine: str, lease: Any) -> None:
        """Give one order through the function that the daemon uses."""

        async def send(fence: int, may_write: Any) -> Any:
            self._fail_at_step(process, "start")
            await self._sleep(process, 0.0005)
            if not may_write():
                return Error(NotSent(Failure(Code.LEASE_NOT_HELD, "")))
            self._fail_at_step(process, "write")
            paused = process.paused
            self.check_pauses += paused
            await suspend(process.run_unless_paused)
            given = Given(self.timers.now(), fence, lease, paused, not lease.left_s)
            return await self._exchange(process, engine, given)

        result = await issue_order(lease, send)
        name = "OBEYED" if result.is_ok() else result.error.code.name
        self.results[name] += 1
        if self.rng.random() < self.stop_share:
            process.node.release(lease)

    async def _exchange(self, process: Process, engine: str, given: Given) -> Any:
        """Write an order and wait for its answer; the kernel sends it on."""
        answers: list[bool] = []

        def arrive() -> None:
            now = self.timers.now()
            answers.append(self.engines[engine].take(given._replace(at_s=now)))
            if answers[-1]:
                self._find_rivals(engine, given)
            if not lost:
                self._fail_at_step(process, "answer")
                process.call_later(0.001, finish)

        def finish() -> None:
            if waiting:
                waiting.pop()(answers[-1] if answers else None)

        waiting: list[Any] = []
        lost = self.rng.random() < self.order_loss
        delay_s = self.rng.uniform(0.0, self.delay_s) + 0.0005
        if not (lost and self.rng.random() < 0.3):
            self.timers.call_later(delay_s, arrive)
        if lost and self.rng.random() < 0.5:
            process.call_later(0.001, finish)
        self._fail_at_step(process, "sent")

        def wait(resume: Any) -> None:
            waiting.append(resume)
            process.call_later(ORDER_TIMEOUT_S, finish)

        obeyed = await suspend(wait)
        if obeyed is None:
            return Error(MaybeSent(Failure(Code.ANSWER_LOST, "")))
        return Ok(None) if obeyed else Error(Refused(Failure(Code.ORDER_REFUSED, "")))

    def _find_rivals(self, engine: str, given: Given) -> None:
        """Note who else had the lease when an engine obeyed."""
        leases = [
            process.node.find_lease(engine)
            for process in self.processes.values()
            if process.alive
        ]
        if not given.window and any(
            found not in (None, given.lease) for found in leases
        ):
            self.overlaps.append(f"{engine}, as it obeyed at {self.timers.now():.3f} s")

    async def _use_start(self, process: Process) -> None:
        result = await self._ask(process, process.node.take_start)
        if result.is_error():
            return
        self._fail_at_step(process, "use")
        await suspend(process.run_unless_paused)
        if result.ok.valid:
            delay_s = self.rng.uniform(0.0, ORDER_TIMEOUT_S)
            self.timers.call_later(
                delay_s, lambda: self.starts.append(self.timers.now())
            )

    def find_holder(self, subject: str) -> str | None:
        """Return the host that has a subject's lease."""
        processes = [process for process in self.processes.values() if process.alive]
        holders = [p.name for p in processes if p.node.find_lease(subject)]
        return holders[0] if holders else None

    def count_obeyed(self, since_s: float = 0.0) -> list[int]:
        """Return how many orders each engine obeyed from a time on."""
        engines = self.engines.values()
        return [sum(g.at_s >= since_s for g in engine.obeyed) for engine in engines]

    def count_strikes(self) -> int:
        """Return how many orders were written after their lease had ended."""
        engines = self.engines.values()
        return sum(given.window for engine in engines for given in engine.obeyed)

    def count_harm(self) -> int:
        """Return how many of those an engine obeyed after another's order."""
        return sum(_count_harm(engine.obeyed) for engine in self.engines.values())

    def find_violations(self) -> list[str]:
        """Return what was promised and did not hold."""
        found = [f"two holders of {overlap}" for overlap in self.overlaps]
        found += [
            f"{name}: written after the lease at {given.at_s:.3f} s"
            for name, engine in self.engines.items()
            for given in engine.obeyed
            if given.late and not given.paused
        ]
        for name, engine in self.engines.items():
            found += [f"{name}: {text}" for text in _list_disorders(engine)]
        times = sorted(self.starts)
        found += [
            f"{STARTS + 1} starts within {last - first:.3f} s"
            for first, last in zip(times, times[STARTS:], strict=False)
            if last - first < PERIOD_S
        ]
        return found


def _count_harm(obeyed: list[Given]) -> int:
    harm, newest_s = 0, 0.0
    for given in obeyed:
        harm += given.window and given.lease.gained_s < newest_s
        newest_s = max(newest_s, getattr(given.lease, "gained_s", 0.0))
    return harm


def _list_disorders(engine: Engine) -> list[str]:
    """Return where an engine obeyed an issuer that another had followed.

    An engine that checks no fence is not protected against an order that is
    written after its lease ended, so such an order is left out.
    """
    found, seen, highest = [], [], 0
    for given in engine.obeyed:
        if given.window and not engine.checks:
            continue
        if given.lease in seen[:-1]:
            found.append(f"obeyed an earlier issuer again at {given.at_s:.3f} s")
        if given.lease not in seen and given.fence <= highest:
            found.append(f"fence {given.fence} follows {highest}")
        seen += [given.lease] if given.lease not in seen else []
        highest = max(highest, given.fence)
    return found
