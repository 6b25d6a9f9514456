"""Health of backend servers, from the requests sent to them (circuit breaker).

A server that cannot be reached gets no requests for a backoff, which doubles each
time, and is then tried with one request. A server that responds but fails more
often than the others of its service gets fewer requests.
"""

from eliot import log_message

from oleanderpier.utils import Timers

__all__ = ["ServerHealth"]

MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
# A trial request that has not ended after this long no longer holds back others.
TRIAL_TIMEOUT_S = 2.0
# Weight of the latest result in the moving average of the failure rate.
FAILURE_RATE_SMOOTHING = 0.12


class _ServerRecord:
    """The health of one server.

    Attributes:
        backoff_s: Length of the current or last backoff, in seconds; 0 once the
            server has responded.
        backoff_until_s: When the backoff ends, on the monotonic clock.
        trial_until_s: When the trial request times out, 0 if there is none.
        failure_rate: Moving average of failed requests, 0 to 1.
    """

    def __init__(self) -> None:
        self.backoff_s = 0.0
        self.backoff_until_s = 0.0
        self.trial_until_s = 0.0
        self.failure_rate = 0.0


class ServerHealth:
    """Backoff and failure rates of backend servers.

    Args:
        timers: The timer service.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> timers = ManualTimers()
        >>> health = ServerHealth(timers)
        >>> health.record_unreachable("s1")
        >>> health.is_backing_off("s1")
        True
        >>> timers.advance(0.6)
        >>> health.is_backing_off("s1")
        False
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._records: dict[str, _ServerRecord] = {}

    def is_backing_off(self, identity: str) -> bool:
        """Return whether a server must not get a request now.

        That is during its backoff, and while a trial request is in flight.
        """
        record = self._records.get(identity)
        if record is None or record.backoff_s == 0.0:
            return False
        now_s = self._timers.now()
        return now_s < record.backoff_until_s or now_s < record.trial_until_s

    def is_recovering(self, identity: str) -> bool:
        """Return whether a server has not responded since it became unreachable."""
        record = self._records.get(identity)
        return record is not None and record.backoff_s > 0.0

    def get_failure_rate(self, identity: str) -> float:
        """Return the moving average of a server's failed requests, 0 to 1."""
        record = self._records.get(identity)
        return record.failure_rate if record else 0.0

    def begin_trial(self, identity: str) -> None:
        """Hold back other requests if a request to a server is its trial."""
        record = self._records.get(identity)
        if record is not None and record.backoff_s > 0.0:
            record.trial_until_s = self._timers.now() + TRIAL_TIMEOUT_S

    def record_response(self, identity: str, failed: bool) -> None:
        """Record a response that a server sent to this host, and end its backoff.

        Args:
            identity: The id of the server.
            failed: Whether the server reported a failure of its own.
        """
        self.record_peer_response(identity, failed)
        record = self._records[identity]
        if record.backoff_s:
            log_message("health:server_answers", identity=identity)
        record.backoff_s = 0.0
        record.trial_until_s = 0.0

    def record_peer_response(self, identity: str, failed: bool) -> None:
        """Record a response that a server sent to another host.

        It changes the failure rate only, since it does not show whether this host
        can reach the server.
        """
        record = self._records.setdefault(identity, _ServerRecord())
        record.failure_rate += FAILURE_RATE_SMOOTHING * (
            float(failed) - record.failure_rate
        )

    def record_broken_response(self, identity: str) -> None:
        """Record that a response was lost, cut or invalid; no backoff follows."""
        record = self._records.setdefault(identity, _ServerRecord())
        record.failure_rate += FAILURE_RATE_SMOOTHING * (1.0 - record.failure_rate)

    def record_unreachable(self, identity: str) -> None:
        """Record that a server was unreachable or silent, and start a backoff.

        During a backoff further failures do not prolong it.
        """
        record = self._records.setdefault(identity, _ServerRecord())
        now_s = self._timers.now()
        record.trial_until_s = 0.0
        if now_s < record.backoff_until_s:
            return
        record.backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * record.backoff_s))
        record.backoff_until_s = now_s + record.backoff_s
        log_message(
            "health:server_backs_off",
            identity=identity,
            backoff_s=round(record.backoff_s, 2),
        )

    def remove_server(self, identity: str) -> None:
        """Remove the record of a server that is gone or has restarted."""
        self._records.pop(identity, None)
