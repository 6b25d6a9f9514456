"""A model engine: batches by slots, prefill in chunks, parts that are cached.

The figures are those of the users' sheets, but for two that they do not tell: what
a running request adds to a step, and the size of a chunk.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from oleanderpier.routing import PromptPrefix
from oleanderpier.utils import Subscription, Timers

__all__ = ["Engine", "Job"]

STEP_S = 0.00309
PREFILL_TOKENS_PER_S = 56_900.0
# To set a copy up, and to move it at 5.3 KB a token over 10 Gbit/s.
COPY_SETUP_S = 0.0053
COPY_S_PER_TOKEN = 5_300 * 8 / 10e9
# Assumed: a run adds a hundredth to a step, and a chunk is as long as nine steps.
RUN_SHARE = 0.01
CHUNK_TOKENS = 1_600


class Cost(NamedTuple):
    """What a request made an engine read.

    Attributes:
        again: Tokens of shared parts that some engine had read before.
        copied: Tokens that were copied instead.
    """

    again: int
    copied: int


class Job:
    """A request at an engine.

    Args:
        parts: The shared start of its prompt.
        own_tokens: The rest of the prompt.
        out_tokens: What it generates.
        tokens_an_event: Tokens of one event.
        on_event: Called with each event's number, from 1.
        on_end: Called with whether it ended whole.
    """

    def __init__(
        self,
        parts: tuple[PromptPrefix, ...],
        own_tokens: int,
        out_tokens: int,
        tokens_an_event: int,
        on_event: Callable[[int], None],
        on_end: Callable[[bool], None],
    ) -> None:
        self.parts = parts
        self.own_tokens = own_tokens
        self.out_tokens = out_tokens
        self.tokens_an_event = tokens_an_event
        self.on_event = on_event
        self.on_end = on_end
        self.unread = 0
        self.made = 0

    @property
    def tokens(self) -> int:
        """The memory that the run takes."""
        shared = self.parts[-1].tokens if self.parts else 0
        return shared + self.own_tokens + self.out_tokens


class Engine:
    """One engine on simulated time.

    Args:
        timers: The timer service.
        slots: Requests that run at once.
        capacity_tokens: Tokens of runs and cached parts together.

    Attributes:
        slow: By what factor its steps are longer.
        alive: Whether it answers.
    """

    def __init__(self, timers: Timers, slots: int, capacity_tokens: int) -> None:
        self.slow = 1.0
        self.alive = True
        self._timers = timers
        self._slots = slots
        self._capacity = capacity_tokens
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._running: list[Job] = []
        self._queue: list[Job] = []
        self._step: Subscription | None = None

    def count_jobs(self) -> int:
        """Return the requests that run or wait."""
        return len(self._running) + len(self._queue)

    def find_kept(self, parts: tuple[PromptPrefix, ...]) -> int:
        """Return how many tokens of a prompt's start are cached."""
        kept = 0
        for part in parts:
            if part.key not in self._cached:
                break
            kept = part.tokens
        return kept

    def submit(self, job: Job, source: "Engine | None") -> Cost:
        """Take a request, with an engine to copy the prompt's start from."""
        shared = job.parts[-1].tokens if job.parts else 0
        kept = self.find_kept(job.parts)
        offered = source.find_kept(job.parts) if source and source.alive else 0
        copied = max(0, offered - kept)
        job.unread = shared - kept - copied + job.own_tokens
        # What is under way counts as cached: equal prompts are read once.
        for part in job.parts:
            self._keep(part)
        delay_s = COPY_SETUP_S + copied * COPY_S_PER_TOKEN if copied else 0.0
        self._timers.call_later(delay_s, lambda: self._enqueue(job))
        return Cost(shared - kept - copied, copied)

    def crash(self) -> None:
        """Lose every run and everything that is cached."""
        self.alive = False
        lost, self._running, self._queue = [*self._running, *self._queue], [], []
        self._cached.clear()
        for job in lost:
            job.on_end(False)

    def _enqueue(self, job: Job) -> None:
        if not self.alive:
            job.on_end(False)
            return
        self._queue.append(job)
        if self._step is None:
            self._plan_step()

    def _keep(self, part: PromptPrefix) -> None:
        self._cached[part.key] = part.tokens
        self._cached.move_to_end(part.key)
        while len(self._cached) > 1 and self._is_full():
            self._cached.popitem(last=False)

    def _is_full(self) -> bool:
        used = sum(job.own_tokens + job.out_tokens for job in self._running)
        return used + sum(self._cached.values()) > self._capacity

    def _admit(self) -> None:
        while self._queue and len(self._running) < self._slots:
            self._running.append(self._queue.pop(0))

    def _plan_step(self) -> None:
        self._admit()
        if not self._running:
            self._step = None
            return
        budget = CHUNK_TOKENS
        for job in self._running:
            read = min(budget, job.unread)
            job.unread -= read
            budget -= read
        step_s = STEP_S * (1 + RUN_SHARE * len(self._running))
        step_s += (CHUNK_TOKENS - budget) / PREFILL_TOKENS_PER_S
        self._step = self._timers.call_later(step_s * self.slow, self._end_step)

    def _end_step(self) -> None:
        if not self.alive:
            self._step = None
            return
        ended = []
        for job in self._running:
            if job.unread:
                continue
            job.made += 1
            if job.made % job.tokens_an_event == 0:
                job.on_event(job.made // job.tokens_an_event)
            if job.made >= job.out_tokens:
                ended.append(job)
        if ended:
            self._running = [job for job in self._running if job not in ended]
            for job in ended:
                job.on_end(True)
        self._plan_step()
