"""Log output that never blocks the process."""

import asyncio
import json
import os
import select
from collections import Counter, deque
from typing import Any

import msgspec

from oleanderpier.utils import Timers

__all__ = ["LogWriter"]

FLUSH_INTERVAL_S = 0.1
FINISH_POLL_INTERVAL_S = 0.01
# Lines that wait to be written; further ones are dropped and counted by type.
MAX_QUEUED_LINES = 4096
# A write of up to PIPE_BUF (4096) bytes to a pipe that polls as writable does not
# block.
MAX_PIPE_WRITE_BYTES = 4096


class LogWriter:
    """Queues eliot messages and writes them as JSON lines when possible.

    Args:
        descriptor: File descriptor to write to.
        host: Name of this host, which is added to each line.
        timers: The timer service.

    Attributes:
        dropped: Number of lines dropped since the start.
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
        """Start to write the queued lines at a fixed interval."""
        self._timers.subscribe(FLUSH_INTERVAL_S, self.flush)

    def enqueue(self, message: dict[str, Any]) -> None:
        """Queue an eliot message, or drop it if the queue is full."""
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
        self._lines.append(_encode(line) + b"\n")

    async def finish(self, timeout_s: float) -> None:
        """Write the queued lines; wait for a slow reader, but not longer than this."""
        deadline_s = self._timers.now() + timeout_s
        self.flush()
        while self._lines and self._timers.now() < deadline_s:
            await asyncio.sleep(FINISH_POLL_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Write queued lines as long as the descriptor is writable."""
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
                # The pipe has no reader any more, so that no line can be written.
                self._lines.clear()

    def _is_ready(self) -> bool:
        ready = self._poll.poll(0)
        return bool(ready) and bool(ready[0][1] & select.POLLOUT)


def _encode(line: dict[str, Any]) -> bytes:
    try:
        return msgspec.json.encode(line, enc_hook=repr)
    except UnicodeEncodeError:
        # A caller's header that is not UTF-8; the bytes are written as escapes.
        return json.dumps(line, default=repr).encode()


_ENVELOPE = frozenset({"timestamp", "message_type", "task_uuid", "task_level"})
