"""Baseline for the relay: forwards an engine's bytes to the caller unchecked."""

import contextlib

import aiohttp
from aiohttp import web

__all__ = ["pass_through"]


async def pass_through(
    request: web.Request, session: aiohttp.ClientSession, url: str, body: dict
) -> web.StreamResponse:
    """Forward an engine's stream without checks, time limits or retries."""
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    with contextlib.suppress(aiohttp.ClientError):
        async with session.post(url, json=body) as engine_response:
            await response.prepare(request)
            async for chunk in engine_response.content.iter_any():
                await response.write(chunk)
    return response
