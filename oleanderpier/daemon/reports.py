"""What a daemon tells operators of its parts."""

from expression import Error, Ok, Result

from oleanderpier.configuration import DOCUMENT_NAMES, WorkClass
from oleanderpier.daemon.node import Node
from oleanderpier.operators import (
    ChoiceRow,
    ClassRow,
    ConfigurationAnswer,
    EventsAnswer,
    ExplainAnswer,
    InForce,
    RefusedDocument,
    StatusAnswer,
    TargetsAnswer,
    make_events_answer,
)
from oleanderpier.placement import Explanation
from oleanderpier.relay import ClassReport, Quantiles
from oleanderpier.results import Code, Failure

__all__ = ["NodeReports"]


class NodeReports:
    """The reports of one daemon, for ``make_operator_app``.

    Args:
        node: The daemon to tell of.
    """

    def __init__(self, node: Node) -> None:
        self._node = node

    def report_status(self) -> StatusAnswer:
        """Return the state of the host and what it believes of others."""
        node = self._node
        return StatusAnswer(
            host=node.host,
            incarnation=node.incarnation,
            failure_domain=node.settings["failure_domain"],
            state=node.state,
            started_s=node.started_s,
            versions=self._list_versions(),
            refused_documents=self._list_refused(),
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

    def report_targets(self) -> TargetsAnswer:
        """Return the targets of each class beside what was measured."""
        published = self._node.documents.get("configuration")
        classes = published.body["classes"] if published else []
        reports = {
            report.work_class: report for report in self._node.relay.measures.report()
        }
        return TargetsAnswer(
            host=self._node.host,
            classes=[
                self._make_row(item, reports.get(item["name"])) for item in classes
            ],
        )

    def report_configuration(self) -> ConfigurationAnswer:
        """Return the documents in force."""
        documents = self._node.documents
        return ConfigurationAnswer(
            host=self._node.host,
            versions=self._list_versions(),
            documents={
                name: published.body
                for name in DOCUMENT_NAMES
                if (published := documents.get(name))
            },
            refused_documents=self._list_refused(),
        )

    def report_events(self, after: int, limit: int | None) -> EventsAnswer:
        """Return the newest events after a sequence number."""
        return make_events_answer(self._node.ring, after, limit)

    def explain(self, chat: str, work_class: str) -> Result[ExplainAnswer, Failure]:
        """Return where a chat goes and why, or why that can't be told."""
        item = self._node.find_class(work_class)
        if item is None:
            return Error(Failure(Code.CLASS_UNKNOWN, f"no class {work_class!r}"))
        explanation = self._node.placement.explain(chat, work_class)
        choices = _list_choices(explanation)
        chosen = next((row for row in choices if row["reason"] in _CHOSEN), None)
        return Ok(
            ExplainAnswer(
                chat=chat,
                work_class=work_class,
                pool=explanation.pools[0] if explanation.pools else "",
                owner=explanation.owner,
                choices=choices,
                chosen=chosen and chosen["backend_server"],
            )
        )

    def _list_versions(self) -> dict[str, InForce]:
        documents = self._node.documents
        return {
            name: InForce(version=published.version, digest=published.digest)
            for name in DOCUMENT_NAMES
            if (published := documents.get(name))
        }

    def _list_refused(self) -> list[RefusedDocument]:
        return [
            RefusedDocument(name=item.name, version=item.version, text=item.text)
            for item in self._node.documents.list_refusals()
        ]

    def _make_row(self, item: WorkClass, report: ClassReport | None) -> ClassRow:
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


_HOME = "holds the chat's prefix"
_NEXT = "next in the chat's order"
_CHOSEN = frozenset({_HOME, _NEXT})


def _read_p95(quantiles: Quantiles | None) -> float | None:
    return quantiles.p95_s if quantiles and quantiles.count else None


def _list_choices(explanation: Explanation) -> list[ChoiceRow]:
    """Return the servers in the order in which the owner tries them."""
    states = {state.name: state for state in explanation.servers}
    order = list(dict.fromkeys([*explanation.homes, *explanation.order]))
    rows = []
    for rank, name in enumerate((name for name in order if name in states), start=1):
        state = states[name]
        reason = _HOME if name in explanation.homes else _NEXT
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
