"""Counters and histograms of an entry host."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from oleanderpier.results import Code
from oleanderpier.routing import AttemptOutcome, RequestKind

__all__ = ["EntryMetrics"]

# Upper bounds in seconds: finer around the targets of the users' sheets, 0.125
# to 1.5 s, and up to their longest deadline.
REQUEST_BUCKETS = (0.05, 0.125, 0.2, 0.4, 0.8, 1.0, 1.5, 3.0, 6.0, 12.0, 16.0)
# Upper bounds in seconds: a call that has no news is held for a second.
PLATFORM_BUCKETS = (0.01, 0.05, 0.2, 0.5, 1.0, 1.2, 1.6, 2.5)


class EntryMetrics:
    """What a host counts, under labels that are few and known beforehand.

    Routes are no label: they are named anew by each configuration.

    Attributes:
        registry: Where the metrics are registered.

    Examples:
        >>> metrics = EntryMetrics()
        >>> metrics.count_end(RequestKind.ONCE, Code.DONE, 0.07, None)
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
        self._send_s = self._make_histogram(
            "send_seconds", "One send to a backend server, by its end.", "ending"
        )
        self._platform_s = Histogram(
            "oleanderpier_platform_call_seconds",
            "Calls to the platform, by key space and whether it answered.",
            ["space", "answered"],
            buckets=PLATFORM_BUCKETS,
            registry=self.registry,
        )

    def watch(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Register a value that is read when the metrics are.

        Args:
            name: The metric's name without the common prefix.
            text: What it is, for people.
            read: Returns its value.
        """
        gauge = Gauge(f"oleanderpier_{name}", text, registry=self.registry)
        gauge.set_function(read)

    def count_end(
        self,
        kind: RequestKind | None,
        code: Code,
        took_s: float,
        first_s: float | None,
    ) -> None:
        """Count a request that has ended.

        Args:
            kind: What may be repeated of it; None if it has no route.
            code: How it ended.
            took_s: From its head to its end.
            first_s: From its head to the first piece of a stream.
        """
        name = kind.value if kind else "unknown"
        self._requests.labels(name, code.name).inc()
        self._request_s.labels(name).observe(took_s)
        if first_s is not None:
            self._first_piece_s.labels(name).observe(first_s)

    def count_send(self, ending: AttemptOutcome, took_s: float) -> None:
        """Count a send to a backend server, with its length in seconds."""
        self._send_s.labels(ending.value).observe(took_s)

    def count_platform_call(self, space: str, answered: bool, took_s: float) -> None:
        """Count a call to the platform, with its length in seconds."""
        self._platform_s.labels(space, str(answered).lower()).observe(took_s)

    def _make_histogram(self, name: str, text: str, label: str) -> Histogram:
        return Histogram(
            f"oleanderpier_{name}",
            text,
            [label],
            buckets=REQUEST_BUCKETS,
            registry=self.registry,
        )
