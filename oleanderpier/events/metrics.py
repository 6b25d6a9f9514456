"""Serves a registry of metrics over HTTP."""

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

__all__ = ["make_metrics_response"]


def make_metrics_response(registry: CollectorRegistry) -> web.Response:
    """Return the answer that holds every metric of a registry, as text.

    Args:
        registry: Where the metrics are registered.
    """
    headers = {"Content-Type": CONTENT_TYPE_LATEST}
    return web.Response(body=generate_latest(registry), headers=headers)
