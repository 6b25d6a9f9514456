"""Tests of the decisions which callers have room in a process."""

import random
import time

from testtools import TestCase

from oleanderpier.connections import (
    BodyRoom,
    BodySpace,
    ConnectionState,
    ConnectionUse,
    ResponseRoom,
    derive_bounds,
    pick_closable,
)

MIB = 1 << 20
# An ordinary body.
ORDINARY_BYTES = 12_000
MAX_DECISION_S = 50e-6
SERVER_COUNT = 150


class BoundsTest(TestCase):
    """Ordinary callers do not reach the limits of the smallest machine."""

    def test_ordinary_traffic_has_room(self):
        """600 requests a second take 1 s each, beside a body of 4 MB."""
        room = BodyRoom(derive_bounds(152, 1535).body_bytes)
        large = open_body(room, 0.0)
        self.assertTrue(large.reserve(4 * MIB, 0.0))
        for _ in range(600):
            self.assertTrue(open_body(room, 0.0).reserve(ORDINARY_BYTES, 0.0))
        self.assertFalse(large.is_evicted)

    def test_descriptors_stay_within_the_machine(self):
        """Each connection of a caller may have one to a server."""
        for max_fds in (600, 1535, 65536):
            connections = derive_bounds(552, max_fds).connections
            used = sum(connections.values()) + connections["callers"]
            self.assertLess(used, 0.8 * (max_fds - 200), max_fds)

    def test_bounds_without_limits(self):
        """A small machine has room for a body of 4 MB, too."""
        self.assertEqual(
            derive_bounds(152, 1535).connections, derive_bounds(None, None).connections
        )
        self.assertGreaterEqual(derive_bounds(64, 300).body_bytes, 8 * MIB)


class BodyRoomTest(TestCase):
    """Bodies that make no progress, and the largest, make room for others."""

    def test_stalled_bodies_make_room(self):
        """Bodies of 1 MB stop short; those that come a second later are served."""
        room = BodyRoom(16 * MIB)
        stalled = [open_body(room, 0.0) for _ in range(12)]
        for space in stalled:
            self.assertTrue(space.reserve(MIB, 0.0))
        self.assertFalse(open_body(room, 0.5).reserve(MIB, 0.5))
        self.assertEqual(0, sum(space.is_evicted for space in stalled))
        self.assertTrue(open_body(room, 1.0).reserve(MIB, 1.0))
        self.assertEqual(1, sum(space.is_evicted for space in stalled))

    def test_small_body_takes_the_room_of_the_largest(self):
        """All bodies make progress."""
        room = BodyRoom(8 * MIB)
        spaces = {size: open_body(room, 0.0) for size in (MIB, 2 * MIB, 3 * MIB)}
        for size, space in spaces.items():
            self.assertTrue(space.reserve(size, 0.0))
        small = [open_body(room, 0.1) for _ in range(40)]
        self.assertTrue(all(space.reserve(60_000, 0.1) for space in small))
        self.assertEqual(
            [False, False, True], [space.is_evicted for space in spaces.values()]
        )

    def test_large_bodies_leave_room_for_small_ones(self):
        """Whole bodies are never given up, as their requests may have run."""
        room = BodyRoom(8 * MIB)
        whole = []
        while (space := open_body(room, 0.0)).reserve(MIB, 0.0):
            space.is_whole = True
            whole.append(space)
        self.assertEqual(6, len(whole))
        self.assertTrue(open_body(room, 9.0).reserve(ORDINARY_BYTES, 9.0))
        self.assertFalse(any(space.is_evicted for space in whole))

    def test_nothing_is_given_up_in_vain(self):
        """All unfinished bodies together would not be room enough."""
        room = BodyRoom(8 * MIB)
        whole, stalled = open_body(room, 0.0), open_body(room, 0.0)
        self.assertTrue(whole.reserve(5 * MIB, 0.0))
        whole.is_whole = True
        self.assertTrue(stalled.reserve(MIB, 0.0))
        self.assertFalse(open_body(room, 9.0).reserve(4 * MIB, 9.0))
        self.assertFalse(stalled.is_evicted)

    def test_single_body_is_served(self):
        """The configuration allows larger bodies than the process has room for."""
        room = BodyRoom(MIB)
        self.assertTrue(open_body(room, 0.0).reserve(4 * MIB, 0.0))

    def test_body_that_was_given_up_gets_no_room_again(self):
        """Its request is refused, even if its next part comes before that."""
        room = BodyRoom(8 * MIB)
        stalled = open_body(room, 0.0)
        self.assertTrue(stalled.reserve(6 * MIB, 0.0))
        self.assertTrue(open_body(room, 2.0).reserve(4 * MIB, 2.0))
        self.assertTrue(stalled.is_evicted)
        self.assertFalse(stalled.reserve(7 * MIB, 2.0))
        self.assertEqual(4 * MIB, room.total_bytes)

    def test_room_is_freed(self):
        """Random changes leave no bytes behind."""
        rng = random.Random(1)
        room = BodyRoom(16 * MIB)
        spaces = [open_body(room, 0.0) for _ in range(50)]
        for step in range(2000):
            space = rng.choice(spaces)
            if rng.random() < 0.3:
                space.close()
            else:
                space.reserve(space.size + rng.randrange(1 << 18), step * 0.01)
            self.assertEqual(sum(space.size for space in spaces), room.total_bytes)
            self.assertLessEqual(room.total_bytes, 16 * MIB)
        for space in spaces:
            space.close()
        self.assertEqual(0, room.total_bytes)

    def test_decision_is_fast(self):
        """The room is full, as in an attack."""
        room = BodyRoom(16 * MIB)
        for _ in range(SERVER_COUNT):
            open_body(room, 0.0).reserve(80_000, 0.0)
        open_body(room, 0.0).reserve(4 * MIB, 0.0)
        took_s = []
        for _ in range(200):
            space = open_body(room, 0.5)
            started_s = time.perf_counter()
            space.reserve(70_000, 0.5)
            took_s.append(time.perf_counter() - started_s)
        self.assertLess(sorted(took_s)[100], MAX_DECISION_S)


