"""Engines that say that they leave or ask for time, and the sends against that."""

from typing import NamedTuple

from oleanderpier.utils import Timers

__all__ = ["EngineStatements", "Statement"]


class Statement(NamedTuple):
    """What an engine says in a response.

    Attributes:
        wait_s: Seconds for which it wants no requests; it has not run this one. 0 if it
            runs the request and leaves.
    """

    wait_s: float


class EngineStatements:
    """What each engine says now, and what each host has been told.

    Args:
        timers: The timer service.

    Attributes:
        unwanted_sends: Sends to an engine that had told the host that it wants none.
        refused_sends: Sends that an engine did not run because it asks for time.
    """

    def __init__(self, timers: Timers) -> None:
        self.unwanted_sends = 0
        self.refused_sends = 0
        self._timers = timers
        self._asked_waits_s: dict[str, float] = {}
        self._leaving: set[str] = set()
        # Until when a host has been told by an engine to send nothing.
        self._told_until_s: dict[tuple[int, str], float] = {}

    def start_asking(self, engines: list[str], wait_s: float, for_s: float) -> None:
        """Let engines refuse all requests and ask for time, for some seconds."""
        self._asked_waits_s.update(dict.fromkeys(engines, wait_s))

        def stop() -> None:
            for engine in engines:
                self._asked_waits_s.pop(engine, None)

        self._timers.call_later(for_s, stop)

    def start_leaving(self, engine: str) -> None:
        """Let an engine say from now on that it leaves."""
        self._leaving.add(engine)

    def record_send(self, host: int, engine: str) -> Statement | None:
        """Record a request of a host, and return what the engine says in response.

        Args:
            host: Number of the host.
            engine: Name of the engine.
        """
        now_s = self._timers.now()
        if now_s < self._told_until_s.get((host, engine), 0.0):
            self.unwanted_sends += 1
        wait_s = self._asked_waits_s.get(engine)
        if wait_s is not None:
            self.refused_sends += 1
            self._told_until_s[host, engine] = now_s + wait_s
            return Statement(wait_s)
        if engine in self._leaving:
            self._told_until_s[host, engine] = float("inf")
            return Statement(0.0)
        return None
