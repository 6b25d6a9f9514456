"""HTTP response with the metrics of a registry."""

from aiohttp.web_response import Response
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

__all__ = ["make_metrics_response"]


def make_metrics_response(registry: CollectorRegistry) -> Response:
    """Return a response with all metrics of a registry in Prometheus text format.

    Args:
        registry: The registry of the metrics.
    """
    headers = {"Content-Type": CONTENT_TYPE_LATEST}
    return Response(body=generate_latest(registry), headers=headers)
