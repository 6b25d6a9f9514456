"""What this host itself has observed of each backend server."""

__all__ = ["ProbeHistory", "RequestHistory"]


class ProbeHistory:
    """Results of this host's probes of a backend server.

    Attributes:
        due_s: When the next probe is due, on the monotonic clock.
        failure_count: Number of probes that have failed in a row.
        succeeding_since_s: When the first of the present row of successful
            probes ended, on the monotonic clock; None after a failure.
        suspect_not_before_s: Until when this host does not report the server
            as suspect, since another host has refuted it; on the monotonic
            clock.
        refuted_count: How often another host has refuted a suspicion that this
            host reported.
    """

    def __init__(self, due_s: float):
        self.due_s = due_s
        self.failure_count = 0
        self.succeeding_since_s: float | None = None
        self.suspect_not_before_s = 0.0
        self.refuted_count = 0


class RequestHistory:
    """Results of this host's own requests to a backend server.

    Attributes:
        failure_count: Number of requests that have failed in a row.
        avoid_until_s: Until when this host sends no new request to the server,
            on the monotonic clock.
        probe_requested_s: When this host last asked the server's probers to
            probe it, on the monotonic clock.
    """

    def __init__(self) -> None:
        self.failure_count = 0
        self.avoid_until_s = 0.0
        self.probe_requested_s = float("-inf")
