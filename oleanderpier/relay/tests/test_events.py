"""Whatever arrives, only the next whole events of the answer are returned."""

import random

from testtools import TestCase

from oleanderpier.relay import EventFault, EventSequence, format_end, format_event

TOTAL = 12
REQUEST = "r:1"
WHOLE = [format_event(REQUEST, offset, f"t{offset}\n\n") for offset in range(TOTAL)]
END = format_end(REQUEST, TOTAL, 3)
FOREIGN = format_event("r:2", 0, "not yours")


def feed(sequence: EventSequence, data: bytes, sizes: list[int]) -> bytes:
    """Return what a sequence makes of bytes that arrive in pieces."""
    ready = b""
    for size in sizes:
        ready += sequence.accept(data[:size])
        data = data[size:]
    return ready + sequence.accept(data)


def shuffle_events(generator: random.Random) -> list[bytes]:
    """Return the answer's events with faults of every kind strewn in."""
    events = [*WHOLE, END]
    for _ in range(generator.randrange(6)):
        place = generator.randrange(len(events))
        change = generator.randrange(5)
        if change == 0:
            events.insert(place, generator.choice(events))
        elif change == 1:
            events.insert(place, FOREIGN)
        elif change == 2:
            events.insert(generator.randrange(len(events)), events.pop(place))
        elif change == 3:
            events.insert(place, b": heartbeat\n\n")
        else:
            del events[place]
    return events


class EventSequenceTest(TestCase):
    """Order, identity and totals."""

    def test_cut_at_every_byte(self):
        """Where the bytes are parted makes no difference."""
        data = b": hello\n\n" + b"".join(WHOLE) + END
        for place in range(len(data)):
            sequence = EventSequence(REQUEST)
            self.assertEqual(b"".join(WHOLE), feed(sequence, data, [place]))
            self.assertEqual((True, 3), (sequence.ended, sequence.reused))

    def test_seeded_faults(self):
        """Of 2,000 faulty streams none is forwarded wrongly."""
        ended = 0
        for seed in range(2000):
            generator = random.Random(seed)
            data = b"".join(shuffle_events(generator))
            sizes = [generator.randrange(1, 90) for _ in range(30)]
            sequence = EventSequence(REQUEST)
            ready = feed(sequence, data, sizes)
            expected = b"".join(WHOLE[: sequence.next_offset])
            self.assertEqual(expected, ready, seed)
            if sequence.ended:
                ended += 1
                self.assertEqual((TOTAL, None), (sequence.next_offset, sequence.fault))
        self.assertGreater(ended, 200)
        self.assertLess(ended, 1800)

    def test_restart_goes_on(self):
        """After a gap the next stream goes on from the offset reached."""
        sequence = EventSequence(REQUEST)
        first = sequence.accept(WHOLE[0] + WHOLE[2] + END)
        self.assertEqual((WHOLE[0], EventFault.WRONG_TOTAL), (first, sequence.fault))
        sequence.restart()
        rest = sequence.accept(b"".join(WHOLE[1:]) + END)
        self.assertEqual((b"".join(WHOLE[1:]), True), (rest, sequence.ended))

    def test_faults(self):
        """Each kind of unusable stream is told."""
        far = b"".join(format_event(REQUEST, 1 + i, "x") for i in range(20))
        rows = [
            (b"data: {}\n\n", EventFault.MALFORMED),
            (b"id: r:1:x\ndata: {}\n\n", EventFault.MALFORMED),
            (b"event: strange\nid: r:1:0\ndata: {}\n\n", EventFault.MALFORMED),
            (b"event: end\nid: r:1:0\ndata: {\n\n", EventFault.MALFORMED),
            (b"x" * 70_000, EventFault.OVERSIZED),
            (far, EventFault.GAP),
            (FOREIGN * 65, EventFault.FOREIGN),
            (END, EventFault.WRONG_TOTAL),
            (
                format_end(REQUEST, 0, 0).replace(b'l": 0', b'l": 1'),
                EventFault.WRONG_TOTAL,
            ),
            (b"event: failed\ndata: {}\n\n", EventFault.SERVER_FAILED),
        ]
        for data, fault in rows:
            sequence = EventSequence(REQUEST)
            ready = sequence.accept(data)
            self.assertEqual(
                (b"", fault, False), (ready, sequence.fault, sequence.ended)
            )

    def test_held_events_are_bounded(self):
        """Events that come too early take a bounded place."""
        sequence = EventSequence(REQUEST)
        sequence.accept(format_event(REQUEST, 1, "x" * 60_000))
        self.assertIsNone(sequence.fault)
        sequence.accept(format_event(REQUEST, 2, "x" * 60_000))
        self.assertEqual(EventFault.GAP, sequence.fault)
