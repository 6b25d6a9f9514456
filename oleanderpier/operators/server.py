"""Serves the operators' interface: read-only HTTP over what a daemon reports."""

from typing import Annotated, Any, NotRequired, Protocol, TypedDict

import msgspec
from aiohttp import web
from expression import Result
from prometheus_client import REGISTRY, CollectorRegistry

from oleanderpier.events import make_metrics_response
from oleanderpier.operators.answers import (
    ConfigurationAnswer,
    EventsAnswer,
    ExplainAnswer,
    StatusAnswer,
    TargetsAnswer,
)
from oleanderpier.results import Code, Failure, make_refusal_response

__all__ = ["Reports", "make_operator_app"]

Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class EventsQuery(TypedDict):
    after: Count
    limit: NotRequired[Count]


ExplainQuery = TypedDict("ExplainQuery", {"chat": Text, "class": Text})


class Reports(Protocol):
    """What a daemon tells operators; nothing here waits or changes anything."""

    def report_status(self) -> StatusAnswer:
        """Return the state of the host and what it believes of others."""

    def report_targets(self) -> TargetsAnswer:
        """Return the targets of each class beside what was measured."""

    def report_configuration(self) -> ConfigurationAnswer:
        """Return the documents in force."""

    def report_events(self, after: int, limit: int | None) -> EventsAnswer:
        """Return the newest events after a sequence number."""

    def explain(self, chat: str, work_class: str) -> Result[ExplainAnswer, Failure]:
        """Return where a chat goes and why, or why that can't be told."""


def make_operator_app(
    reports: Reports, registry: CollectorRegistry = REGISTRY
) -> web.Application:
    """Return the HTTP application that operators read from.

    Args:
        reports: What is served.
        registry: The metrics that ``/metrics`` shows.
    """

    async def get_status(request: web.Request) -> web.Response:
        return answer_json(reports.report_status())

    async def get_targets(request: web.Request) -> web.Response:
        return answer_json(reports.report_targets())

    async def get_configuration(request: web.Request) -> web.Response:
        return answer_json(reports.report_configuration())

    async def get_events(request: web.Request) -> web.Response:
        try:
            query = read_query(EventsQuery, {"after": "0", **request.query})
        except msgspec.ValidationError as error:
            return make_refusal_response(Failure(Code.REQUEST_MALFORMED, str(error)))
        return answer_json(reports.report_events(query["after"], query.get("limit")))

    async def get_explanation(request: web.Request) -> web.Response:
        try:
            query = read_query(ExplainQuery, request.query)
        except msgspec.ValidationError as error:
            return make_refusal_response(Failure(Code.REQUEST_MALFORMED, str(error)))
        result = reports.explain(query["chat"], query["class"])
        return (
            make_refusal_response(result.error)
            if result.is_error()
            else answer_json(result.ok)
        )

    async def get_metrics(request: web.Request) -> web.Response:
        return make_metrics_response(registry)

    app = web.Application()
    app.router.add_get("/v1/status", get_status)
    app.router.add_get("/v1/targets", get_targets)
    app.router.add_get("/v1/configuration", get_configuration)
    app.router.add_get("/v1/events", get_events)
    app.router.add_get("/v1/explain", get_explanation)
    app.router.add_get("/metrics", get_metrics)
    return app


def read_query(schema: type, query: Any) -> Any:
    """Return the query of a call, converted from text to a ``TypedDict``.

    Raises:
        msgspec.ValidationError: A part is missing or out of bounds.
    """
    return msgspec.convert(dict(query), schema, strict=False)


def answer_json(value: Any) -> web.Response:
    """Return an answer with a JSON body."""
    body = msgspec.json.encode(value)
    return web.Response(body=body, content_type="application/json")
