"""Streams that have stopped moving, with the clock driven by hand."""

from testtools import TestCase

from oleanderpier.relay import (
    EventSequence,
    IdleWatch,
    Phase,
    RelaySettings,
    Step,
    StreamWatch,
    compute_limits,
)
from oleanderpier.utils import ManualTimers

SETTINGS = RelaySettings()
FAST = {"first_token_s": 1.6, "whole_s": 30.0}


class FakeCaller:
    """A caller's connection whose state is set by hand."""

    def __init__(self) -> None:
        self.gone = False
        self.unsent = 0
        self.heartbeats = 0

    def is_gone(self) -> bool:
        """Return whether the connection is closed."""
        return self.gone

    def count_unsent(self) -> int:
        """Return how many bytes wait."""
        return self.unsent

    def send_heartbeat(self) -> None:
        """Count a heartbeat."""
        self.heartbeats += 1


class WatchTest(TestCase):
    """Who is found to have stopped, and when."""

    def setUp(self):
        """Watch one stream."""
        super().setUp()
        self.timers = ManualTimers()
        self.caller = FakeCaller()
        self.sequence = EventSequence("r")
        self.interrupts = []
        self.stream = StreamWatch(
            compute_limits(SETTINGS, FAST),
            FAST["whole_s"],
            self.sequence,
            self.caller,
            lambda: self.interrupts.append(self.timers.now()),
        )
        self.watch = IdleWatch(self.timers, SETTINGS.tick_s)
        self.watch.add(self.stream)
        self.watch.start()

    def advance(self, seconds: float, step=lambda: None) -> None:
        """Move the clock by ticks, with a step before each."""
        for _ in range(round(seconds / SETTINGS.tick_s)):
            step()
            self.timers.advance(SETTINGS.tick_s)

    def read(self) -> None:
        """Let the engine send something."""
        self.stream.reads += 1

    def test_silence_is_found_well_inside_the_target(self):
        """Before half of the first-token target, and not before 2 heartbeats."""
        for phase in (Phase.OPENING, Phase.READING):
            self.stream.phase = phase
            before = self.timers.now()
            self.advance(2.0)
            found_s = self.interrupts.pop() - before
            self.assertGreater(found_s, 2 * SETTINGS.engine_heartbeat_s)
            self.assertLessEqual(found_s, FAST["first_token_s"] / 2)
            self.assertEqual(Step.SILENT, self.stream.take_expiry())

    def test_heartbeats_keep_a_stream(self):
        """A heartbeat every 0.3 s is enough; the deadline blames no engine."""
        self.stream.phase = Phase.READING
        for _ in range(90):
            self.read()
            self.advance(0.3)
        self.assertEqual([], self.interrupts)
        self.advance(5.0, self.read)
        self.assertEqual(Step.TOO_LATE, self.stream.take_expiry())

    def test_events_keep_a_late_stream(self):
        """After the deadline an answer that still moves is not cut."""

        def send() -> None:
            self.read()
            self.sequence.next_offset += 1

        self.stream.phase = Phase.READING
        self.advance(60.0, send)
        self.assertEqual([], self.interrupts)

    def test_caller_who_takes_nothing(self):
        """The caller is blamed, not the engine, while a write is held up."""
        self.stream.phase = Phase.WRITING
        self.caller.unsent = 50_000
        self.advance(SETTINGS.caller_idle_s - 1.0)
        self.caller.unsent -= 1
        self.advance(SETTINGS.caller_idle_s - 1.0)
        self.assertEqual([], self.interrupts)
        self.advance(2.0)
        self.assertEqual(Step.CALLER_STUCK, self.stream.take_expiry())

    def test_trickling_caller_after_the_deadline(self):
        """Single bytes keep a caller only until the deadline."""

        def trickle() -> None:
            self.caller.unsent -= 1

        self.stream.phase = Phase.WRITING
        self.caller.unsent = 50_000
        self.advance(FAST["whole_s"] - 1.0, trickle)
        self.assertEqual([], self.interrupts)
        self.advance(SETTINGS.caller_idle_s + 2.0, trickle)
        self.assertEqual(Step.CALLER_STUCK, self.stream.take_expiry())

    def test_caller_leaves(self):
        """A closed connection is seen at the next tick, once."""
        self.caller.gone = True
        self.advance(1.0)
        self.assertEqual(
            (1, Step.CALLER_LEFT), (len(self.interrupts), self.stream.expired)
        )

    def test_waiting_for_a_permit_ends_at_the_deadline(self):
        """A caller is not kept beyond the class's target without an engine."""
        self.advance(FAST["whole_s"] - 1.0)
        self.assertEqual([], self.interrupts)
        self.advance(2.0)
        self.assertEqual(Step.TOO_LATE, self.stream.take_expiry())
        self.assertGreaterEqual(self.caller.heartbeats, 25)

    def test_paused_process_blames_nobody(self):
        """After a pause of 30 s one tick is due, which is no silence."""
        self.stream.phase = Phase.READING
        self.advance(0.2)
        self.timers._now_s += 25.0
        self.timers.advance(SETTINGS.tick_s)
        self.read()
        self.advance(0.3)
        self.assertEqual([], self.interrupts)
