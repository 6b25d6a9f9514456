"""Whatever arrives, only the next complete events of a response are forwarded."""

import random

from testtools import TestCase

from oleanderpier.relay import EventFault, EventSequence, format_end, format_event

TOTAL = 12
REQUEST = "r:1"
TOKEN_EVENTS = [
    format_event(REQUEST, offset, f"t{offset}\n\n") for offset in range(TOTAL)
]
END_EVENT = format_end(REQUEST, TOTAL, 3)
FOREIGN_EVENT = format_event("r:2", 0, "not yours")


def accept_in_chunks(sequence: EventSequence, data: bytes, sizes: list[int]) -> bytes:
    """Return what a sequence forwards of bytes that arrive in chunks."""
    forwarded = b""
    for size in sizes:
        forwarded += sequence.accept(data[:size])
        data = data[size:]
    return forwarded + sequence.accept(data)


def make_faulty_events(generator: random.Random) -> list[bytes]:
    """Return a response's events with up to five random faults.

    A fault repeats, moves or drops an event, or inserts a foreign one or a
    heartbeat.
    """
    events = [*TOKEN_EVENTS, END_EVENT]
    for _ in range(generator.randrange(6)):
        position = generator.randrange(len(events))
        change = generator.randrange(5)
        if change == 0:
            events.insert(position, generator.choice(events))
        elif change == 1:
            events.insert(position, FOREIGN_EVENT)
        elif change == 2:
            events.insert(generator.randrange(len(events)), events.pop(position))
        elif change == 3:
            events.insert(position, b": heartbeat\n\n")
        else:
            del events[position]
    return events


class EventSequenceTest(TestCase):
    """Checks of order, identity and totals."""

    def test_chunk_boundary_at_every_byte(self):
        """The position of a chunk boundary makes no difference."""
        data = b": hello\n\n" + b"".join(TOKEN_EVENTS) + END_EVENT
        for position in range(len(data)):
            sequence = EventSequence(REQUEST)
            self.assertEqual(
                b"".join(TOKEN_EVENTS), accept_in_chunks(sequence, data, [position])
            )
            self.assertEqual((True, 3), (sequence.ended, sequence.reused_tokens))

    def test_random_faults_never_forward_wrong_events(self):
        """Of 2,000 faulty streams none is forwarded with a wrong event."""
        ended = 0
        for seed in range(2000):
            generator = random.Random(seed)
            data = b"".join(make_faulty_events(generator))
            sizes = [generator.randrange(1, 90) for _ in range(30)]
            sequence = EventSequence(REQUEST)
            forwarded = accept_in_chunks(sequence, data, sizes)
            expected = b"".join(TOKEN_EVENTS[: sequence.next_offset])
            self.assertEqual(expected, forwarded, seed)
            if sequence.ended:
                ended += 1
                self.assertEqual((TOTAL, None), (sequence.next_offset, sequence.fault))
        self.assertGreater(ended, 200)
        self.assertLess(ended, 1800)

    def test_new_stream_continues_at_next_offset(self):
        """After a gap the next stream continues from the offset reached."""
        sequence = EventSequence(REQUEST)
        first = sequence.accept(TOKEN_EVENTS[0] + TOKEN_EVENTS[2] + END_EVENT)
        self.assertEqual(
            (TOKEN_EVENTS[0], EventFault.WRONG_TOTAL), (first, sequence.fault)
        )
        sequence.start_stream()
        rest = sequence.accept(b"".join(TOKEN_EVENTS[1:]) + END_EVENT)
        self.assertEqual((b"".join(TOKEN_EVENTS[1:]), True), (rest, sequence.ended))

    def test_unusable_streams_set_fault(self):
        """Each kind of unusable stream sets its fault and forwards nothing."""
        events_after_gap = b"".join(
            format_event(REQUEST, 1 + i, "x") for i in range(20)
        )
        rows = [
            (b"data: {}\n\n", EventFault.MALFORMED),
            (b"id: r:1:x\ndata: {}\n\n", EventFault.MALFORMED),
            (b"event: strange\nid: r:1:0\ndata: {}\n\n", EventFault.MALFORMED),
            (b"event: end\nid: r:1:0\ndata: {\n\n", EventFault.MALFORMED),
            (b"x" * 70_000, EventFault.OVERSIZED),
            (events_after_gap, EventFault.GAP),
            (FOREIGN_EVENT * 65, EventFault.FOREIGN),
            (END_EVENT, EventFault.WRONG_TOTAL),
            (
                format_end(REQUEST, 0, 0).replace(b'l": 0', b'l": 1'),
                EventFault.WRONG_TOTAL,
            ),
            (b"event: failed\ndata: {}\n\n", EventFault.SERVER_FAILED),
        ]
        for data, fault in rows:
            sequence = EventSequence(REQUEST)
            forwarded = sequence.accept(data)
            self.assertEqual(
                (b"", fault, False), (forwarded, sequence.fault, sequence.ended)
            )

    def test_held_events_are_bounded(self):
        """Events held for a missing one are bounded in bytes."""
        sequence = EventSequence(REQUEST)
        sequence.accept(format_event(REQUEST, 1, "x" * 60_000))
        self.assertIsNone(sequence.fault)
        sequence.accept(format_event(REQUEST, 2, "x" * 60_000))
        self.assertEqual(EventFault.GAP, sequence.fault)
