"""Decides which connections, bodies and responses of callers have room in a process.

It answers this load pattern: hundreds of clients send bodies or header sections that
stop short of their end, or do not read their responses, while ordinary callers send
small requests. What has made no progress, and what takes the most, is given up first.

All times are arguments, in seconds on one monotonic clock.
"""

import itertools
from collections.abc import Callable, Iterable
from enum import IntEnum
from typing import Any, NamedTuple

__all__ = [
    "BodyRoom",
    "BodySpace",
    "CallerBounds",
    "ConnectionState",
    "ConnectionUse",
    "ResponseRoom",
    "derive_bounds",
    "pick_closable",
]

MIB = 1 << 20
# Without limits in the settings: those of the smallest known machine.
DEFAULT_MEMORY_MB = 152
DEFAULT_MAX_FDS = 1535
# Large responses that are being sent if the memory of the machine is unknown: 17 of
# 15 MB, as sound callers of some deployments read that late.
DEFAULT_RESPONSE_BYTES = 256 * MIB
# The most that is buffered of responses that are received, and the default. The least
# is the largest response, 16 MB.
MAX_RESPONSE_BYTES = 32 * MIB
MIN_RESPONSE_BYTES = 16 * MIB
# Descriptors of a machine that are not this process's own.
RESERVED_FDS = 200
# Memory of a process without callers, 50 to 60 MB, with room for what its requests
# take beside their bodies.
BASE_MEMORY_MB = 88
# A quarter of the rest for bodies, and as much for responses that are being sent.
MEMORY_SHARE = 0.25
# Bounds of both. The lower one has room for a body of 4 MB beside small ones, the upper
# one for 1,000 bodies of 64 KB.
MIN_ROOM_BYTES = 8 * MIB
MAX_ROOM_BYTES = 64 * MIB
# Memory of a connection with large heads that wait behind a request in progress.
CONNECTION_BYTES = 100 << 10
# Shares of the descriptors. Each connection of a caller may have one to a server. The
# rest, 22 in 100, is for peers, the store and files.
LISTENER_SHARES = {"callers": 0.32, "directory": 0.08, "ready": 0.04, "metrics": 0.02}
MIN_CONNECTIONS = 8
# Bodies up to this size are small: ordinary ones have 12 KB.
SMALL_BODY_BYTES = 64 << 10
# The others take at most this share of the room together.
LARGE_BODY_SHARE = 0.75
# A body without progress for this long is given up before others. Ordinary ones arrive
# in a few round trips.
STALLED_BODY_S = 1.0
# A connection whose body or response is not finished after this time may be closed if
# there are too many. 4 MB take 0.4 s at a latency of 1.4 ms.
SLOW_S = 2.0
# A response that has been sent for this long may be aborted if others need its room.
# Sound callers read up to 3 s late.
SLOW_RESPONSE_S = 4.0


class CallerBounds(NamedTuple):
    """The limits of one process on what callers may take of it.

    Attributes:
        body_bytes: Sum of the bodies of all requests in progress.
        received_bytes: Sum of what is buffered of servers' responses.
        response_bytes: Sum of the large responses that are being sent.
        connections: Number of open connections by the name of the listener.
    """

    body_bytes: int
    received_bytes: int
    response_bytes: int
    connections: dict[str, int]


