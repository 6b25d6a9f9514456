"""What callers may ask, and the form of what they are told."""

import json
from typing import Annotated, Any, NotRequired, TypedDict

import msgspec
from aiohttp import web

from oleanderpier.exception import SettingsError
from oleanderpier.results import Failure, describe_code
from oleanderpier.utils import check_mapping

__all__ = [
    "CallRequest",
    "ChatRequest",
    "make_refusal",
    "read_request",
    "refuse_request",
]

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]

ChatRequest = TypedDict(
    "ChatRequest",
    {
        "workspace": Text,
        "class": Text,
        "chat": Text,
        "messages": list[str],
        "max_tokens": Count,
    },
)
CallRequest = TypedDict(
    "CallRequest",
    {
        "workspace": Text,
        "class": Text,
        "key": NotRequired[Text],
        "body": dict[str, Any],
    },
)


async def read_request(schema: type, request: web.Request) -> Any:
    """Return a request's checked JSON body.

    Args:
        schema: ``ChatRequest`` or ``CallRequest``.
        request: The HTTP request.

    Raises:
        SettingsError: The body is no JSON or does not match the schema.
    """
    try:
        value = await request.json()
    except (json.JSONDecodeError, UnicodeDecodeError) as error:
        raise SettingsError("$", str(error), "a JSON object") from error
    return check_mapping(schema, value)


def make_refusal(failure: Failure) -> dict[str, Any]:
    """Return the JSON form in which a caller is told of a failure."""
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
