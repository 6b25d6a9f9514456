"""The directory: which hosts callers are told to use."""

import random
from collections.abc import Callable

from oleanderpier.configuration import Documents, Host
from oleanderpier.membership import Members
from oleanderpier.utils import Timers

__all__ = ["Directory"]

MAX_ADDRESSES = 3
KEPT_S = 1.0
SETTLE_S = 10.0


class Directory:
    """Names hosts that are alive, listed as live, and settled.

    The list is worked out once a second at most, however many callers ask.

    Args:
        host: This host.
        documents: The documents in force.
        members: The hosts that are alive.
        timers: The timer service.
        rng: The source of randomness.
        is_ready: Says whether this host itself serves callers.
    """

    def __init__(
        self,
        host: str,
        documents: Documents,
        members: Members,
        timers: Timers,
        rng: random.Random,
        is_ready: Callable[[], bool],
    ) -> None:
        self._host = host
        self._documents = documents
        self._members = members
        self._timers = timers
        self._rng = rng
        self._is_ready = is_ready
        self._hosts: list[Host] = []
        self._kept_until_s = 0.0

    def choose_hosts(self) -> list[Host]:
        """Return a few hosts for a caller to use, at random."""
        now_s = self._timers.now()
        if now_s >= self._kept_until_s:
            self._hosts = self._list_hosts()
            self._kept_until_s = now_s + KEPT_S
        return self._rng.sample(self._hosts, min(MAX_ADDRESSES, len(self._hosts)))

    def invalidate(self) -> None:
        """Work the list out anew at the next call."""
        self._kept_until_s = 0.0

    def _list_hosts(self) -> list[Host]:
        """Return settled hosts; young ones only while there are no others."""
        published = self._documents.get("hosts")
        if published is None:
            return []
        alive = set(self._members.list_alive())
        hosts = [
            host
            for host in published.body["hosts"]
            if host["state"] == "live" and host["name"] in alive
        ]
        return [host for host in hosts if self._is_settled(host["name"])] or hosts

    def _is_settled(self, host: str) -> bool:
        """Return whether a host has had the time to become ready."""
        if host == self._host:
            return self._is_ready()
        started_s = self._members.find_started(host) or 0
        return self._timers.wall() - started_s > SETTLE_S
