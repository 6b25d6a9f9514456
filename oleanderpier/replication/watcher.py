"""Keeps a replica up to date from the platform, while this host has to watch."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from eliot import log_message

from oleanderpier.exception import PlatformError
from oleanderpier.replication.messages import PLATFORM, ItemNews
from oleanderpier.replication.replica import Replica
from oleanderpier.utils import Timers

__all__ = ["ItemSource", "WatchTimes", "keep_replica"]


class ItemSource(Protocol):
    """Where a replica's items come from."""

    async def read_all(self, space: str) -> ItemNews:
        """Return every item of a key space.

        Raises:
            PlatformError: There is no answer, or a refusal.
        """

    async def wait_for_news(self, space: str, after: int, wait_s: float) -> ItemNews:
        """Return what changed later than a revision, as soon as something has.

        Raises:
            RevisionCompactedError: The platform no longer knows that revision.
            PlatformError: There is no answer, or a refusal.
        """


class WatchTimes(NamedTuple):
    """How a watch is paced, in seconds.

    Attributes:
        wait_s: How long the platform holds a call that has no news; what stays
            unanswered for longer shows that the platform is silent.
        pause_s: Between two calls, so that changes come together.
        first_retry_s: After a failure.
        longest_retry_s: After several.
        poll_s: How often a host that need not watch looks whether it has to.
    """

    wait_s: float = 1.0
    pause_s: float = 0.4
    first_retry_s: float = 0.2
    longest_retry_s: float = 0.8
    poll_s: float = 0.25


async def keep_replica(
    replica: Replica,
    source: ItemSource,
    timers: Timers,
    rng: random.Random,
    must_watch: Callable[[], bool],
    notify: Callable[[str, bool, float], None],
    note_call: Callable[[str, bool, float], None] = lambda *call: None,
    times: WatchTimes | None = None,
) -> None:
    """Bring news of the platform into a replica, until cancelled.

    Args:
        replica: The replica.
        source: The platform.
        timers: The timer service.
        rng: The source of randomness.
        must_watch: Returns whether this host has to watch now.
        notify: Told of each failure and of the first answer after one, with
            the key space, whether the platform answers, and how many seconds
            ago it had answered before.
        note_call: Told of each call, with the key space, whether it was
            answered, and its length in seconds.
        times: How the watch is paced.
    """
    times = times or WatchTimes()
    needs_all = True
    retry_s = 0.0
    answered_s = timers.now()
    while True:
        if retry_s == 0.0 and not must_watch():
            # Without any state there is no revision to continue from.
            needs_all = needs_all or replica.as_of == 0
            answered_s = timers.now()
            await asyncio.sleep(times.poll_s)
            continue
        began_s = timers.now()
        try:
            if needs_all:
                news = await source.read_all(replica.space)
            else:
                news = await source.wait_for_news(
                    replica.space, replica.as_of, times.wait_s
                )
        except PlatformError as error:
            note_call(replica.space, False, timers.now() - began_s)
            needs_all = needs_all or error.needs_full_read
            retry_s = min(times.longest_retry_s, max(times.first_retry_s, retry_s * 2))
            log_message(
                "replication:platform_failed",
                space=replica.space,
                as_of=replica.as_of,
                reason=str(error),
                retry_s=retry_s,
            )
            notify(replica.space, False, timers.now() - answered_s)
            await asyncio.sleep(retry_s * rng.uniform(0.5, 1.0))
            continue
        note_call(replica.space, True, timers.now() - began_s)
        if retry_s:
            silent_s = timers.now() - answered_s
            log_message(
                "replication:platform_answers",
                space=replica.space,
                as_of=news.as_of,
                silent_s=round(silent_s, 3),
            )
            notify(replica.space, True, silent_s)
            retry_s = 0.0
        answered_s = timers.now()
        replica.apply(news, PLATFORM)
        # A range is as old as its call; a watch is current when it returns.
        replica.confirm(timers.now() - began_s if needs_all else 0.0)
        needs_all = False
        if news.items:
            await asyncio.sleep(times.pause_s * rng.uniform(0.5, 1.0))
