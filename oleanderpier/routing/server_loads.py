"""What backend servers have stated about their load and their speed.

The module addresses these load patterns:

- Machines of uneven speed: work takes longer on some servers at some times, and the
  speed of each changes many times a second.
- Loads that hosts report to each other are 1 to 2 s old, while the responses of a
  server state its load at the time of the response.

All times are arguments, in seconds on the monotonic clock.
"""

from typing import NamedTuple

from oleanderpier.routing.records import ServerEntry

__all__ = [
    "SLOW_FACTOR",
    "SPEED_LIFETIME_S",
    "USUAL_FACTOR",
    "HeardLoad",
    "HeardSpeed",
    "LoadStatement",
    "ServerLoads",
]

# The speeds of the machines change about every 0.6 s. A statement tells nothing of the
# speed afterwards.
SPEED_LIFETIME_S = 0.6
# A server that states this multiple of the usual time, or a higher one, is slow. It is
# no longer slow once it states less than USUAL_FACTOR. Work varies by less than that
# between machines of the same speed.
SLOW_FACTOR = 1.5
USUAL_FACTOR = 1.25


class LoadStatement(NamedTuple):
    """What the head of a response states about the server's load.

    Attributes:
        running: The requests that it runs.
        waiting: The requests that wait for a slot.
        slots: How many requests it runs at a time, 0 if it does not say.
        slow_factor: How long work takes on it now, as a multiple of the usual time;
            None if it does not say.
    """

    running: int
    waiting: int
    slots: int
    slow_factor: float | None = None


class HeardLoad(NamedTuple):
    """A load statement, with the run of the server and the time.

    Attributes:
        born_ms: The start of the server's run, as in ``ServerEntry``.
        heard_s: When this host received it.
        load: The statement.
    """

    born_ms: int
    heard_s: float
    load: LoadStatement


class HeardSpeed(NamedTuple):
    """What a server has stated about its speed, to this host or to another one.

    Attributes:
        born_ms: The start of the server's run, as in ``ServerEntry``.
        heard_s: When it was heard.
        slow_factor: How long work takes on it, as a multiple of the usual time.
    """

    born_ms: int
    heard_s: float
    slow_factor: float


class ServerLoads:
    """The last load statement of each server, and which services are under permits.

    Examples:
        >>> server = ServerEntry("s1", "engine", "10.0.0.7:80", "duluth", False, 5)
        >>> loads = ServerLoads()
        >>> loads.record(server, LoadStatement(3, 0, 16, slow_factor=2.0), now_s=0.0)
        >>> loads.get_slow_factor(server, 0.3)
        1.5
        >>> loads.is_under_permits("engine")
        True
    """

    def __init__(self) -> None:
        self._heard: dict[str, HeardLoad] = {}
        self._speeds: dict[str, HeardSpeed] = {}
        # Those of ``_speeds`` by which a server is slow.
        self._slow: dict[str, HeardSpeed] = {}
        self._with_speeds: set[str] = set()
        self._all_under_permits = False
        self._permits_allowed = True

    def record(self, server: ServerEntry, load: LoadStatement, now_s: float) -> None:
        """Record the load that a server has stated, unless a later run has."""
        known = self._heard.get(server.identity)
        if known is not None and known.born_ms > server.born_ms:
            return
        self._heard[server.identity] = HeardLoad(server.born_ms, now_s, load)
        if load.slow_factor is not None:
            self.record_speed(server, load.slow_factor, now_s)

    def record_speed(
        self, server: ServerEntry, slow_factor: float, heard_s: float
    ) -> None:
        """Record the speed that a server has stated, unless a later one is known.

        Args:
            server: The server.
            slow_factor: How long work takes on it, as a multiple of the usual time.
            heard_s: When this host, or another one, heard it.
        """
        known = self._speeds.get(server.identity)
        if known is not None and known[:2] > (server.born_ms, heard_s):
            return
        speed = HeardSpeed(server.born_ms, heard_s, slow_factor)
        self._speeds[server.identity] = speed
        if slow_factor >= SLOW_FACTOR:
            self._slow[server.identity] = speed
        else:
            self._slow.pop(server.identity, None)
        self._with_speeds.add(server.service)

    def remove_server(self, identity: str) -> None:
        """Remove the statements of a server that is gone or has restarted."""
        self._heard.pop(identity, None)
        self._speeds.pop(identity, None)
        self._slow.pop(identity, None)

    def set_all_under_permits(self, active: bool) -> None:
        """Set whether the configuration puts all of its services under permits.

        It does if one of its services limits the requests to cold servers.
        """
        self._all_under_permits = active

    def allow_permits(self, allowed: bool) -> None:
        """Set whether any service may be under permits, by the host's settings."""
        self._permits_allowed = allowed

    def count_with_speeds(self) -> int:
        """Return how many services have a server that has ever stated its speed."""
        return len(self._with_speeds)

    def states_speed(self, service: str) -> bool:
        """Return whether a server of a service has ever stated its speed."""
        return service in self._with_speeds

    def is_uneven(self, service: str) -> bool:
        """Return whether the servers of a service may differ in speed.

        They do if one of them has stated its speed, or if the configuration limits the
        requests to cold servers.
        """
        return self._all_under_permits or service in self._with_speeds

    def has_uneven(self) -> bool:
        """Return whether any service is known to be uneven; see ``is_uneven``."""
        return self._all_under_permits or bool(self._with_speeds)

    def is_under_permits(self, service: str) -> bool:
        """Return whether requests to a service need a permit of the server's owner."""
        return self._permits_allowed and self.is_uneven(service)

    def get(self, server: ServerEntry) -> HeardLoad | None:
        """Return the last statement of this run of a server, None without one."""
        heard = self._heard.get(server.identity)
        return heard if heard and heard.born_ms == server.born_ms else None

    def get_slow_factor(self, server: ServerEntry, now_s: float) -> float:
        """Return how long work takes on a server, as a multiple of the usual time.

        The speed of a machine changes once in ``SPEED_LIFETIME_S``. The older a
        statement is, the less likely it still holds, and the closer the result is to 1.
        """
        speed = self._speeds.get(server.identity)
        if speed is None or speed.born_ms != server.born_ms:
            return 1.0
        return _compute_factor(speed, now_s)

    def get_speed(self, server: ServerEntry) -> HeardSpeed | None:
        """Return the last speed of this run of a server, None if it stated none."""
        speed = self._speeds.get(server.identity)
        return speed if speed and speed.born_ms == server.born_ms else None

    def is_slow(self, server: ServerEntry, now_s: float) -> bool:
        """Return whether a server is probably still slow."""
        speed = self._slow.get(server.identity)
        return speed is not None and _compute_factor(speed, now_s) >= USUAL_FACTOR

    def list_slow(self, now_s: float) -> set[str]:
        """Return the ids of the servers that are probably still slow."""
        if not self._slow:
            return set()
        return {
            identity
            for identity, speed in self._slow.items()
            if _compute_factor(speed, now_s) >= USUAL_FACTOR
        }


def _compute_factor(speed: HeardSpeed, now_s: float) -> float:
    """Return how long work takes, by a statement that loses its value with time."""
    validity = 1.0 - (now_s - speed.heard_s) / SPEED_LIFETIME_S
    return 1.0 if validity <= 0.0 else 1.0 + (speed.slow_factor - 1.0) * validity
