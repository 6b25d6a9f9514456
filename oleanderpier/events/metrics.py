"""HTTP response with the metrics of a registry."""

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

__all__ = ["make_metrics_response"]


def make_metrics_response(registry: CollectorRegistry) -> web.Response:
    """Return a response with all metrics of a registry in Prometheus text format.

    Args:
        registry: The registry of the metrics.
    """
    headers = {"Content-Type": CONTENT_TYPE_LATEST}
    return web.Response(body=generate_latest(registry), headers=headers)
