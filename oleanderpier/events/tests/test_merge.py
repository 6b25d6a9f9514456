"""Tests of the merged time line under skewed wall clocks."""

import random
from typing import NamedTuple

from testtools import TestCase

from oleanderpier.events import (
    Clock,
    Event,
    EventBuffer,
    ReorderBuffer,
    Stamp,
    merge_events,
)
from oleanderpier.utils import ManualTimers

HOSTS = 5
STEPS = 200
ROUNDS = 4
STEPS_BETWEEN_READS = 30
SCHEDULES = 40
MAX_SKEW_S = 30.0


class CausedEvent(NamedTuple):
    """An event and the events that may have caused it."""

    event: Event
    causes: frozenset


class SkewedTimers(ManualTimers):
    """A manual timer service with an adjustable skew of its wall clock."""

    skew_s = 0.0

    def wall(self):
        """Return the wall clock with its skew."""
        return super().wall() + self.skew_s


class Schedule:
    """A random run of hosts that record events and exchange stamped messages."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.timers = [SkewedTimers() for _ in range(HOSTS)]
        self.clocks = [Clock(timers) for timers in self.timers]
        self.buffers = [
            EventBuffer(f"h{index}", 1, clock, timers, capacity=STEPS)
            for index, (clock, timers) in enumerate(
                zip(self.clocks, self.timers, strict=True)
            )
        ]
        self.known_events = [frozenset() for _ in range(HOSTS)]
        self.in_transit = []
        self.last_read = [0] * HOSTS
        self.caused_events = []

    def run(self):
        """Run random steps and return the events with their causes."""
        for host in range(HOSTS):
            self.set_wall_clock(host)
        self.run_steps(STEPS)
        return self.caused_events

    def run_steps(self, count):
        """Run random steps."""
        for _ in range(count):
            step = self.random.choice(
                (self.record, self.send, self.deliver, self.set_wall_clock)
            )
            step(self.random.randrange(HOSTS))
            for timers in self.timers:
                timers.advance(0.01)

    def read_hosts(self):
        """Read the new events of each host in turn, with random steps in between."""
        tails = []
        for host in range(HOSTS):
            self.run_steps(STEPS_BETWEEN_READS)
            tails.append(self.buffers[host].list_after(self.last_read[host]))
            self.last_read[host] = tails[-1].last
        return tails

    def record(self, host):
        """Record an event on a host."""
        event = self.buffers[host].record("test:event", "subject")
        self.caused_events.append(CausedEvent(event, self.known_events[host]))
        self.known_events[host] |= {event}

    def send(self, host):
        """Send a message from a host."""
        self.in_transit.append((self.clocks[host].tick(), self.known_events[host]))

    def deliver(self, host):
        """Deliver a random message that is in transit to a host."""
        if self.in_transit:
            stamp, known = self.in_transit.pop(
                self.random.randrange(len(self.in_transit))
            )
            self.clocks[host].observe(stamp)
            self.known_events[host] |= known

    def set_wall_clock(self, host):
        """Set a host's wall clock back or forward."""
        self.timers[host].skew_s = self.random.uniform(-MAX_SKEW_S, MAX_SKEW_S)


def count_violations(caused_events, order):
    """Return how many events precede a cause, or lack one, in an order."""
    positions = {event: index for index, event in enumerate(order)}
    missing = len(order)
    return sum(
        any(
            positions.get(cause, missing) > positions[each.event]
            for cause in each.causes
        )
        for each in caused_events
    )


def merge_by_wall_clock(lists):
    """Baseline: return the events in order of the wall clocks."""
    return sorted(
        (event for events in lists for event in events), key=lambda e: e.wall_s
    )


class MergeEventsTest(TestCase):
    """In the merged time line no effect precedes its cause."""

    def test_order_is_causal_under_clock_skew(self):
        """The order is causal in schedules where that of the wall clocks is not."""
        broken_baselines = 0
        for seed in range(SCHEDULES):
            schedule = Schedule(seed)
            caused_events = schedule.run()
            lists = [buffer.list_after(0).events for buffer in schedule.buffers]
            merged = merge_events(lists)
            self.assertEqual(len(caused_events), len(merged))
            self.assertEqual(0, count_violations(caused_events, merged), f"seed {seed}")
            self.assertEqual(merged, merge_events(reversed(lists)))
            baseline = merge_by_wall_clock(lists)
            broken_baselines += count_violations(caused_events, baseline) > 0
        self.assertEqual(SCHEDULES, broken_baselines)

    def test_reorder_buffer_keeps_causal_order(self):
        """The order is causal although hosts are read one after the other."""
        broken_baselines = 0
        for seed in range(SCHEDULES):
            schedule, reorder_buffer = Schedule(seed), ReorderBuffer()
            released, batches = [], []
            for _ in range(ROUNDS):
                tails = schedule.read_hosts()
                batch = [event for tail in tails for event in tail.events]
                horizon = min(tail.horizon for tail in tails)
                released += reorder_buffer.release(batch, horizon)
                batches += merge_events([batch])
            shown = set(released)
            caused_events = [
                each for each in schedule.caused_events if each.event in shown
            ]
            self.assertEqual(
                0, count_violations(caused_events, released), f"seed {seed}"
            )
            self.assertGreater(len(released), 0)
            read = [each for each in schedule.caused_events if each.event in batches]
            broken_baselines += count_violations(read, batches) > 0
        self.assertGreater(broken_baselines, 0)

    def test_duplicate_is_merged_once(self):
        """An event that is in two lists is returned once."""
        timers = ManualTimers()
        buffer = EventBuffer("h1", 1, Clock(timers), timers, capacity=10)
        events = [buffer.record("test:event", str(number)) for number in range(4)]
        self.assertEqual(events, merge_events([events[:3], events[1:]]))


class ClockTest(TestCase):
    """Stamps increase, and stay near the hosts' wall clocks."""

    def test_stamps_rise_when_wall_clock_steps_back(self):
        """A stamp is greater than all earlier ones after a step of the wall clock."""
        timers = SkewedTimers()
        clock = Clock(timers)
        before = clock.tick()
        timers.skew_s = -3600.0
        self.assertGreater(clock.tick(), before)
        self.assertGreater(clock.observe(Stamp(0, 99)), before)

    def test_time_stays_within_skew_of_wall_clocks(self):
        """A stamp's time lies between the host's and the latest wall clock."""
        schedule = Schedule(seed=1)
        caused_events = schedule.run()
        end_us = (schedule.timers[0]._wall_offset_s + STEPS * 0.01 + MAX_SKEW_S) * 1e6
        for event in (each.event for each in caused_events):
            self.assertGreaterEqual(event.stamp.time_us, int(event.wall_s * 1e6))
            self.assertLessEqual(event.stamp.time_us, end_us)
