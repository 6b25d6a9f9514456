"""HTTP server of the operators' interface: read-only views of a daemon's state."""

from typing import Annotated, Any, NotRequired, Protocol, TypedDict

import msgspec
from aiohttp import web
from expression import Result
from prometheus_client import REGISTRY, CollectorRegistry

from oleanderpier.events import make_metrics_response
from oleanderpier.operators.responses import (
    ConfigurationResponse,
    EventsResponse,
    ExplainResponse,
    StatusResponse,
    TargetsResponse,
)
from oleanderpier.results import Code, Failure, make_refusal_response

__all__ = ["DaemonView", "make_operator_app"]

# Integers up to 2**53 keep their value in every JSON decoder.
BoundedCount = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
BoundedText = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class EventsQuery(TypedDict):
    """The query string of ``GET /v1/events``.

    Attributes:
        after: The last sequence number that the client already has; 0 for all.
        limit: Maximum number of events; all that are kept if absent.
    """

    after: BoundedCount
    limit: NotRequired[BoundedCount]


ExplainQuery = TypedDict("ExplainQuery", {"chat": BoundedText, "class": BoundedText})


class DaemonView(Protocol):
    """The read-only view of a daemon that the operators' interface serves.

    Methods neither block nor change the state of the daemon.
    """

    def describe_status(self) -> StatusResponse:
        """Return the host's state and its records of other hosts and servers."""

    def describe_targets(self) -> TargetsResponse:
        """Return the targets of each class of work and this host's measurements."""

    def describe_configuration(self) -> ConfigurationResponse:
        """Return the documents in force."""

    def list_events(self, after: int, limit: int | None) -> EventsResponse:
        """Return the newest events after a sequence number.

        Args:
            after: The last sequence number that the client already has.
            limit: Maximum number of events; None for no limit.
        """

    def explain(self, chat: str, work_class: str) -> Result[ExplainResponse, Failure]:
        """Return the placement of a chat, or a failure if its class is unknown."""


def make_operator_app(
    view: DaemonView, registry: CollectorRegistry = REGISTRY
) -> web.Application:
    """Return the HTTP application of the operators' interface.

    Args:
        view: The daemon whose state is served.
        registry: The metrics served at ``/metrics``.
    """

    async def get_status(request: web.Request) -> web.Response:
        return make_json_response(view.describe_status())

    async def get_targets(request: web.Request) -> web.Response:
        return make_json_response(view.describe_targets())

    async def get_configuration(request: web.Request) -> web.Response:
        return make_json_response(view.describe_configuration())

    async def get_events(request: web.Request) -> web.Response:
        try:
            query = convert_query(EventsQuery, {"after": "0", **request.query})
        except msgspec.ValidationError as error:
            return make_refusal_response(Failure(Code.REQUEST_MALFORMED, str(error)))
        return make_json_response(view.list_events(query["after"], query.get("limit")))

    async def get_explanation(request: web.Request) -> web.Response:
        try:
            query = convert_query(ExplainQuery, request.query)
        except msgspec.ValidationError as error:
            return make_refusal_response(Failure(Code.REQUEST_MALFORMED, str(error)))
        result = view.explain(query["chat"], query["class"])
        return (
            make_refusal_response(result.error)
            if result.is_error()
            else make_json_response(result.ok)
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


def convert_query(schema: type, query: Any) -> Any:
    """Return a query string's parameters, converted from text to a ``TypedDict``.

    Raises:
        msgspec.ValidationError: A parameter is missing, malformed or out of bounds.
    """
    return msgspec.convert(dict(query), schema, strict=False)


def make_json_response(value: Any) -> web.Response:
    """Return an HTTP response with a value as its JSON body."""
    body = msgspec.json.encode(value)
    return web.Response(body=body, content_type="application/json")
