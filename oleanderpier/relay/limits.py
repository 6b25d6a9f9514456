"""How long the relay waits, and how much it holds."""

from typing import NamedTuple

from oleanderpier.configuration import WorkClass

__all__ = ["RelaySettings", "WatchLimits", "compute_limits"]

HEARTBEATS_MISSED = 2.4


class RelaySettings(NamedTuple):
    """Limits of the relay; times in seconds, sizes in bytes.

    Attributes:
        tick_s: How often open streams are looked at.
        engine_heartbeat_s: How often an engine sends something.
        engine_idle_s: Longest silence of an engine, for any class.
        caller_idle_s: How long a caller may take nothing.
        caller_heartbeat_s: How long a caller is sent nothing.
        begin_s: How long a failure may still be an HTTP status.
        write_buffer_bytes: What waits for a slow caller in the transport.
        max_fruitless_attempts: Attempts in a row that bring no event.
    """

    tick_s: float = 0.1
    engine_heartbeat_s: float = 0.25
    engine_idle_s: float = 0.8
    caller_idle_s: float = 15.0
    caller_heartbeat_s: float = 1.0
    begin_s: float = 1.0
    write_buffer_bytes: int = 16 * 1024
    max_fruitless_attempts: int = 6


class WatchLimits(NamedTuple):
    """The limits of one stream, in ticks of the watch."""

    engine_idle: int
    caller_idle: int
    caller_heartbeat: int
    begin: int


def compute_limits(settings: RelaySettings, work_class: WorkClass) -> WatchLimits:
    """Return the limits for a stream of a class.

    A silent engine is given up in less than half of the class's target for
    the first token, but never before it has missed two heartbeats.

    Args:
        settings: The limits of the relay.
        work_class: The class with its targets.

    Returns:
        Limits in ticks.
    """
    wanted_s = min(settings.engine_idle_s, work_class["first_token_s"] / 2.5)
    engine_idle_s = max(wanted_s, HEARTBEATS_MISSED * settings.engine_heartbeat_s)
    return WatchLimits(
        engine_idle=_count_ticks(settings, engine_idle_s),
        caller_idle=_count_ticks(settings, settings.caller_idle_s),
        caller_heartbeat=_count_ticks(settings, settings.caller_heartbeat_s),
        begin=_count_ticks(settings, settings.begin_s),
    )


def _count_ticks(settings: RelaySettings, seconds: float) -> int:
    return max(1, round(seconds / settings.tick_s))
