"""A small model of engines: slots, a queue behind them, a bounded prefix cache."""

from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

from oleanderpier.utils import ManualTimers

__all__ = ["Engine", "Stream", "Turn"]

PREFILL_TOKENS_PER_S = 8_000.0
DECODE_S_PER_TOKEN = 0.025


class Turn(NamedTuple):
    """One request of a chat; ``reusable`` tokens were in an earlier turn."""

    number: int
    chat: str
    workspace: str
    work_class: str
    prompt: int
    reusable: int
    output: int


class Stream:
    """A turn that runs, on one engine after another if it is migrated."""

    def __init__(self, turn: Turn, on_first: Callable, on_end: Callable):
        self.turn = turn
        self.on_first = on_first
        self.on_end = on_end
        self.engine: Engine | None = None
        self.left = turn.output
        self.runs = 0
        self._decodes_from_s: float | None = None

    def start(self, now: float) -> float:
        """Return how long the engine is busy, counting the cached prefix."""
        generated = self.turn.output - self.left
        prompt = self.turn.prompt + generated
        reused = min(self.engine.cache.get(self.turn.chat, 0), prompt)
        prefill_s = (prompt - reused) / PREFILL_TOKENS_PER_S
        self._decodes_from_s = now + prefill_s
        if self.on_first is not None:
            self.on_first(prefill_s, reused)
            self.on_first = None
        return prefill_s + self.left * DECODE_S_PER_TOKEN

    def migrate(self, engine: "Engine", now: float) -> None:
        """Resume on another engine from the offset that was reached."""
        self.engine.drop(self)
        if self._decodes_from_s is not None:
            done = int(max(0.0, now - self._decodes_from_s) / DECODE_S_PER_TOKEN)
            self.left = max(1, self.left - done)
        self._decodes_from_s = None
        engine.submit(self)


class Engine:
    """A model engine: slots, a queue behind them, and a bounded prefix cache."""

    def __init__(self, name: str, slots: int, cache_tokens: int, timers: ManualTimers):
        self.name = name
        self.slots = slots
        self.running: set[Stream] = set()
        self.waiting: deque[Stream] = deque()
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.on_cache_event: Callable[[str, str, str], None] = lambda *_: None
        self._cache_tokens = cache_tokens
        self._cached = 0
        self._timers = timers

    @property
    def in_flight(self) -> int:
        """Requests that run or wait here."""
        return len(self.running) + len(self.waiting)

    def submit(self, stream: Stream) -> None:
        """Run a stream, after others if all slots are taken."""
        stream.engine = self
        self.waiting.append(stream)
        self._fill_slots()

    def drop(self, stream: Stream) -> None:
        """Cancel a stream."""
        if stream in self.running:
            self.running.remove(stream)
        else:
            self.waiting.remove(stream)
        stream.runs += 1
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            stream = self.waiting.popleft()
            self.running.add(stream)
            busy_s = stream.start(self._timers.now())
            run = stream.runs
            self._timers.call_later(
                busy_s, lambda stream=stream, run=run: self._end(stream, run)
            )

    def _end(self, stream: Stream, run: int) -> None:
        if stream.runs != run:
            return
        self.running.remove(stream)
        self._store(stream.turn.chat, stream.turn.prompt + stream.turn.output)
        self._fill_slots()
        stream.on_end()

    def _store(self, chat: str, tokens: int) -> None:
        self._cached += tokens - self.cache.pop(chat, 0)
        self.cache[chat] = tokens
        self.on_cache_event(self.name, "stored", chat)
        while self._cached > self._cache_tokens:
            evicted, size = self.cache.popitem(last=False)
            self._cached -= size
            self.on_cache_event(self.name, "evicted", evicted)
