"""What callers may ask, and the checks on it."""

import json
from typing import Annotated, Any, NotRequired, TypedDict

import msgspec
from aiohttp import web

from oleanderpier.exception import SettingsError
from oleanderpier.utils import check_mapping

__all__ = ["CallRequest", "ChatRequest", "read_request"]

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
