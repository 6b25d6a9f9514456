"""Reports of a daemon's state for operators."""

from expression import Error, Ok, Result

from oleanderpier.configuration import DOCUMENT_NAMES, WorkClass
from oleanderpier.daemon.node import Node
from oleanderpier.operators import (
    ChoiceRow,
    ClassRow,
    ConfigurationResponse,
    DocumentVersion,
    EventsResponse,
    ExplainResponse,
    RefusedDocument,
    StatusResponse,
    TargetsResponse,
    make_events_response,
)
from oleanderpier.placement import Explanation
from oleanderpier.relay import ClassLatencies, LatencyQuantiles
from oleanderpier.results import Code, Failure

__all__ = ["NodeReports"]


class NodeReports:
    """Builds the reports that ``make_operator_app`` serves.

    Args:
        node: The daemon to report on.
    """

    def __init__(self, node: Node) -> None:
        self._node = node

    def describe_status(self) -> StatusResponse:
        """Return the state of this host and its view of hosts and servers."""
        node = self._node
        return StatusResponse(
            host=node.host,
            incarnation=node.incarnation,
            failure_domain=node.settings["failure_domain"],
            state=node.state,
            started_s=node.started_s,
            versions=self._list_versions_in_force(),
            refused_documents=self._list_refused_documents(),
            members=[
                {"host": host, "state": node.members.find_state(host).name.lower()}
                for host in sorted(node.members.list_known())
            ],
            backend_servers=[
                {
                    "name": name,
                    "state": node.servers.find_state(name).name.lower(),
                    "in_flight": count,
                }
                for name, count in sorted(node.count_in_flight().items())
                if node.servers.find_state(name) is not None
            ],
            in_progress=node.in_progress,
        )

    def describe_targets(self) -> TargetsResponse:
        """Return the targets of each class with the measured latencies."""
        published = self._node.documents.get("configuration")
        classes = published.body["classes"] if published else []
        reports = {
            report.work_class: report
            for report in self._node.relay.metrics.report_latencies()
        }
        return TargetsResponse(
            host=self._node.host,
            classes=[
                self._make_class_row(item, reports.get(item["name"]))
                for item in classes
            ],
        )

    def describe_configuration(self) -> ConfigurationResponse:
        """Return the documents in force."""
        documents = self._node.documents
        return ConfigurationResponse(
            host=self._node.host,
            versions=self._list_versions_in_force(),
            documents={
                name: published.body
                for name in DOCUMENT_NAMES
                if (published := documents.get(name))
            },
            refused_documents=self._list_refused_documents(),
        )

    def list_events(self, after: int, limit: int | None) -> EventsResponse:
        """Return the newest events after a sequence number."""
        return make_events_response(self._node.events, after, limit)

    def explain(self, chat: str, work_class: str) -> Result[ExplainResponse, Failure]:
        """Return which server a chat would be sent to and why, or a failure."""
        item = self._node.find_class(work_class)
        if item is None:
            return Error(Failure(Code.CLASS_UNKNOWN, f"no class {work_class!r}"))
        explanation = self._node.placement.explain(chat, work_class)
        choices = _make_choice_rows(explanation)
        chosen = next(
            (row for row in choices if row["reason"] in _REASONS_TO_CHOOSE), None
        )
        return Ok(
            ExplainResponse(
                chat=chat,
                work_class=work_class,
                pool=explanation.pools[0] if explanation.pools else "",
                owner=explanation.owner,
                choices=choices,
                chosen=chosen and chosen["backend_server"],
            )
        )

    def _list_versions_in_force(self) -> dict[str, DocumentVersion]:
        documents = self._node.documents
        return {
            name: DocumentVersion(version=published.version, digest=published.digest)
            for name in DOCUMENT_NAMES
            if (published := documents.get(name))
        }

    def _list_refused_documents(self) -> list[RefusedDocument]:
        return [
            RefusedDocument(name=item.name, version=item.version, text=item.text)
            for item in self._node.documents.list_refusals()
        ]

    def _make_class_row(
        self, item: WorkClass, report: ClassLatencies | None
    ) -> ClassRow:
        counts = self._node.counts.find_counts(item["name"])
        return ClassRow(
            name=item["name"],
            first_token_s=item["first_token_s"],
            first_token_p95_s=_read_p95(report and report.first_token),
            between_tokens_s=item["between_tokens_s"],
            between_tokens_p95_s=_read_p95(report and report.between_tokens),
            whole_s=item["whole_s"],
            whole_p95_s=_read_p95(report and report.whole),
            **counts._asdict(),
        )


# Reasons of a row; the first row with one of _REASONS_TO_CHOOSE is the choice.
_REASON_HOLDS_PREFIX = "holds the chat's prefix"
_REASON_NEXT_IN_ORDER = "next in the chat's order"
_REASONS_TO_CHOOSE = frozenset({_REASON_HOLDS_PREFIX, _REASON_NEXT_IN_ORDER})


def _read_p95(quantiles: LatencyQuantiles | None) -> float | None:
    return quantiles.p95_s if quantiles and quantiles.count else None


def _make_choice_rows(explanation: Explanation) -> list[ChoiceRow]:
    """Return the servers in the order in which the pool's owner tries them."""
    states = {state.name: state for state in explanation.server_statuses}
    order = list(
        dict.fromkeys([*explanation.recent_servers, *explanation.ranked_servers])
    )
    rows = []
    for rank, name in enumerate((name for name in order if name in states), start=1):
        state = states[name]
        reason = (
            _REASON_HOLDS_PREFIX
            if name in explanation.recent_servers
            else _REASON_NEXT_IN_ORDER
        )
        if not state.usable:
            reason = "leaving, or avoided after failures"
        elif state.in_flight >= state.limit:
            reason = "at its limit"
        rows.append(
            ChoiceRow(
                backend_server=name,
                rank=rank,
                in_flight=state.in_flight,
                state="usable" if state.usable else "not usable",
                reason=reason,
            )
        )
    return rows
