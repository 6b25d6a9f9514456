"""Which hosts watch the platform, decided on each without coordination."""

from collections.abc import Callable
from random import Random
from typing import Any

from eliot import log_message

from oleanderpier.configuration.messages import PlatformReachable
from oleanderpier.membership.members import Members
from oleanderpier.membership.messages import MemberState
from oleanderpier.utils import Outbox, Timers, rank_candidates

__all__ = ["WatcherSelection"]

WATCHERS = 2
TICK_S = 1.0
SETTLE_S = 2.0
QUIET_S = 50.0
CONFIRM_INTERVAL_S = 5.0
STAND_IN_SPACING_S = 20.0
STAND_IN_TRIAL_S = 10.0


class WatcherSelection:
    """Says whether this host watches the platform.

    The first two hosts of the failure domain, ranked by rendezvous hashing
    over those alive, do. When no answer of the platform to any host of the
    domain was heard of for a while, the others try too, each after a random
    time that grows with the domain, so that the domain's calls do not.

    Args:
        members: The other hosts.
        timers: The timer service.
        generator: The source of randomness.
        outbox: Where messages to other hosts go.
    """

    def __init__(
        self, members: Members, timers: Timers, generator: Random, outbox: Outbox
    ) -> None:
        self._members = members
        self._timers = timers
        self._generator = generator
        self._outbox = outbox
        self._callbacks: list[Callable[[bool], None]] = []
        self._domain = members.find_domain(members.host)
        self._peers: list[str] = []
        self._is_stale = True
        self._is_chosen = False
        self._chosen_s = 0.0
        self._on = False
        self._seen_s = timers.now()
        self._ranked_seen_s = timers.now()
        self._told_s = -CONFIRM_INTERVAL_S
        self._try_at_s: float | None = None
        self._try_until_s = 0.0

    def start(self) -> None:
        """Begin to decide, once a second."""
        self._seen_s = self._ranked_seen_s = self._timers.now()
        self._members.subscribe(self._on_member)
        self._rank()
        self._timers.subscribe(TICK_S, self._tick)

    def is_watching(self) -> bool:
        """Return whether this host watches the platform now."""
        return self._on

    def subscribe(self, callback: Callable[[bool], None]) -> None:
        """Call back whenever this host begins or ends to watch."""
        self._callbacks.append(callback)

    def record_response(self) -> None:
        """Note an answer of the platform, and tell the domain's hosts."""
        now_s = self._timers.now()
        if self._on and not self._is_ranked():
            self._try_until_s = now_s + QUIET_S
        if now_s - self._told_s < CONFIRM_INTERVAL_S:
            return
        self._told_s = now_s
        self._note_seen(self._is_ranked())
        for host in self._peers:
            self._outbox.send(host, PlatformReachable(self._is_ranked()))

    def handle(self, sender: str, message: Any) -> None:
        """Handle a ``PlatformReachable`` message of another host."""
        self._note_seen(message.ranked)

    def _note_seen(self, ranked: bool) -> None:
        self._seen_s = self._timers.now()
        if ranked:
            self._ranked_seen_s = self._seen_s

    def _on_member(self, host: str, state: MemberState) -> None:
        if self._members.find_domain(host) == self._domain:
            self._is_stale = True

    def _rank(self) -> None:
        self._is_stale = False
        alive = self._members.list_alive()
        inside = [h for h in alive if self._members.find_domain(h) == self._domain]
        ranked = rank_candidates(f"watch|{self._domain}", inside)
        self._peers = [host for host in inside if host != self._members.host]
        chosen = self._members.host in ranked[:WATCHERS]
        if chosen and not self._is_chosen:
            self._chosen_s = self._timers.now()
        self._is_chosen = chosen

    def _is_ranked(self) -> bool:
        settled = self._timers.now() - self._chosen_s >= SETTLE_S
        return self._is_chosen and settled

    def _tick(self) -> None:
        if self._is_stale:
            self._rank()
        self._plan_trial()
        now_s = self._timers.now()
        on = self._is_ranked() or now_s < self._try_until_s
        if on != self._on:
            self._on = on
            log_message("configuration:watch", on=on, ranked=self._is_ranked())
            for callback in list(self._callbacks):
                callback(on)

    def _plan_trial(self) -> None:
        """Try the platform after a random time while nobody reaches it."""
        now_s = self._timers.now()
        if now_s - self._ranked_seen_s < QUIET_S:
            self._try_until_s = min(self._try_until_s, now_s)
        if self._is_chosen or now_s - self._seen_s < QUIET_S:
            self._try_at_s = None
        elif self._try_at_s is None and now_s >= self._try_until_s:
            spread_s = STAND_IN_SPACING_S * (1 + len(self._peers))
            self._try_at_s = now_s + self._generator.uniform(0.0, spread_s)
        elif self._try_at_s is not None and now_s >= self._try_at_s:
            self._try_at_s = None
            self._try_until_s = now_s + STAND_IN_TRIAL_S
