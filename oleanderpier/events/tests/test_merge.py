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


class Fact(NamedTuple):
    """An event and the true set of events that it may depend on."""

    event: Event
    causes: frozenset


class SkewedTimers(ManualTimers):
    """A timer service whose wall clock can be set."""

    skew_s = 0.0

    def wall(self):
        """Return the wall clock with its skew."""
        return super().wall() + self.skew_s


class Schedule:
    """Hosts that record events and send each other stamped messages."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.timers = [SkewedTimers() for _ in range(HOSTS)]
        self.clocks = [Clock(timers) for timers in self.timers]
        self.rings = [
            EventBuffer(f"h{index}", 1, clock, timers, capacity=STEPS)
            for index, (clock, timers) in enumerate(
                zip(self.clocks, self.timers, strict=True)
            )
        ]
        self.known = [frozenset() for _ in range(HOSTS)]
        self.sent = []
        self.read = [0] * HOSTS
        self.facts = []

    def run(self):
        """Take random steps and return what happened."""
        for host in range(HOSTS):
            self.jump(host)
        self.take_steps(STEPS)
        return self.facts

    def take_steps(self, count):
        """Take random steps."""
        for _ in range(count):
            step = self.random.choice((self.record, self.send, self.deliver, self.jump))
            step(self.random.randrange(HOSTS))
            for timers in self.timers:
                timers.advance(0.01)

    def read_hosts(self):
        """Read the new events of one host after the other, with steps between."""
        tails = []
        for host in range(HOSTS):
            self.take_steps(STEPS_BETWEEN_READS)
            tails.append(self.rings[host].list_after(self.read[host]))
            self.read[host] = tails[-1].last
        return tails

    def record(self, host):
        """Record an event on a host."""
        event = self.rings[host].record("test:event", "subject")
        self.facts.append(Fact(event, self.known[host]))
        self.known[host] |= {event}

    def send(self, host):
        """Put a message of a host on its way."""
        self.sent.append((self.clocks[host].tick(), self.known[host]))

    def deliver(self, host):
        """Let any message on its way arrive, in any order."""
        if self.sent:
            stamp, known = self.sent.pop(self.random.randrange(len(self.sent)))
            self.clocks[host].observe(stamp)
            self.known[host] |= known

    def jump(self, host):
        """Set a host's wall clock, back as well as forth."""
        self.timers[host].skew_s = self.random.uniform(-MAX_SKEW_S, MAX_SKEW_S)


def count_violations(facts, order):
    """Return how many events stand before, or without, one they may depend on."""
    place = {event: index for index, event in enumerate(order)}
    missing = len(order)
    return sum(
        any(place.get(cause, missing) > place[fact.event] for cause in fact.causes)
        for fact in facts
    )


def merge_by_wall_clock(lists):
    """Return the events by wall clock alone, the baseline."""
    return sorted((event for each in lists for event in each), key=lambda e: e.wall_s)


class MergeEventsTest(TestCase):
    """The merged time line never shows an effect before its cause."""

    def test_causal_order(self):
        """Schedules that break an order by wall clock keep this one."""
        broken_baselines = 0
        for seed in range(SCHEDULES):
            schedule = Schedule(seed)
            facts = schedule.run()
            lists = [ring.list_after(0).events for ring in schedule.rings]
            merged = merge_events(lists)
            self.assertEqual(len(facts), len(merged))
            self.assertEqual(0, count_violations(facts, merged), f"seed {seed}")
            self.assertEqual(merged, merge_events(reversed(lists)))
            baseline = merge_by_wall_clock(lists)
            broken_baselines += count_violations(facts, baseline) > 0
        self.assertEqual(SCHEDULES, broken_baselines)

    def test_rounds_of_reading(self):
        """Hosts that are read one after the other still show causes first."""
        broken_baselines = 0
        for seed in range(SCHEDULES):
            schedule, buffer = Schedule(seed), ReorderBuffer()
            released, batches = [], []
            for _ in range(ROUNDS):
                tails = schedule.read_hosts()
                batch = [event for tail in tails for event in tail.events]
                horizon = min(tail.horizon for tail in tails)
                released += buffer.release(batch, horizon)
                batches += merge_events([batch])
            shown = set(released)
            facts = [fact for fact in schedule.facts if fact.event in shown]
            self.assertEqual(0, count_violations(facts, released), f"seed {seed}")
            self.assertGreater(len(released), 0)
            read = [fact for fact in schedule.facts if fact.event in batches]
            broken_baselines += count_violations(read, batches) > 0
        self.assertGreater(broken_baselines, 0)

    def test_duplicates(self):
        """An event that two lists hold is taken once."""
        timers = ManualTimers()
        ring = EventBuffer("h1", 1, Clock(timers), timers, capacity=10)
        events = [ring.record("test:event", str(number)) for number in range(4)]
        self.assertEqual(events, merge_events([events[:3], events[1:]]))


class ClockTest(TestCase):
    """Stamps rise, and stay near the wall clocks that have met."""

    def test_stamps_rise_when_the_wall_clock_steps_back(self):
        """A stamp is above all before, whatever the wall clock does."""
        timers = SkewedTimers()
        clock = Clock(timers)
        before = clock.tick()
        timers.skew_s = -3600.0
        self.assertGreater(clock.tick(), before)
        self.assertGreater(clock.observe(Stamp(0, 99)), before)

    def test_time_follows_the_wall_clock(self):
        """A stamp's time is above every wall clock seen, by no skew of its own."""
        schedule = Schedule(seed=1)
        facts = schedule.run()
        end_us = (schedule.timers[0]._wall_offset + STEPS * 0.01 + MAX_SKEW_S) * 1e6
        for event in (fact.event for fact in facts):
            self.assertGreaterEqual(event.stamp.time_us, int(event.wall_s * 1e6))
            self.assertLessEqual(event.stamp.time_us, end_us)
