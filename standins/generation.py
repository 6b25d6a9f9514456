"""Token generation, prefix cache and slots of the model engine's stand-in."""

import asyncio
import heapq
import itertools
import json
import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import NamedTuple

from oleanderpier.utils import Timers, hash_text

__all__ = ["CacheEvent", "PrefixCache", "Slots", "compose_response", "count_tokens"]

VOCABULARY = [
    "landing",
    "slip",
    "share",
    "weld",
    "seam",
    "scan",
    "crew",
    "ledger",
    "clause",
    "plate",
    "depth",
    "trip",
]
MAX_CACHE_EVENTS = 4096


def compose_response(messages: Sequence[str], max_tokens: int) -> list[str]:
    """Return the tokens of the response to a chat.

    Token ``i`` depends on the messages and on ``i`` alone, so that any engine
    can resume a response that another engine began.

    Args:
        messages: The chat so far.
        max_tokens: Number of tokens in the response.

    Returns:
        The text of each token.

    Examples:
        >>> compose_response(["hello"], 5)[:3] == compose_response(["hello"], 3)
        True
    """
    seed = hash_text(json.dumps(list(messages)))
    return [_make_token(seed, index) for index in range(max_tokens)]


def _make_token(seed: int, index: int) -> str:
    number = (seed + index * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    return f"{VOCABULARY[(number >> 32) % len(VOCABULARY)]}-{number % 1000} "


def count_tokens(messages: Sequence[str]) -> int:
    """Return the length of a prompt in tokens, counting one token per word.

    Examples:
        >>> count_tokens(["two words", "three"])
        3
    """
    return sum(len(message.split()) for message in messages)


class CacheEvent(NamedTuple):
    """A published change of the prefix cache.

    Attributes:
        sequence: Number of the event, counted from 1; a lost event leaves a gap.
        kind: ``stored`` or ``evicted``.
        chat: Name of the chat whose prompt was stored or evicted.
        tokens: Length of that prompt in tokens.
    """

    sequence: int
    kind: str
    chat: str
    tokens: int


class PrefixCache:
    """Cache of prompts by chat, bounded by their total number of tokens.

    Args:
        capacity_tokens: Maximum number of tokens in the cache.
        timers: Clock that dates the published events.
        generator: Random generator that selects the events to lose.
        event_delay_s: Time between a change and its publication, in seconds.
        event_loss_ratio: Fraction of the events that is never published.
    """

    def __init__(
        self,
        capacity_tokens: int,
        timers: Timers,
        generator: random.Random,
        event_delay_s: float = 0.2,
        event_loss_ratio: float = 0.02,
    ) -> None:
        self._capacity_tokens = capacity_tokens
        self._timers = timers
        self._generator = generator
        self._event_delay_s = event_delay_s
        self._event_loss_ratio = event_loss_ratio
        self._messages_by_chat: OrderedDict[str, list[str]] = OrderedDict()
        self._tokens = 0
        self._sequence = itertools.count(1)
        self._published_events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=MAX_CACHE_EVENTS
        )

    def count_cached_tokens(self, chat: str, messages: Sequence[str]) -> int:
        """Return how many leading tokens of a prompt are cached.

        Messages are compared as a whole, up to the first that differs.
        """
        cached = self._messages_by_chat.get(chat, [])
        pairs = zip(cached, messages, strict=False)
        common = list(itertools.takewhile(lambda pair: pair[0] == pair[1], pairs))
        return count_tokens([message for _, message in common])

    def store(self, chat: str, messages: Sequence[str]) -> None:
        """Cache the messages of a chat and evict the least recently stored chats."""
        self._tokens -= count_tokens(self._messages_by_chat.pop(chat, []))
        self._messages_by_chat[chat] = list(messages)
        tokens = count_tokens(messages)
        self._tokens += tokens
        self._publish("stored", chat, tokens)
        while self._tokens > self._capacity_tokens and self._messages_by_chat:
            self._evict()

    def get_messages(self, chat: str) -> list[str] | None:
        """Return the cached messages of a chat, or None if it is not cached."""
        return self._messages_by_chat.get(chat)

    def list_events(self, after: int) -> list[CacheEvent]:
        """Return the events published so far whose sequence is above ``after``."""
        due = self._timers.now() - self._event_delay_s
        return [
            event
            for at, event in self._published_events
            if at <= due and event.sequence > after
        ]

    def _evict(self) -> None:
        chat, messages = self._messages_by_chat.popitem(last=False)
        tokens = count_tokens(messages)
        self._tokens -= tokens
        self._publish("evicted", chat, tokens)

    def _publish(self, kind: str, chat: str, tokens: int) -> None:
        event = CacheEvent(next(self._sequence), kind, chat, tokens)
        if self._generator.random() >= self._event_loss_ratio:
            self._published_events.append((self._timers.now(), event))


class Slots:
    """The slots of an engine; the waiter with the lowest priority number is next.

    Args:
        count: Number of requests that run at the same time.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.running = 0
        self._arrivals = itertools.count()
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(not future.done() for _, _, future in self._waiters)

    async def acquire(self, priority: int) -> None:
        """Wait for a slot, which the caller has to return with ``release``."""
        if self.running < self.count:
            self.running += 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (priority, next(self._arrivals), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Return a slot, or pass it on to the next waiter."""
        while self._waiters:
            _, _, future = heapq.heappop(self._waiters)
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1
