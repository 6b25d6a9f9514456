"""What this host itself found out about each backend server."""

__all__ = ["PathRecord", "ProbeRecord"]


class ProbeRecord:
    """What this host's own probes of a backend server found.

    Attributes:
        due_s: When the next probe is due, on the monotonic clock.
        failures: How many probes failed in a row.
        good_since_s: When the first of the good probes in a row was.
        silent_until_s: Until when this host, contradicted, accuses no more.
        disputes: How often it was contradicted.
    """

    def __init__(self, due_s: float):
        self.due_s = due_s
        self.failures = 0
        self.good_since_s: float | None = None
        self.silent_until_s = 0.0
        self.disputes = 0


class PathRecord:
    """How requests of this host itself to a backend server went.

    Attributes:
        failures: How many failed in a row.
        avoid_until_s: Until when this host sends it nothing new.
        doubted_s: When its probers were last asked to look.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.avoid_until_s = 0.0
        self.doubted_s = float("-inf")