def derive_bounds(memory_mb: float | None, max_fds: float | None) -> CallerBounds:
    """Return the limits of a process on a machine.

    Args:
        memory_mb: The memory of the machine in MB; None if it is unknown.
        max_fds: The number of descriptors of the machine; None if it is unknown.

    Examples:
        >>> bounds = derive_bounds(152, 1535)
        >>> bounds.body_bytes >> 20, bounds.connections["callers"]
        (16, 427)
    """
    spare_bytes = ((memory_mb or DEFAULT_MEMORY_MB) - BASE_MEMORY_MB) * MIB
    room_bytes = int(spare_bytes * MEMORY_SHARE)
    room_bytes = min(MAX_ROOM_BYTES, max(MIN_ROOM_BYTES, room_bytes))
    usable_fds = (max_fds or DEFAULT_MAX_FDS) - RESERVED_FDS
    by_memory = int(spare_bytes // CONNECTION_BYTES)
    connections = {
        name: max(MIN_CONNECTIONS, min(by_memory, int(share * usable_fds)))
        for name, share in LISTENER_SHARES.items()
    }
    received_bytes, sent_bytes = MAX_RESPONSE_BYTES, DEFAULT_RESPONSE_BYTES
    if memory_mb:
        received_bytes = min(received_bytes, max(MIN_RESPONSE_BYTES, room_bytes))
        sent_bytes = received_bytes
    return CallerBounds(room_bytes, received_bytes, sent_bytes, connections)


class ConnectionUse(IntEnum):
    """What a connection is used for, in the order of closing.

    Attributes:
        SLOW: A request whose body or response has made slow progress.
        UNUSED: No byte of a request has come yet.
        HEAD: A part of a head has come.
        IDLE: Its requests have been answered.
        AHEAD: A request is in progress, and as many as are read ahead wait behind it.
        BUSY: A request is in progress; it is never closed.
    """

    SLOW = 0
    UNUSED = 1
    HEAD = 2
    IDLE = 3
    AHEAD = 4
    BUSY = 5


class ConnectionState(NamedTuple):
    """An open connection.

    Attributes:
        use: What it is used for.
        since_s: Since when.
        connection: The connection.
    """

    use: ConnectionUse
    since_s: float
    connection: Any


def pick_closable(states: Iterable[ConnectionState], count: int) -> list[Any]:
    """Return the connections to close so that there is room for others.

    Args:
        states: The open connections.
        count: The number of connections to close, if there are as many to choose from.

    Examples:
        >>> states = [
        ...     ConnectionState(ConnectionUse.BUSY, 0.0, "busy"),
        ...     ConnectionState(ConnectionUse.IDLE, 1.0, "idle"),
        ...     ConnectionState(ConnectionUse.UNUSED, 2.0, "unused"),
        ... ]
        >>> pick_closable(states, 1)
        ['unused']
    """
    closable = [state for state in states if state.use is not ConnectionUse.BUSY]
    closable.sort(key=lambda state: state[:2])
    return [state.connection for state in closable[:count]]


class BodySpace:
    """The room that the body of one request takes.

    Args:
        room: The room of the process.
        on_evicted: Called if the body is given up; the request has to be refused.
        now_s: The time.

    Attributes:
        size: The reserved bytes.
        progress_s: When a part of the body came last.
        is_whole: Whether the body has come whole, so that it is not given up.
        is_evicted: Whether it was given up.
    """

    def __init__(
        self, room: "BodyRoom", on_evicted: Callable[[], None], now_s: float
    ) -> None:
        self.size = 0
        self.progress_s = now_s
        self.is_whole = False
        self.is_evicted = False
        self._room = room
        self._on_evicted = on_evicted

    def reserve(self, size: int, now_s: float) -> bool:
        """Reserve room for the first bytes of the body.

        Args:
            size: Their number, counted from the beginning of the body.
            now_s: The time.

        Returns:
            Whether there is room. If not, the request has to be refused.
        """
        return not self.is_evicted and self._room.resize(self, size, now_s)

    def evict(self) -> None:
        """Give the body up."""
        self.close()
        self.is_evicted = True
        self._on_evicted()

    def close(self) -> None:
        """Free the room; further calls have no effect."""
        self._room.remove(self)


class BodyRoom:
    """The room for the bodies of all requests in progress.

    A body that has no room takes that of unfinished bodies: first of those without
    progress, then of those larger than itself, in each case of the largest first.

    Args:
        max_bytes: Upper bound of their sum.

    Attributes:
        total_bytes: Their sum.
        refused: How often a body had no room.
        evicted: How many bodies were given up.

    Examples:
        >>> room = BodyRoom(100)
        >>> large = room.open(lambda: print("evicted"), 0.0)
        >>> large.reserve(80, 0.0)
        True
        >>> room.open(lambda: None, 0.0).reserve(30, 0.0)
        evicted
        True
    """

    def __init__(self, max_bytes: int) -> None:
        self.total_bytes = 0
        self.refused = 0
        self.evicted = 0
        self._max_bytes = max_bytes
        self._max_large_bytes = int(LARGE_BODY_SHARE * max_bytes)
        self._large_bytes = 0
        self._used: set[BodySpace] = set()

    def open(self, on_evicted: Callable[[], None], now_s: float) -> BodySpace:
        """Return an empty space for a body; see ``BodySpace``."""
        return BodySpace(self, on_evicted, now_s)

    def resize(self, space: BodySpace, size: int, now_s: float) -> bool:
        """Set the size of a space; see ``BodySpace.reserve``."""
        # A body is served if there is no other, whatever the configuration allows.
        if self._used - {space} and not self._make_room(space, size, now_s):
            self.refused += 1
            return False
        self._set_size(space, size)
        return True

    def remove(self, space: BodySpace) -> None:
        """Free a space."""
        self._set_size(space, 0)

    def _set_size(self, space: BodySpace, size: int) -> None:
        self.total_bytes += size - space.size
        self._large_bytes += _get_large_size(size) - _get_large_size(space.size)
        space.size = size
        if size:
            self._used.add(space)
        else:
            self._used.discard(space)

    def _make_room(self, space: BodySpace, size: int, now_s: float) -> bool:
        """Give bodies up until a space has room; none if that would not do."""
        missing = self.total_bytes - space.size + size - self._max_bytes
        missing_large = (
            self._large_bytes
            - _get_large_size(space.size)
            + _get_large_size(size)
            - self._max_large_bytes
            if size > SMALL_BODY_BYTES
            else 0
        )
        if missing <= 0 and missing_large <= 0:
            return True
        victims = []
        for other in self._list_evictable(space, size, now_s):
            victims.append(other)
            missing -= other.size
            missing_large -= _get_large_size(other.size)
            if missing <= 0 and missing_large <= 0:
                break
        else:
            return False
        self.evicted += len(victims)
        for victim in victims:
            victim.evict()
        return True

    def _list_evictable(
        self, space: BodySpace, size: int, now_s: float
    ) -> list[BodySpace]:
        """Return the bodies that are given up for a space, the first one first."""
        ranked = []
        for other in self._used:
            is_stalled = now_s - other.progress_s >= STALLED_BODY_S
            if other is space or other.is_whole:
                continue
            if is_stalled or other.size > size:
                ranked.append((not is_stalled, -other.size, other.progress_s, other))
        ranked.sort(key=lambda entry: entry[:3])
        return [entry[3] for entry in ranked]


def _get_large_size(size: int) -> int:
    """Return the size of a body if it is large, else 0."""
    return size if size > SMALL_BODY_BYTES else 0


class _SentResponse(NamedTuple):
    size: int
    started_s: float
    abort: Callable[[], None]


class ResponseRoom:
    """The room for large responses that were received whole and are being sent.

    Args:
        max_bytes: Upper bound of their sum, if there is more than one.

    Attributes:
        total_bytes: Their sum.
        aborted: How many were aborted, since others needed their room.
    """

    def __init__(self, max_bytes: int) -> None:
        self.total_bytes = 0
        self.aborted = 0
        self._max_bytes = max_bytes
        self._numbers = itertools.count(1)
        # In the order of their start.
        self._sent: dict[int, _SentResponse] = {}

    def reserve(
        self, size: int, abort: Callable[[], None], now_s: float, *, forced: bool
    ) -> int:
        """Reserve room for a response.

        Args:
            size: Its bytes.
            abort: Called if it is to be aborted, as its caller reads too slowly.
            now_s: The time.
            forced: Whether the response has waited long enough, so that the oldest
                responses are aborted even if their callers have had little time.

        Returns:
            A number for ``release``; 0 if there is no room yet.
        """
        missing = self.total_bytes + size - self._max_bytes
        victims = []
        for number, sent in self._sent.items():
            if missing <= 0 or not (
                forced or now_s - sent.started_s >= SLOW_RESPONSE_S
            ):
                break
            victims.append(number)
            missing -= sent.size
        if missing > 0 and len(victims) < len(self._sent):
            return 0
        for number in victims:
            sent = self._sent[number]
            self.release(number)
            self.aborted += 1
            sent.abort()
        number = next(self._numbers)
        self._sent[number] = _SentResponse(size, now_s, abort)
        self.total_bytes += size
        return number

    def release(self, number: int) -> None:
        """Free the room of a response; further calls have no effect."""
        sent = self._sent.pop(number, None)
        if sent is not None:
            self.total_bytes -= sent.size
