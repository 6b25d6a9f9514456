"""Schemas of callers' requests and their validation."""

import json
from typing import Annotated, Any, NotRequired, TypedDict

import msgspec
from aiohttp import web

from oleanderpier.exception import SettingsError
from oleanderpier.utils import check_mapping

__all__ = ["CallRequest", "ChatRequest", "read_request"]

ShortText = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
TokenCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]

ChatRequest = TypedDict(
    "ChatRequest",
    {
        "workspace": ShortText,
        "class": ShortText,
        "chat": ShortText,
        "messages": list[str],
        "max_tokens": TokenCount,
    },
)
CallRequest = TypedDict(
    "CallRequest",
    {
        "workspace": ShortText,
        "class": ShortText,
        "key": NotRequired[ShortText],
        "body": dict[str, Any],
    },
)


async def read_request(schema: type, request: web.Request) -> Any:
    """Return the validated JSON body of a request.

    Args:
        schema: ``ChatRequest`` or ``CallRequest``.
        request: The HTTP request.

    Raises:
        SettingsError: The body is not JSON or does not match the schema.
    """
    try:
        value = await request.json()
    except (json.JSONDecodeError, UnicodeDecodeError) as error:
        raise SettingsError("$", str(error), "a JSON object") from error
    return check_mapping(schema, value)
