"""Simulated model engine with slots, a FIFO queue and a bounded prefix cache."""

from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

from oleanderpier.utils import ManualTimers

__all__ = ["Engine", "Stream", "Turn"]

PREFILL_TOKENS_PER_S = 8_000.0
DECODE_S_PER_TOKEN = 0.025


class Turn(NamedTuple):
    """One request of a chat.

    Attributes:
        number: Number of the turn, unique in the run.
        chat: Name of the chat.
        workspace: Name of the workspace that the chat belongs to.
        work_class: Name of the request's class.
        prompt_tokens: Length of the prompt, in tokens.
        reusable_tokens: Prompt tokens that were part of the chat's earlier turns.
        output_tokens: Number of tokens to generate.
    """

    number: int
    chat: str
    workspace: str
    work_class: str
    prompt_tokens: int
    reusable_tokens: int
    output_tokens: int


class Stream:
    """The response stream of a turn; after a migration it continues on another engine.

    Args:
        turn: The turn.
        on_first_token: Called once with the prefill time in seconds and the number
            of prompt tokens that came from the cache.
        on_end: Called when all output was generated.

    Attributes:
        engine: The engine that the stream was submitted to last.
        tokens_left: Output tokens still to generate.
        run_number: Incremented when the stream is cancelled on an engine, so that
            timers of earlier runs can be ignored.
    """

    def __init__(self, turn: Turn, on_first_token: Callable, on_end: Callable):
        self.turn = turn
        self.on_first_token = on_first_token
        self.on_end = on_end
        self.engine: Engine | None = None
        self.tokens_left = turn.output_tokens
        self.run_number = 0
        self._decode_start_s: float | None = None

    def start(self, now: float) -> float:
        """Start on the current engine and return how long the run will take.

        Args:
            now: Current time, in seconds.

        Returns:
            Time for the prefill of uncached tokens and for decoding, in seconds.
        """
        generated_tokens = self.turn.output_tokens - self.tokens_left
        prompt_tokens = self.turn.prompt_tokens + generated_tokens
        reused_tokens = min(
            self.engine.cached_tokens.get(self.turn.chat, 0), prompt_tokens
        )
        prefill_s = (prompt_tokens - reused_tokens) / PREFILL_TOKENS_PER_S
        self._decode_start_s = now + prefill_s
        if self.on_first_token is not None:
            self.on_first_token(prefill_s, reused_tokens)
            self.on_first_token = None
        return prefill_s + self.tokens_left * DECODE_S_PER_TOKEN

    def migrate(self, engine: "Engine", now: float) -> None:
        """Continue on another engine after the tokens generated so far.

        Args:
            engine: The new engine.
            now: Current time, in seconds.
        """
        self.engine.cancel(self)
        if self._decode_start_s is not None:
            generated_tokens = int(
                max(0.0, now - self._decode_start_s) / DECODE_S_PER_TOKEN
            )
            self.tokens_left = max(1, self.tokens_left - generated_tokens)
        self._decode_start_s = None
        engine.submit(self)


class Engine:
    """A model engine on simulated time.

    Args:
        name: Name of the engine.
        slots: Maximum number of streams that run concurrently.
        cache_capacity_tokens: Size limit of the prefix cache, in tokens.
        timers: The timer service.

    Attributes:
        running: Streams that occupy a slot.
        waiting: Streams queued for a slot, in order of arrival.
        cached_tokens: Tokens cached per chat, least recently stored first.
        on_cache_event: Called with the engine's name, ``stored`` or ``evicted``, and
            the chat.
    """

    def __init__(
        self, name: str, slots: int, cache_capacity_tokens: int, timers: ManualTimers
    ):
        self.name = name
        self.slots = slots
        self.running: set[Stream] = set()
        self.waiting: deque[Stream] = deque()
        self.cached_tokens: OrderedDict[str, int] = OrderedDict()
        self.on_cache_event: Callable[[str, str, str], None] = lambda *_: None
        self._cache_capacity_tokens = cache_capacity_tokens
        self._cache_size_tokens = 0
        self._timers = timers

    @property
    def in_flight(self) -> int:
        """Number of running and waiting streams."""
        return len(self.running) + len(self.waiting)

    def submit(self, stream: Stream) -> None:
        """Start a stream, or queue it if all slots are occupied."""
        stream.engine = self
        self.waiting.append(stream)
        self._fill_slots()

    def cancel(self, stream: Stream) -> None:
        """Remove a running or waiting stream."""
        if stream in self.running:
            self.running.remove(stream)
        else:
            self.waiting.remove(stream)
        stream.run_number += 1
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            stream = self.waiting.popleft()
            self.running.add(stream)
            busy_s = stream.start(self._timers.now())
            run_number = stream.run_number
            self._timers.call_later(
                busy_s,
                lambda stream=stream, run=run_number: self._finish_stream(stream, run),
            )

    def _finish_stream(self, stream: Stream, run_number: int) -> None:
        if stream.run_number != run_number:
            return
        self.running.remove(stream)
        self._cache_chat(
            stream.turn.chat, stream.turn.prompt_tokens + stream.turn.output_tokens
        )
        self._fill_slots()
        stream.on_end()

    def _cache_chat(self, chat: str, tokens: int) -> None:
        self._cache_size_tokens += tokens - self.cached_tokens.pop(chat, 0)
        self.cached_tokens[chat] = tokens
        self.on_cache_event(self.name, "stored", chat)
        while self._cache_size_tokens > self._cache_capacity_tokens:
            evicted, size = self.cached_tokens.popitem(last=False)
            self._cache_size_tokens -= size
            self.on_cache_event(self.name, "evicted", evicted)
