"""Writes log lines without ever blocking the process."""

import os
import select
from collections import Counter, deque
from typing import Any

import msgspec

from oleanderpier.utils import Timers

__all__ = ["LogWriter"]

FLUSH_INTERVAL_S = 0.1
# Lines that wait for a reader; further ones are dropped and counted by kind.
MAX_QUEUED_LINES = 4096
# POSIX writes so many bytes to a pipe that is ready without blocking.
MAX_PIPE_WRITE_BYTES = 4096


class LogWriter:
    """Takes messages, and writes them when the descriptor is ready.

    Args:
        descriptor: Where lines go.
        host: Named in each line.
        timers: The timer service.

    Attributes:
        dropped: How many lines were dropped since the start.
    """

    def __init__(self, descriptor: int, host: str, timers: Timers) -> None:
        self._descriptor = descriptor
        self._host = host
        self._timers = timers
        self._lines: deque[bytes] = deque()
        self.dropped = 0
        self._dropped_by_type: Counter[str] = Counter()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def start(self) -> None:
        """Begin to write several times a second."""
        self._timers.subscribe(FLUSH_INTERVAL_S, self.flush)

    def enqueue(self, message: dict[str, Any]) -> None:
        """Take one message of eliot."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            self._dropped_by_type[str(message.get("message_type"))] += 1
            return
        line = {
            "time": round(message.get("timestamp", 0.0), 4),
            "process": self._host,
            "event": message.get("message_type"),
        }
        for key, value in message.items():
            if key not in _ENVELOPE:
                line[key] = value
        self._lines.append(msgspec.json.encode(line, enc_hook=repr) + b"\n")

    def flush(self) -> None:
        """Write what the descriptor takes at once."""
        if self._dropped_by_type and len(self._lines) < MAX_QUEUED_LINES // 2:
            dropped, self._dropped_by_type = self._dropped_by_type, Counter()
            self.enqueue({"message_type": "log:dropped", "lines": dict(dropped)})
        while self._lines and self._is_ready():
            chunk = self._lines.popleft()[:MAX_PIPE_WRITE_BYTES]
            while (
                self._lines and len(chunk) + len(self._lines[0]) <= MAX_PIPE_WRITE_BYTES
            ):
                chunk += self._lines.popleft()
            try:
                os.write(self._descriptor, chunk)
            except OSError:
                # There is no reader any more, and so nobody to tell.
                self._lines.clear()

    def _is_ready(self) -> bool:
        ready = self._poll.poll(0)
        return bool(ready) and bool(ready[0][1] & select.POLLOUT)


_ENVELOPE = frozenset({"timestamp", "message_type", "task_uuid", "task_level"})
