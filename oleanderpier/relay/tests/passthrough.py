"""The naive baseline: whatever the engine sends goes to the caller."""

import contextlib

import aiohttp
from aiohttp import web

__all__ = ["pass_through"]


async def pass_through(
    request: web.Request, session: aiohttp.ClientSession, url: str, body: dict
) -> web.StreamResponse:
    """Forward an engine's stream unchecked, without watching it."""
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    with contextlib.suppress(aiohttp.ClientError):
        async with session.post(url, json=body) as answer:
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
    return response
