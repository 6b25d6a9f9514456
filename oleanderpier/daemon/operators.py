"""The operators' interface: read-only HTTP."""

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import REGISTRY
from prometheus_client.exposition import generate_latest

from oleanderpier.configuration import DOCUMENT_NAMES
from oleanderpier.operators import EventsAnswer, StatusAnswer, make_event_row

if TYPE_CHECKING:
    from oleanderpier.daemon.node import Node

__all__ = ["make_operator_app"]


def make_operator_app(node: "Node") -> web.Application:
    """Return the HTTP application that operators read from.

    Args:
        node: The daemon to tell of.
    """
    app = web.Application()

    async def get_status(request: web.Request) -> web.Response:
        return web.json_response(describe_status(node))

    async def get_events(request: web.Request) -> web.Response:
        after = request.query.get("after", "0")
        if not after.isdecimal():
            raise web.HTTPBadRequest(text="after is a whole number")
        tail = node.ring.list_after(int(after))
        rows = [make_event_row(event) for event in tail.events]
        return web.json_response(
            EventsAnswer(events=rows, lost=tail.lost, last=tail.last)
        )

    async def get_metrics(request: web.Request) -> web.Response:
        return web.Response(body=generate_latest(REGISTRY), content_type="text/plain")

    app.router.add_get("/v1/status", get_status)
    app.router.add_get("/v1/events", get_events)
    app.router.add_get("/metrics", get_metrics)
    return app


def describe_status(node: "Node") -> StatusAnswer:
    """Return what ``GET /v1/status`` tells of a daemon."""
    return StatusAnswer(
        host=node.host,
        incarnation=node.incarnation,
        failure_domain=node.settings["failure_domain"],
        state=node.state,
        started_s=node.started_s,
        versions={
            name: {"version": published.version, "digest": published.digest}
            for name in DOCUMENT_NAMES
            if (published := node.documents.get(name))
        },
        refused_documents=[
            {"name": item.name, "version": item.version, "text": item.text}
            for item in node.documents.list_refused()
        ],
        members=[
            {"host": host, "state": node.members.find_state(host).name.lower()}
            for host in sorted(node.members.list_known())
        ],
        backend_servers=[
            {"name": name, "state": "live", "in_flight": count}
            for name, count in sorted(node.in_flight.items())
        ],
        in_progress=node.in_progress,
    )
