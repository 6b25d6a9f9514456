"""Streams without progress, with a manual clock."""

from testtools import TestCase

from oleanderpier.relay import (
    EventSequence,
    Phase,
    RelaySettings,
    Step,
    StreamWatchdog,
    StreamWatchdogs,
    compute_watchdog_limits,
)
from oleanderpier.utils import ManualTimers

SETTINGS = RelaySettings()
FAST_CLASS = {"first_token_s": 1.6, "whole_s": 30.0}


class FakeCaller:
    """A caller's connection whose state the test sets."""

    def __init__(self) -> None:
        self.gone = False
        self.unsent_bytes = 0
        self.heartbeat_count = 0

    def is_gone(self) -> bool:
        """Return whether the connection is closed."""
        return self.gone

    def count_unsent_bytes(self) -> int:
        """Return the number of unsent bytes."""
        return self.unsent_bytes

    def send_heartbeat(self) -> None:
        """Count a heartbeat."""
        self.heartbeat_count += 1


class StreamWatchdogTest(TestCase):
    """Which side is found to make no progress, and when."""

    def setUp(self):
        """Watch one stream."""
        super().setUp()
        self.timers = ManualTimers()
        self.caller = FakeCaller()
        self.sequence = EventSequence("r")
        self.interrupt_times = []
        self.silence_times = []
        self.watchdog = StreamWatchdog(
            compute_watchdog_limits(SETTINGS, FAST_CLASS),
            FAST_CLASS["whole_s"],
            self.sequence,
            self.caller,
            lambda: self.interrupt_times.append(self.timers.now()),
            lambda: self.silence_times.append(self.timers.now()),
        )
        self.watchdogs = StreamWatchdogs(self.timers, SETTINGS.check_interval_s)
        self.watchdogs.add(self.watchdog)
        self.watchdogs.start()

    def advance(self, seconds: float, before_tick=lambda: None) -> None:
        """Advance the clock tick by tick and call a function before each."""
        for _ in range(round(seconds / SETTINGS.check_interval_s)):
            before_tick()
            self.timers.advance(SETTINGS.check_interval_s)

    def receive_bytes(self) -> None:
        """Act as if the engine had sent bytes."""
        self.watchdog.read_count += 1

    def test_stop_interrupts_in_every_phase_but_writing(self):
        """A response that is writing is interrupted once it has written."""
        for phase in (Phase.PLACING, Phase.OPENING, Phase.READING):
            self.watchdog.phase = phase
            self.watchdogs.end_all()
            self.assertIs(Step.STOPPED, self.watchdog.pop_interruption())
        self.watchdog.phase = Phase.WRITING
        self.watchdogs.end_all()
        self.assertIsNone(self.watchdog.pop_interruption())
        self.watchdog.phase = Phase.READING
        self.advance(SETTINGS.check_interval_s)
        self.assertIs(Step.STOPPED, self.watchdog.pop_interruption())

    def test_silent_engine_is_detected_within_half_of_target(self):
        """Silence is found before half of the target, but after 2 heartbeats."""
        for phase in (Phase.OPENING, Phase.READING):
            self.watchdog.phase = phase
            start_s = self.timers.now()
            self.advance(0.8)
            detection_s = self.silence_times.pop() - start_s
            self.assertGreater(detection_s, 2 * SETTINGS.engine_heartbeat_interval_s)
            self.assertLessEqual(detection_s, FAST_CLASS["first_token_s"] / 2)
            self.assertTrue(self.watchdog.interrupt_for_silence())
            self.assertEqual(Step.SILENT, self.watchdog.pop_interruption())

    def test_silence_alone_does_not_interrupt_before_the_deadline(self):
        """It is reported again and again; at the deadline the response ends."""
        self.watchdog.phase = Phase.READING
        self.advance(FAST_CLASS["whole_s"] - 1.0)
        self.assertEqual([], self.interrupt_times)
        self.assertGreater(len(self.silence_times), 20)
        self.advance(1.0 + SETTINGS.check_interval_s)
        self.assertEqual(Step.SILENT, self.watchdog.pop_interruption())

    def test_engine_that_goes_on_is_no_longer_silent(self):
        """Neither is the engine of a new attempt, before it has sent anything."""
        self.watchdog.phase = Phase.OPENING
        self.advance(1.0)
        self.assertTrue(self.watchdog.is_engine_silent())
        self.watchdog.start_attempt()
        self.assertFalse(self.watchdog.interrupt_for_silence())
        self.watchdog.phase = Phase.READING
        self.advance(1.0)
        self.receive_bytes()
        self.assertFalse(self.watchdog.interrupt_for_silence())
        self.assertEqual([], self.interrupt_times)

    def test_heartbeats_prevent_interruption_until_deadline(self):
        """Heartbeats suffice before the deadline; after it the step is TOO_LATE."""
        self.watchdog.phase = Phase.READING
        for _ in range(90):
            self.receive_bytes()
            self.advance(0.3)
        self.assertEqual([], self.interrupt_times)
        self.advance(5.0, self.receive_bytes)
        self.assertEqual(Step.TOO_LATE, self.watchdog.pop_interruption())

    def test_events_prevent_interruption_after_deadline(self):
        """A response that still receives events is not cut after the deadline."""

        def receive_event() -> None:
            self.receive_bytes()
            self.sequence.next_offset += 1

        self.watchdog.phase = Phase.READING
        self.advance(60.0, receive_event)
        self.assertEqual([], self.interrupt_times)

    def test_caller_that_reads_nothing_is_stuck(self):
        """While a write is blocked the caller counts as stuck, not the engine."""
        self.watchdog.phase = Phase.WRITING
        self.caller.unsent_bytes = 50_000
        self.advance(SETTINGS.max_caller_stall_s - 1.0)
        self.caller.unsent_bytes -= 1
        self.advance(SETTINGS.max_caller_stall_s - 1.0)
        self.assertEqual([], self.interrupt_times)
        self.advance(2.0)
        self.assertEqual(Step.CALLER_STUCK, self.watchdog.pop_interruption())

    def test_trickling_caller_is_stuck_after_deadline(self):
        """Single bytes count as progress of a caller only before the deadline."""

        def trickle() -> None:
            self.caller.unsent_bytes -= 1

        self.watchdog.phase = Phase.WRITING
        self.caller.unsent_bytes = 50_000
        self.advance(FAST_CLASS["whole_s"] - 1.0, trickle)
        self.assertEqual([], self.interrupt_times)
        self.advance(SETTINGS.max_caller_stall_s + 2.0, trickle)
        self.assertEqual(Step.CALLER_STUCK, self.watchdog.pop_interruption())

    def test_closed_connection_is_reported_once(self):
        """A closed connection interrupts the response once, at the next tick."""
        self.caller.gone = True
        self.advance(1.0)
        self.assertEqual(
            (1, Step.CALLER_LEFT),
            (len(self.interrupt_times), self.watchdog.interruption),
        )

    def test_waiting_for_permit_ends_at_deadline(self):
        """Without a permit the caller gets heartbeats, but only until the deadline."""
        self.advance(FAST_CLASS["whole_s"] - 1.0)
        self.assertEqual([], self.interrupt_times)
        self.advance(2.0)
        self.assertEqual(Step.TOO_LATE, self.watchdog.pop_interruption())
        self.assertGreaterEqual(self.caller.heartbeat_count, 25)

    def test_paused_process_reports_no_silence(self):
        """After a pause of 25 s only one tick is due, which is no silence."""
        self.watchdog.phase = Phase.READING
        self.advance(0.2)
        self.timers._now_s += 25.0
        self.timers.advance(SETTINGS.check_interval_s)
        self.receive_bytes()
        self.advance(0.3)
        self.assertEqual([], self.interrupt_times)
