"""Time and buffer limits of the relay."""

from typing import NamedTuple

from oleanderpier.configuration import WorkClass

__all__ = ["RelaySettings", "WatchdogLimits", "compute_watchdog_limits"]

# Multiple of the heartbeat interval; above 2, so that at least two heartbeats
# are missed before an engine counts as silent.
MIN_MISSED_HEARTBEATS = 2.4


class RelaySettings(NamedTuple):
    """Limits of the relay.

    Attributes:
        check_interval_s: Time between two checks of the open streams (a tick),
            in seconds.
        engine_heartbeat_interval_s: Interval in seconds at which an engine
            sends at least a heartbeat.
        max_engine_silence_s: Time in seconds without a byte after which an
            engine counts as silent, whatever the class.
        max_caller_stall_s: Time in seconds that a caller may read nothing.
        caller_heartbeat_interval_s: Time in seconds without an event after
            which the caller is sent a heartbeat.
        first_heartbeat_delay_s: Time in seconds until the first heartbeat.
            It commits the response to HTTP status 200: a later failure can
            be reported only as the last event.
        max_write_buffer_bytes: High-water mark of the transport's write buffer for
            one caller, in bytes.
        max_attempts_without_event: Number of consecutive attempts without a
            new event after which the response fails.
    """

    check_interval_s: float = 0.1
    engine_heartbeat_interval_s: float = 0.25
    max_engine_silence_s: float = 0.8
    max_caller_stall_s: float = 15.0
    caller_heartbeat_interval_s: float = 1.0
    first_heartbeat_delay_s: float = 1.0
    max_write_buffer_bytes: int = 16 * 1024
    max_attempts_without_event: int = 6


class WatchdogLimits(NamedTuple):
    """Limits of one stream, in ticks (checks of the watchdog).

    Attributes:
        engine_silence_ticks: Ticks without progress after which an engine
            counts as silent.
        caller_stall_ticks: Ticks without progress after which a caller counts
            as stuck.
        caller_heartbeat_ticks: Ticks without an event after which the caller
            is sent a heartbeat.
        first_heartbeat_ticks: Ticks until the first heartbeat.
    """

    engine_silence_ticks: int
    caller_stall_ticks: int
    caller_heartbeat_ticks: int
    first_heartbeat_ticks: int


def compute_watchdog_limits(
    settings: RelaySettings, work_class: WorkClass
) -> WatchdogLimits:
    """Return the limits for a stream of a class.

    An engine counts as silent within less than half of the class's target for
    the first token, which leaves time for another engine, but not before it
    has missed two heartbeats.

    Args:
        settings: The limits of the relay.
        work_class: The class with its targets.

    Returns:
        The limits in ticks, each at least 1.
    """
    class_silence_s = min(
        settings.max_engine_silence_s, work_class["first_token_s"] / 2.5
    )
    engine_silence_s = max(
        class_silence_s, MIN_MISSED_HEARTBEATS * settings.engine_heartbeat_interval_s
    )
    return WatchdogLimits(
        engine_silence_ticks=_count_ticks(settings, engine_silence_s),
        caller_stall_ticks=_count_ticks(settings, settings.max_caller_stall_s),
        caller_heartbeat_ticks=_count_ticks(
            settings, settings.caller_heartbeat_interval_s
        ),
        first_heartbeat_ticks=_count_ticks(settings, settings.first_heartbeat_delay_s),
    )


def _count_ticks(settings: RelaySettings, seconds: float) -> int:
    return max(1, round(seconds / settings.check_interval_s))
