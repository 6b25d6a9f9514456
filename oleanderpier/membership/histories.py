"""What this host itself found out about each backend server."""

__all__ = ["ProbeHistory", "RequestHistory"]


class ProbeHistory:
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
        self.failure_count = 0
        self.succeeding_since_s: float | None = None
        self.suspect_not_before_s = 0.0
        self.refuted_count = 0


class RequestHistory:
    """How requests of this host itself to a backend server went.

    Attributes:
        failures: How many failed in a row.
        avoid_until_s: Until when this host sends it nothing new.
        doubted_s: When its probers were last asked to look.
    """

    def __init__(self) -> None:
        self.failure_count = 0
        self.avoid_until_s = 0.0
        self.probe_requested_s = float("-inf")
