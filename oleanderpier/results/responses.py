"""The HTTP response that reports a failure."""

from aiohttp.web_response import Response, json_response

from oleanderpier.results.codes import Failure, describe_code
from oleanderpier.results.refusals import make_refusal_body

__all__ = ["make_refusal_response"]


def make_refusal_response(failure: Failure) -> Response:
    """Return the HTTP response that reports a failure.

    The status is that of the result code. ``Retry-After``, in whole seconds and
    at least 1, is set if the failure has a ``retry_after_s``.
    """
    headers = {}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(failure.retry_after_s)))
    return json_response(
        make_refusal_body(failure),
        status=describe_code(failure.code).http_status,
        headers=headers,
    )
