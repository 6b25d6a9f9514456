"""Counts of callers' requests by class of work, for operators and metrics."""

from collections import Counter
from typing import NamedTuple

import prometheus_client
from prometheus_client import CollectorRegistry

from oleanderpier.results import Code, Fate, describe_code

__all__ = ["ClassCounts", "RequestCounts"]


class ClassCounts(NamedTuple):
    """Counts of one class since the start of the daemon."""

    requests: int
    refused: int
    late: int


class RequestCounts:
    """Counts every request's end.

    Args:
        registry: Where the metrics are registered.
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
        self._children: dict[tuple[str, Code], prometheus_client.Counter] = {}

    def count(self, work_class: str, code: Code, late: bool) -> None:
        """Count a request that has ended.

        Args:
            work_class: A class of the configuration, or "" if it is unknown.
            code: What the caller was told.
            late: Whether a target passed before the end.
        """
        self._requests[work_class] += 1
        self._refused[work_class] += describe_code(code).fate is Fate.NOT_RUN
        self._late[work_class] += late
        child = self._children.get((work_class, code))
        if child is None:
            child = self._metric.labels(work_class, code.name)
            self._children[work_class, code] = child
        child.inc()

    def find_counts(self, work_class: str) -> ClassCounts:
        """Return the counts of a class."""
        return ClassCounts(
            self._requests[work_class],
            self._refused[work_class],
            self._late[work_class],
        )
