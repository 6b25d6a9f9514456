"""The HTTP answer that tells of a failure."""

from aiohttp import web

from oleanderpier.results.codes import Failure, describe_code
from oleanderpier.results.refusals import make_refusal_body

__all__ = ["make_refusal_response"]


def make_refusal_response(failure: Failure) -> web.Response:
    """Return the HTTP answer that tells of a failure.

    Its status is the code's; ``Retry-After`` is set where there is a time to
    come back.
    """
    headers = {}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(failure.retry_after_s)))
    return web.json_response(
        make_refusal_body(failure),
        status=describe_code(failure.code).http_status,
        headers=headers,
    )
