"""The form in which a caller is told of a failure."""

from typing import TypedDict

from aiohttp import web

from oleanderpier.results import Failure, describe_code

__all__ = ["Refusal", "make_refusal", "refuse_request"]


class Refusal(TypedDict):
    """The JSON form of a result code, for callers."""

    code: int
    name: str
    fate: str
    text: str
    retry_after_s: float | None


def make_refusal(failure: Failure) -> Refusal:
    """Return the JSON form in which a caller is told of a failure.

    Examples:
        >>> from oleanderpier.results import Code
        >>> make_refusal(Failure(Code.STREAM_CUT, "", 1.0))["fate"]
        'may_have_run'
    """
    entry = describe_code(failure.code)
    return {
        "code": int(failure.code),
        "name": failure.code.name,
        "fate": entry.fate.value,
        "text": failure.text or entry.meaning,
        "retry_after_s": failure.retry_after_s,
    }


def refuse_request(failure: Failure) -> web.Response:
    """Return the HTTP answer that tells a caller of a failure."""
    headers = {}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(failure.retry_after_s)))
    return web.json_response(
        make_refusal(failure),
        status=describe_code(failure.code).http_status,
        headers=headers,
    )
