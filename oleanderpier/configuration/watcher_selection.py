"""Selects the hosts that watch the platform, on each host without coordination."""

from collections.abc import Callable
from random import Random
from typing import Any

from eliot import log_message

from oleanderpier.configuration.messages import PlatformReachable
from oleanderpier.membership.members import Members
from oleanderpier.membership.messages import MemberState
from oleanderpier.utils import Outbox, Timers, rank_candidates

__all__ = ["WatcherSelection"]

# Watchers of each failure domain.
WATCHER_COUNT = 2
DECISION_INTERVAL_S = 1.0
# Time for which a host has to be ranked among the first before it watches, so
# that short changes of the membership cause no calls to the platform.
WATCH_START_DELAY_S = 2.0
# Silence of the platform towards the failure domain after which others try.
PLATFORM_SILENCE_S = 50.0
# Interval between two PlatformReachable messages to the same peer.
REACHABLE_INTERVAL_S = 5.0
# Largest random delay of a substitute, for each host of the domain. A domain of
# any size thus starts about two substitutes in this time.
SUBSTITUTE_SPACING_S = 20.0
SUBSTITUTE_DURATION_S = 10.0


class WatcherSelection:
    """Decides whether this host watches the platform.

    The alive hosts of a failure domain are ranked by rendezvous hashing, and
    the first ``WATCHER_COUNT`` of them are selected. If the platform has
    responded to no host of the domain for ``PLATFORM_SILENCE_S``, the other hosts
    try it as substitutes. Each waits for a random delay that grows with the
    number of hosts, so that the domain's call rate does not. A substitute
    continues while the platform responds to it and to no selected watcher.

    Args:
        members: The membership view.
        timers: The timer service.
        rng: The source of randomness.
        outbox: Sends messages to other hosts.
    """

    def __init__(
        self, members: Members, timers: Timers, rng: Random, outbox: Outbox
    ) -> None:
        self._members = members
        self._timers = timers
        self._rng = rng
        self._outbox = outbox
        self._callbacks: list[Callable[[bool], None]] = []
        self._domain = members.find_domain(members.host)
        self._peers: list[str] = []
        self._needs_ranking = True
        self._is_top_ranked = False
        self._top_ranked_since_s = 0.0
        self._watching = False
        self._last_response_s = timers.now()
        self._last_selected_response_s = timers.now()
        self._last_sent_s = -REACHABLE_INTERVAL_S
        self._substitute_start_s: float | None = None
        self._substitute_until_s = 0.0

    def start(self) -> None:
        """Start to decide, every ``DECISION_INTERVAL_S``."""
        self._last_response_s = self._last_selected_response_s = self._timers.now()
        self._members.subscribe(self._handle_member_state)
        self._rank_hosts()
        self._timers.subscribe(DECISION_INTERVAL_S, self._decide)

    def is_watching(self) -> bool:
        """Return whether this host currently watches the platform."""
        return self._watching

    def subscribe(self, callback: Callable[[bool], None]) -> None:
        """Subscribe to changes of ``is_watching``, passed to the callback."""
        self._callbacks.append(callback)

    def record_response(self) -> None:
        """Record a response of the platform and notify the peers of the domain."""
        now_s = self._timers.now()
        if self._watching and not self._is_selected():
            self._substitute_until_s = now_s + PLATFORM_SILENCE_S
        if now_s - self._last_sent_s < REACHABLE_INTERVAL_S:
            return
        self._last_sent_s = now_s
        self._update_response_times(self._is_selected())
        for host in self._peers:
            self._outbox.send(host, PlatformReachable(self._is_selected()))

    def handle(self, sender: str, message: Any) -> None:
        """Handle a ``PlatformReachable`` message of another host."""
        self._update_response_times(message.sender_is_selected)

    def _update_response_times(self, by_selected: bool) -> None:
        self._last_response_s = self._timers.now()
        if by_selected:
            self._last_selected_response_s = self._last_response_s

    def _handle_member_state(self, host: str, state: MemberState) -> None:
        if self._members.find_domain(host) == self._domain:
            self._needs_ranking = True

    def _rank_hosts(self) -> None:
        self._needs_ranking = False
        alive = self._members.list_alive()
        domain_hosts = [
            h for h in alive if self._members.find_domain(h) == self._domain
        ]
        ranked = rank_candidates(f"watch|{self._domain}", domain_hosts)
        self._peers = [host for host in domain_hosts if host != self._members.host]
        is_top_ranked = self._members.host in ranked[:WATCHER_COUNT]
        if is_top_ranked and not self._is_top_ranked:
            self._top_ranked_since_s = self._timers.now()
        self._is_top_ranked = is_top_ranked

    def _is_selected(self) -> bool:
        start_delay_passed = (
            self._timers.now() - self._top_ranked_since_s >= WATCH_START_DELAY_S
        )
        return self._is_top_ranked and start_delay_passed

    def _decide(self) -> None:
        if self._needs_ranking:
            self._rank_hosts()
        self._schedule_substitution()
        now_s = self._timers.now()
        watching = self._is_selected() or now_s < self._substitute_until_s
        if watching != self._watching:
            self._watching = watching
            log_message("configuration:watch", on=watching, ranked=self._is_selected())
            for callback in list(self._callbacks):
                callback(watching)

    def _schedule_substitution(self) -> None:
        """Start or stop to watch as a substitute for the selected hosts.

        A substitute starts after a random delay while the platform responds to no host
        of the domain, and stops once it responds to a selected watcher.
        """
        now_s = self._timers.now()
        if now_s - self._last_selected_response_s < PLATFORM_SILENCE_S:
            self._substitute_until_s = min(self._substitute_until_s, now_s)
        if self._is_top_ranked or now_s - self._last_response_s < PLATFORM_SILENCE_S:
            self._substitute_start_s = None
        elif self._substitute_start_s is None and now_s >= self._substitute_until_s:
            max_delay_s = SUBSTITUTE_SPACING_S * (1 + len(self._peers))
            self._substitute_start_s = now_s + self._rng.uniform(0.0, max_delay_s)
        elif self._substitute_start_s is not None and now_s >= self._substitute_start_s:
            self._substitute_start_s = None
            self._substitute_until_s = now_s + SUBSTITUTE_DURATION_S
