"""Tests of the writer of the log."""

import contextlib
import json
import os

from testtools import TestCase

from oleanderpier.events import LogWriter
from oleanderpier.utils import ManualTimers, run_coroutine

READ_BYTES = 16_384


class LogWriterTest(TestCase):
    """Lines are written whatever they hold, and none is lost at the end."""

    def setUp(self):
        """Open a pipe whose reader takes nothing yet."""
        super().setUp()
        self.reader, descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, descriptor)
        os.set_blocking(self.reader, False)
        self.timers = SlowReader(self.reader)
        self.writer = LogWriter(descriptor, "h1", self.timers)

    def test_header_that_is_not_utf_8_is_written(self):
        """A header's bytes that are not UTF-8 are surrogates in its text."""
        self.writer.enqueue({"message_type": "request:end", "request": "a\udcff"})
        self.writer.flush()
        line = json.loads(os.read(self.reader, 4096))
        self.assertEqual("a\udcff", line["request"])

    def test_last_lines_wait_for_a_slow_reader(self):
        """The pipe is full when the process ends."""
        for _ in range(100):
            self.writer.enqueue({"message_type": "request:end", "reason": 1000 * "x"})
        run_coroutine(self.writer.finish(1.0))
        self.timers.read_all()
        self.assertEqual(100, self.timers.lines)


class SlowReader(ManualTimers):
    """Reads a little of a pipe whenever the time is asked for."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self.lines = 0

    def read_all(self) -> None:
        """Read what the pipe holds."""
        with contextlib.suppress(BlockingIOError):
            while True:
                self.lines += os.read(self._descriptor, READ_BYTES).count(b"\n")

    def now(self) -> float:
        """Return the time, which stands still, after a read."""
        with contextlib.suppress(BlockingIOError):
            self.lines += os.read(self._descriptor, READ_BYTES).count(b"\n")
        return super().now()