class ClosableTest(TestCase):
    """Connections of clients that do nothing are closed before others."""

    def test_order(self):
        """Of each kind the oldest comes first; requests in progress go on."""
        uses = [ConnectionUse(number) for number in (5, 4, 3, 2, 1, 0, 0, 3)]
        states = [ConnectionState(use, 9.0 - n, n) for n, use in enumerate(uses)]
        self.assertEqual([6, 5, 4, 3, 7, 2, 1], pick_closable(states, 99))
        self.assertEqual([6, 5], pick_closable(states, 2))


class ResponseRoomTest(TestCase):
    """Responses whose callers do not read make room for others."""

    def setUp(self) -> None:
        """Fill a room with a response at 0 s and one at 0.5 s."""
        super().setUp()
        self.aborted: list[str] = []
        self.room = ResponseRoom(100)
        self.reserve("first", 50, 0.0)
        self.reserve("second", 50, 0.5)

    def reserve(self, name: str, size: int, now_s: float, forced: bool = False) -> int:
        """Reserve room for a response."""
        return self.room.reserve(
            size, lambda: self.aborted.append(name), now_s, forced=forced
        )

    def test_response_waits_for_room(self):
        """The other responses have had little time."""
        self.assertEqual(0, self.reserve("third", 10, 3.9))
        self.assertEqual([], self.aborted)

    def test_slow_response_is_aborted(self):
        """The first one has had four seconds."""
        self.assertNotEqual(0, self.reserve("third", 10, 4.0))
        self.assertEqual(["first"], self.aborted)
        self.assertEqual(60, self.room.total_bytes)

    def test_response_that_has_waited_long_gets_room(self):
        """Others take the room again and again."""
        self.assertNotEqual(0, self.reserve("third", 60, 0.9, forced=True))
        self.assertEqual(["first", "second"], self.aborted)

    def test_single_response_is_sent(self):
        """It is larger than the room."""
        self.assertNotEqual(0, ResponseRoom(10).reserve(99, id, 0.0, forced=False))

    def test_room_is_freed_once(self):
        """The response is released again after it was aborted."""
        number = self.reserve("third", 60, 5.0)
        self.room.release(number)
        self.room.release(number)
        self.assertEqual(0, self.room.total_bytes)


def open_body(room: BodyRoom, now_s: float) -> BodySpace:
    """Return the empty space of a body."""
    return room.open(lambda: None, now_s)
