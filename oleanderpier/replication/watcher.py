"""Updates a replica from the platform while this host is one of its watchers."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from eliot import log_message

from oleanderpier.exception import PlatformError
from oleanderpier.replication.messages import PLATFORM, ItemsUpdate
from oleanderpier.replication.positions import get_era, get_revision
from oleanderpier.replication.replica import Replica
from oleanderpier.utils import Timers

__all__ = ["ItemSource", "WatchTiming", "derive_watch_timing", "maintain_replica"]

# Part of the bound for servers that leave: 0.4 s of 2 s, the shortest known bound.
BATCH_SHARE = 0.2
# The pause is not changed below this bound.
MIN_LONGER_BOUND_S = 3.0
# The pause for a bound of 3 s, the longest of any deployment. A watcher that hears from
# the platform less often could take its silence for an outage, see ``MIN_OUTAGE_S``.
MAX_BATCH_S = 0.6


class ItemSource(Protocol):
    """The platform's store, as a replica needs it."""

    async def read_snapshot(self, space: str) -> ItemsUpdate:
        """Return a snapshot of a key space.

        Raises:
            PlatformError: The platform did not respond, or refused the call.
        """

    async def wait_for_changes(
        self, space: str, after: int, wait_s: float
    ) -> ItemsUpdate:
        """Wait for changes after a revision.

        Args:
            space: The name of the key space.
            after: The revision, exclusive.
            wait_s: The time limit; without a change until then the update has
                no items.

        Raises:
            RevisionCompactedError: The platform no longer has the changes since that
                revision; a snapshot is needed.
            PlatformError: The platform did not respond, or refused the call.
        """


class WatchTiming(NamedTuple):
    """The intervals of a watch, in seconds.

    Attributes:
        wait_s: How long the platform holds a call while there are no changes.
            A call that takes longer shows that the platform is silent.
        batch_s: Pause after an update with items, so that further changes are
            read in one call.
        min_retry_s: Back-off after the first failure.
        max_retry_s: Upper bound of the back-off after several failures.
        poll_s: Interval at which a host that does not watch checks whether it
            has to.
    """

    wait_s: float = 1.0
    batch_s: float = 0.4
    min_retry_s: float = 0.2
    max_retry_s: float = 0.8
    poll_s: float = 0.25


def derive_watch_timing(apply_s: float | None) -> WatchTiming:
    """Return the timing of a watch whose changes have to take effect within a bound.

    Each call to the platform has a price. With many entries there is a change at the
    end of each pause, so a watcher makes one call for each pause.

    Args:
        apply_s: The seconds after which a change has to be in effect on every host,
            None if unknown.

    Examples:
        >>> derive_watch_timing(2.0) == derive_watch_timing(None) == WatchTiming()
        True
        >>> round(derive_watch_timing(3.0).batch_s, 3)
        0.6
    """
    timing = WatchTiming()
    if apply_s is None or apply_s < MIN_LONGER_BOUND_S:
        return timing
    return timing._replace(batch_s=min(MAX_BATCH_S, apply_s * BATCH_SHARE))


async def maintain_replica(
    replica: Replica,
    source: ItemSource,
    timers: Timers,
    rng: random.Random,
    should_watch: Callable[[], bool],
    notify_reachability: Callable[[str, bool], None],
    record_call: Callable[[str, bool, float], None] = lambda *call: None,
    timing: WatchTiming | None = None,
) -> None:
    """Apply the platform's changes to a replica until cancelled.

    Args:
        replica: The replica.
        source: The platform.
        timers: The timer service.
        rng: The source of randomness.
        should_watch: Returns whether this host has to watch now.
        notify_reachability: Called after each failure and after the first
            success that follows one, with the key space and whether the call
            succeeded.
        record_call: Called after each call, with the key space, whether it
            succeeded, and its duration in seconds.
        timing: The intervals of the watch.
    """
    timing = timing or WatchTiming()
    needs_snapshot = True
    retry_s = 0.0
    # The start of the platform's silence to this host, should the next call fail.
    silent_since_s = timers.now()
    while True:
        if retry_s == 0.0 and not should_watch():
            # An empty replica has no revision to continue from.
            needs_snapshot = needs_snapshot or replica.as_of == 0
            silent_since_s = timers.now()
            await asyncio.sleep(timing.poll_s)
            continue
        started_s = timers.now()
        after = replica.as_of
        try:
            if needs_snapshot:
                update = await source.read_snapshot(replica.space)
            else:
                update = await source.wait_for_changes(
                    replica.space, after, timing.wait_s
                )
            if get_era(update.as_of) < get_era(replica.as_of):
                raise PlatformError(
                    f"response of era {get_era(update.as_of)}, "
                    f"era {get_era(replica.as_of)} is known"
                )
        except PlatformError as error:
            record_call(replica.space, False, timers.now() - started_s)
            if error.needs_full_read and not needs_snapshot:
                # The platform responds; only the position of the watch is gone.
                _log_failure(replica, error, 0.0)
                needs_snapshot = True
                continue
            needs_snapshot = needs_snapshot or error.needs_full_read
            retry_s = min(timing.max_retry_s, max(timing.min_retry_s, retry_s * 2))
            _log_failure(replica, error, retry_s)
            notify_reachability(replica.space, False)
            await asyncio.sleep(retry_s * rng.uniform(0.5, 1.0))
            continue
        record_call(replica.space, True, timers.now() - started_s)
        if retry_s:
            silent_s = timers.now() - silent_since_s
            log_message(
                "replication:platform_answers",
                space=replica.space,
                as_of=get_revision(update.as_of),
                silent_s=round(silent_s, 3),
            )
            notify_reachability(replica.space, True)
            retry_s = 0.0
        silent_since_s = timers.now()
        if not needs_snapshot and get_era(update.as_of) > get_era(after):
            # The revision of the watch belongs to an earlier era.
            needs_snapshot = True
            continue
        # Deletions after an outage may be of expired entries, so it has to be known
        # before they are applied. A snapshot is as old as the start of its call; a
        # watch call returns the current state.
        replica.confirm_current(timers.now() - started_s if needs_snapshot else 0.0)
        replica.apply(update, PLATFORM)
        needs_snapshot = False
        if update.items:
            await asyncio.sleep(timing.batch_s * rng.uniform(0.5, 1.0))


def _log_failure(replica: Replica, error: PlatformError, retry_s: float) -> None:
    log_message(
        "replication:platform_failed",
        space=replica.space,
        as_of=get_revision(replica.as_of),
        reason=str(error),
        retry_s=retry_s,
    )
