"""Simulated model engine with batched decoding, chunked prefill and a prefix cache.

The constants follow the users' data sheets. The sheets lack two values, which are
assumptions: the step time added by a running request, and the prefill chunk size.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from oleanderpier.routing import LoadStatement, PromptPrefix
from oleanderpier.utils import Subscription, Timers

__all__ = ["Engine", "Job"]

DECODE_STEP_S = 0.00309
PREFILL_TOKENS_PER_S = 56_900.0
# Cost of copying cached tokens between engines: a fixed set-up time, and the transfer
# of 5.3 KB per token over a 10 Gbit/s link.
COPY_SETUP_S = 0.0053
COPY_S_PER_TOKEN = 5_300 * 8 / 10e9
# Assumed: each running request makes a decode step 1% longer, and the prefill of one
# chunk takes as long as nine decode steps.
STEP_INCREASE_PER_REQUEST_RATIO = 0.01
PREFILL_CHUNK_TOKENS = 1_600


class PrefillCost(NamedTuple):
    """Prompt prefix tokens of one request that the engine did not have in its cache.

    Attributes:
        reread_tokens: Tokens that the engine has to prefill.
        copied_tokens: Tokens copied from another engine instead of prefilled.
    """

    reread_tokens: int
    copied_tokens: int


class Job:
    """A request that is queued or runs at an engine.

    Args:
        parts: The prompt parts that other requests may share.
        own_tokens: Length of the rest of the prompt, in tokens.
        output_tokens: Number of tokens to generate.
        tokens_per_event: Number of generated tokens per stream event.
        on_event: Called with the number of each event, from 1.
        on_end: Called once, with whether all output was generated.

    Attributes:
        prefill_tokens_left: Prompt tokens that still need prefill.
        generated_tokens: Output tokens generated so far.
    """

    def __init__(
        self,
        parts: tuple[PromptPrefix, ...],
        own_tokens: int,
        output_tokens: int,
        tokens_per_event: int,
        on_event: Callable[[int], None],
        on_end: Callable[[bool], None],
    ) -> None:
        self.parts = parts
        self.own_tokens = own_tokens
        self.output_tokens = output_tokens
        self.tokens_per_event = tokens_per_event
        self.on_event = on_event
        self.on_end = on_end
        self.prefill_tokens_left = 0
        self.generated_tokens = 0

    @property
    def memory_tokens(self) -> int:
        """Number of prompt and output tokens that the request holds in memory."""
        shared = self.parts[-1].tokens if self.parts else 0
        return shared + self.own_tokens + self.output_tokens


class Engine:
    """A model engine on simulated time.

    Args:
        timers: The timer service.
        slots: Maximum number of requests that run concurrently.
        capacity_tokens: Memory for running requests and cached prompt parts
            together, in tokens.

    Attributes:
        slowdown_factor: Factor by which each step takes longer than normal.
        alive: Whether the engine accepts requests; False after a crash.
    """

    def __init__(self, timers: Timers, slots: int, capacity_tokens: int) -> None:
        self.slowdown_factor = 1.0
        self.alive = True
        self._timers = timers
        self._slots = slots
        self._capacity_tokens = capacity_tokens
        self._cached_parts: OrderedDict[str, int] = OrderedDict()
        self._running: list[Job] = []
        self._queue: list[Job] = []
        self._pending_step: Subscription | None = None

    def count_requests(self) -> int:
        """Return the number of running and queued requests."""
        return len(self._running) + len(self._queue)

    def state_load(self) -> LoadStatement:
        """Return what the engine states in its responses."""
        running, waiting = len(self._running), len(self._queue)
        return LoadStatement(running, waiting, self._slots, self.slowdown_factor)

    def count_cached_tokens(self, parts: tuple[PromptPrefix, ...]) -> int:
        """Return the length of the longest cached prefix of a prompt, in tokens."""
        cached_tokens = 0
        for part in parts:
            if part.key not in self._cached_parts:
                break
            cached_tokens = part.tokens
        return cached_tokens

    def submit(self, job: Job, source: "Engine | None") -> PrefillCost:
        """Queue a request and return its prefill cost.

        Args:
            job: The request.
            source: An engine to copy cached prompt parts from, if any.
        """
        shared_tokens = job.parts[-1].tokens if job.parts else 0
        cached_tokens = self.count_cached_tokens(job.parts)
        source_tokens = (
            source.count_cached_tokens(job.parts) if source and source.alive else 0
        )
        copied_tokens = max(0, source_tokens - cached_tokens)
        job.prefill_tokens_left = (
            shared_tokens - cached_tokens - copied_tokens + job.own_tokens
        )
        # Parts count as cached as soon as a request for them is submitted, so that
        # concurrent requests with equal prompts prefill them only once.
        for part in job.parts:
            self._cache_part(part)
        delay_s = (
            COPY_SETUP_S + copied_tokens * COPY_S_PER_TOKEN if copied_tokens else 0.0
        )
        self._timers.call_later(delay_s, lambda: self._enqueue(job))
        return PrefillCost(shared_tokens - cached_tokens - copied_tokens, copied_tokens)

    def crash(self) -> None:
        """Stop the engine: fail all requests and clear the cache."""
        self.alive = False
        lost, self._running, self._queue = [*self._running, *self._queue], [], []
        self._cached_parts.clear()
        for job in lost:
            job.on_end(False)

    def _enqueue(self, job: Job) -> None:
        if not self.alive:
            job.on_end(False)
            return
        self._queue.append(job)
        if self._pending_step is None:
            self._schedule_step()

    def _cache_part(self, part: PromptPrefix) -> None:
        self._cached_parts[part.key] = part.tokens
        self._cached_parts.move_to_end(part.key)
        while len(self._cached_parts) > 1 and self._exceeds_capacity():
            self._cached_parts.popitem(last=False)

    def _exceeds_capacity(self) -> bool:
        used = sum(job.own_tokens + job.output_tokens for job in self._running)
        return used + sum(self._cached_parts.values()) > self._capacity_tokens

    def _fill_slots(self) -> None:
        while self._queue and len(self._running) < self._slots:
            self._running.append(self._queue.pop(0))

    def _schedule_step(self) -> None:
        self._fill_slots()
        if not self._running:
            self._pending_step = None
            return
        budget = PREFILL_CHUNK_TOKENS
        for job in self._running:
            prefilled = min(budget, job.prefill_tokens_left)
            job.prefill_tokens_left -= prefilled
            budget -= prefilled
        step_s = DECODE_STEP_S * (
            1 + STEP_INCREASE_PER_REQUEST_RATIO * len(self._running)
        )
        step_s += (PREFILL_CHUNK_TOKENS - budget) / PREFILL_TOKENS_PER_S
        self._pending_step = self._timers.call_later(
            step_s * self.slowdown_factor, self._finish_step
        )

    def _finish_step(self) -> None:
        if not self.alive:
            self._pending_step = None
            return
        finished = []
        for job in self._running:
            if job.prefill_tokens_left:
                continue
            job.generated_tokens += 1
            if job.generated_tokens % job.tokens_per_event == 0:
                job.on_event(job.generated_tokens // job.tokens_per_event)
            if job.generated_tokens >= job.output_tokens:
                finished.append(job)
        if finished:
            self._running = [job for job in self._running if job not in finished]
            for job in finished:
                job.on_end(True)
        self._schedule_step()
