"""Which backend servers fail, learnt from the requests sent to them.

Servers that stop answering are left out for a while, which doubles each time,
and are then tried with one request. Servers that answer but fail more often
than the others of their service are used less.
"""

from eliot import log_message

from oleanderpier.utils import Timers

__all__ = ["ServerHealth"]

FIRST_BACKOFF_S = 0.5
LONGEST_BACKOFF_S = 8.0
# A trial that has not ended after this long no longer keeps others away.
TRIAL_S = 2.0
# One result moves the failure rate by this part of the distance.
RATE_STEP = 0.12


class _Record:
    """What is known of one server."""

    def __init__(self) -> None:
        self.backoff_s = 0.0
        self.backs_off_until_s = 0.0
        self.trial_until_s = 0.0
        self.failure_rate = 0.0


class ServerHealth:
    """Failures of backend servers.

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
        self._records: dict[str, _Record] = {}

    def is_backing_off(self, identity: str) -> bool:
        """Return whether a server gets no request now."""
        record = self._records.get(identity)
        if record is None or record.backoff_s == 0.0:
            return False
        now_s = self._timers.now()
        return now_s < record.backs_off_until_s or now_s < record.trial_until_s

    def is_recovering(self, identity: str) -> bool:
        """Return whether a server has to show that it answers again."""
        record = self._records.get(identity)
        return record is not None and record.backoff_s > 0.0

    def get_failure_rate(self, identity: str) -> float:
        """Return which part of the recent requests a server failed, 0 to 1."""
        record = self._records.get(identity)
        return record.failure_rate if record else 0.0

    def begin_trial(self, identity: str) -> None:
        """Keep others away from a doubtful server that has just got a request."""
        record = self._records.get(identity)
        if record is not None and record.backoff_s > 0.0:
            record.trial_until_s = self._timers.now() + TRIAL_S

    def record_response(self, identity: str, failed: bool) -> None:
        """Take an answer of a server.

        Args:
            identity: The server.
            failed: Whether the answer was the server's own failure.
        """
        self.record_peer_response(identity, failed)
        record = self._records[identity]
        if record.backoff_s:
            log_message("health:server_answers", identity=identity)
        record.backoff_s = 0.0
        record.trial_until_s = 0.0

    def record_peer_response(self, identity: str, failed: bool) -> None:
        """Take an answer that another host got from a server.

        It says nothing of whether this host reaches the server.
        """
        record = self._records.setdefault(identity, _Record())
        record.failure_rate += RATE_STEP * (float(failed) - record.failure_rate)

    def record_broken_response(self, identity: str) -> None:
        """Take that an answer was lost, cut or spoilt on its way."""
        record = self._records.setdefault(identity, _Record())
        record.failure_rate += RATE_STEP * (1.0 - record.failure_rate)

    def record_unreachable(self, identity: str) -> None:
        """Take that a server could not be reached, broke off or stayed silent."""
        record = self._records.setdefault(identity, _Record())
        now_s = self._timers.now()
        record.trial_until_s = 0.0
        if now_s < record.backs_off_until_s:
            return
        record.backoff_s = min(
            LONGEST_BACKOFF_S, max(FIRST_BACKOFF_S, 2 * record.backoff_s)
        )
        record.backs_off_until_s = now_s + record.backoff_s
        log_message(
            "health:server_backs_off",
            identity=identity,
            backoff_s=round(record.backoff_s, 2),
        )

    def remove_server(self, identity: str) -> None:
        """Forget a server that is gone."""
        self._records.pop(identity, None)
