"""The metrics of an entry host."""

from collections.abc import Callable
from enum import Enum

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from oleanderpier.connections import Framing
from oleanderpier.results import Code
from oleanderpier.routing import AttemptOutcome, PermitOutcome, RequestKind

__all__ = ["EntryMetrics", "NoticeEvent", "NoticeKind"]

# Upper bounds of buckets, finer around the latency targets, 0.125 to 1.5 s, and up
# to the longest deadline, 16 s.
REQUEST_BUCKETS_S = (0.05, 0.125, 0.2, 0.4, 0.8, 1.0, 1.5, 3.0, 6.0, 12.0, 16.0)
# Upper bounds of buckets, finer around 1 s: the platform holds a watch call without
# changes for that long.
PLATFORM_CALL_BUCKETS_S = (0.01, 0.05, 0.2, 0.5, 1.0, 1.2, 1.6, 2.5)
# Upper bounds of buckets, from a round trip to the owner, over its timeout, to the
# longest waits.
PERMIT_BUCKETS_S = (0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6)


class NoticeKind(Enum):
    """What a notice to all hosts is about.

    Attributes:
        PREFILL: A long prompt that a server is sent.
        SPEED: The speed of a server.
    """

    PREFILL = "prefill"
    SPEED = "speed"


class NoticeEvent(Enum):
    """What became of a notice.

    Attributes:
        SENT: This host has sent it.
        RECEIVED: This host has received it.
        OMITTED: This host has not sent it, since it has just sent many others.
    """

    SENT = "sent"
    RECEIVED = "received"
    OMITTED = "omitted"


class EntryMetrics:
    """The counters, histograms and gauges of an entry host.

    Labels have few values that are known beforehand. Routes are not a label,
    since each configuration may name new ones.

    Attributes:
        registry: The registry of these metrics.

    Examples:
        >>> metrics = EntryMetrics()
        >>> metrics.record_request_end(RequestKind.ONCE, Code.DONE, 0.07, None)
        >>> metrics.registry.get_sample_value(
        ...     "oleanderpier_requests_total", {"kind": "once", "code": "DONE"}
        ... )
        1.0
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "oleanderpier_requests",
            "Requests of callers that have ended, by kind and result code.",
            ["kind", "code"],
            registry=self.registry,
        )
        self._request_s = self._make_histogram(
            "request_seconds", "From a request's head to its end.", "kind"
        )
        self._first_piece_s = self._make_histogram(
            "first_piece_seconds", "From a request's head to a stream's start.", "kind"
        )
        self._attempt_s = self._make_histogram(
            "send_seconds", "One send to a backend server, by its end.", "ending"
        )
        self._responses = Counter(
            "oleanderpier_responses",
            "Responses of backend servers, by what ends their body.",
            ["framing", "ending"],
            registry=self.registry,
        )
        self._held_back = Counter(
            "oleanderpier_requests_held_back",
            "Requests kept from a server that is evacuated, cold or reading prompts.",
            ["reason", "decision"],
            registry=self.registry,
        )
        self._notices = Counter(
            "oleanderpier_notices",
            "Notices of long prompts and of servers' speeds, by what became of them.",
            ["kind", "event"],
            registry=self.registry,
        )
        self._platform_s = Histogram(
            "oleanderpier_platform_call_seconds",
            "Calls to the platform, by key space and whether it answered.",
            ["space", "answered"],
            buckets=PLATFORM_CALL_BUCKETS_S,
            registry=self.registry,
        )

        self._permit_decisions = Counter(
            "oleanderpier_permit_decisions",
            "Answers to queries for permits, by decision.",
            ["decision"],
            registry=self.registry,
        )
        self._permit_s = Histogram(
            "oleanderpier_permit_seconds",
            "From a query for a permit to its answer.",
            buckets=PERMIT_BUCKETS_S,
            registry=self.registry,
        )
        self._permit_timeouts = Counter(
            "oleanderpier_permit_timeouts",
            "Queries for permits that no owner answered in time.",
            registry=self.registry,
        )

    def register_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read when the metrics are scraped.

        Args:
            name: The metric's name without the prefix ``oleanderpier_``.
            text: The metric's help text.
            read: Returns the current value.
        """
        gauge = Gauge(f"oleanderpier_{name}", text, registry=self.registry)
        gauge.set_function(read)

    def record_request_end(
        self,
        kind: RequestKind | None,
        code: Code,
        took_s: float,
        first_s: float | None,
    ) -> None:
        """Record the end of a caller's request.

        Args:
            kind: The request kind of its route; None if it has no route.
            code: The result code.
            took_s: The seconds from its head to its end.
            first_s: The seconds from its head to the start of the streamed
                response; None if none was started.
        """
        name = kind.value if kind else "unknown"
        self._requests.labels(name, code.name).inc()
        self._request_s.labels(name).observe(took_s)
        if first_s is not None:
            self._first_piece_s.labels(name).observe(first_s)

    def record_attempt(
        self, outcome: AttemptOutcome, framing: Framing | None, took_s: float
    ) -> None:
        """Record an attempt at a backend server.

        Args:
            outcome: How it ended.
            framing: What ends the body of the response; None without a response.
            took_s: Its duration in seconds.
        """
        if framing is not None:
            self._responses.labels(framing.value, outcome.value).inc()
        self._attempt_s.labels(outcome.value).observe(took_s)

    def record_held_back(self, reason: str, decision: str) -> None:
        """Record that a request did not reach a server.

        Args:
            reason: ``evacuated``, ``cold``, ``prefill`` or ``slow``.
            decision: ``moved``, ``refused`` or ``held_back``.
        """
        self._held_back.labels(reason, decision).inc()

    def record_notice(self, kind: NoticeKind, event: NoticeEvent) -> None:
        """Record a notice to all hosts, or one of another host."""
        self._notices.labels(kind.value, event.value).inc()

    def record_platform_call(self, space: str, answered: bool, took_s: float) -> None:
        """Record a call to the platform and its duration in seconds."""
        self._platform_s.labels(space, str(answered).lower()).observe(took_s)

    def record_permit_decision(self, outcome: PermitOutcome, waited_s: float) -> None:
        """Record the answer to a query for a permit, and the seconds until then.

        Args:
            outcome: The decision; ``NOT_OWNER`` for a request without a permit.
            waited_s: The seconds from the query to the answer.
        """
        self._permit_decisions.labels(outcome.name).inc()
        self._permit_s.observe(waited_s)

    def record_permit_timeout(self) -> None:
        """Record a query for a permit that no owner answered in time."""
        self._permit_timeouts.inc()

    def _make_histogram(self, name: str, text: str, label: str) -> Histogram:
        return Histogram(
            f"oleanderpier_{name}",
            text,
            [label],
            buckets=REQUEST_BUCKETS_S,
            registry=self.registry,
        )
