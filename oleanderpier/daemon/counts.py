"""Counters of callers' requests by class of work, for operators and metrics."""

from collections import Counter
from typing import NamedTuple

import prometheus_client
from prometheus_client import CollectorRegistry

from oleanderpier.results import Code, Fate, describe_code

__all__ = ["ClassCounts", "RequestCounts"]


class ClassCounts(NamedTuple):
    """Counts of one class of work since the start of the daemon.

    Attributes:
        requests: Requests that have ended.
        refused: Of these, requests that were refused and did not run.
        late: Of these, requests that missed a target of the class.
    """

    requests: int
    refused: int
    late: int


class RequestCounts:
    """Counts requests that have ended, by class of work and result code.

    Args:
        registry: The registry of the Prometheus metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._requests: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()
        self._late: Counter[str] = Counter()
        self._metric = prometheus_client.Counter(
            "oleanderpier_requests",
            "Requests of callers that have ended.",
            ["work_class", "code"],
            registry=registry,
        )
        self._metric_children: dict[tuple[str, Code], prometheus_client.Counter] = {}

    def record_end(self, work_class: str, code: Code, late: bool) -> None:
        """Count a request that has ended.

        Args:
            work_class: Name of a configured class, "" for an unknown one.
            code: The result code sent to the caller.
            late: Whether the request missed a target of its class.
        """
        self._requests[work_class] += 1
        self._refused[work_class] += describe_code(code).fate is Fate.NOT_RUN
        self._late[work_class] += late
        child = self._metric_children.get((work_class, code))
        if child is None:
            child = self._metric.labels(work_class, code.name)
            self._metric_children[work_class, code] = child
        child.inc()

    def find_counts(self, work_class: str) -> ClassCounts:
        """Return the counts of a class of work, zero for a class without requests."""
        return ClassCounts(
            self._requests[work_class],
            self._refused[work_class],
            self._late[work_class],
        )
