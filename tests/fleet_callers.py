"""Requests to the hosts of a fleet, and what their callers get."""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

import aiohttp

from standins.platform_fleet import PlatformFleet

__all__ = ["Result", "send_request"]


class Result(NamedTuple):
    """What the caller of a request got.

    Attributes:
        sent_s: When it was sent, on the event loop's clock.
        status: The status of the response; 0 if it did not arrive whole.
        took_s: Time until then.
        retry_after: The header ``Retry-After``, empty without one.
    """

    sent_s: float
    status: int
    took_s: float
    retry_after: str


async def send_request(
    fleet: PlatformFleet,
    hosts: Iterable[int],
    path: str,
    identity: str,
    body: bytes = b"body",
    **headers: str,
) -> Result:
    """Send a request to the first of some hosts that listens.

    Args:
        fleet: The hosts.
        hosts: Their numbers, in the order in which they are tried.
        path: The path, with the query.
        identity: The id of the request.
        body: The body; a lookup has none.
        headers: Further headers.
    """
    loop = asyncio.get_running_loop()
    sent_s = loop.time()
    status, retry_after = 0, ""
    for host in hosts:
        try:
            async with fleet.request(host, path, identity, body, **headers) as response:
                await response.read()
                status = response.status
                retry_after = response.headers.get("Retry-After", "")
        except aiohttp.ClientConnectorError:
            continue
        except aiohttp.ClientError:
            # The response has not arrived whole.
            pass
        break
    return Result(sent_s, status, loop.time() - sent_s, retry_after)
