"""HTTP client that queries many hosts at once over the operators' interface."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple

import msgspec
from aiohttp import ClientError, ClientSession
from expression import Error, Ok, Result

from oleanderpier.operators.responses import ConfigurationResponse
from oleanderpier.results import Code, Failure

__all__ = [
    "HostDirectory",
    "OperatorEndpoint",
    "QueryOutcome",
    "discover_hosts",
    "map_endpoints",
    "query_host",
    "query_hosts",
]

MAX_CONCURRENT_QUERIES = 64
MAX_BODY_EXCERPT_CHARS = 200


class OperatorEndpoint(NamedTuple):
    """The operators' interface of one host.

    Attributes:
        host: The host's name, or ``ADDRESS:PORT`` if its name is not known.
        address: The host's IP address, without brackets.
        port: The TCP port of the operators' interface.
    """

    host: str
    address: str
    port: int


class QueryOutcome(NamedTuple):
    """The outcome of one query to one host.

    Attributes:
        endpoint: The host that was queried.
        result: The decoded response, validated against its ``TypedDict``, or the
            reason why there is none.
    """

    endpoint: OperatorEndpoint
    result: Result[Any, Failure]


class HostDirectory(NamedTuple):
    """The hosts that can be queried.

    Attributes:
        endpoints: The operators' interface of each host.
        is_complete: Whether the endpoints are all that the query is meant for:
            False if no host list could be read, so that there may be more hosts.
    """

    endpoints: list[OperatorEndpoint]
    is_complete: bool


def format_address(address: str) -> str:
    """Return an IP address as it is written in a URL, IPv6 in brackets.

    Examples:
        >>> format_address("::1"), format_address("127.0.0.1")
        ('[::1]', '127.0.0.1')
    """
    return f"[{address}]" if ":" in address else address


async def query_host(
    session: ClientSession,
    endpoint: OperatorEndpoint,
    path: str,
    schema: type,
    **query: str | int,
) -> QueryOutcome:
    """Send a GET request to one host and decode its response.

    Args:
        session: The HTTP session; its timeout applies to the request.
        endpoint: The host to query.
        path: The URL path, such as ``/v1/status``.
        schema: The ``TypedDict`` that the response has to match. Keys that the
            schema does not have are ignored, since hosts that run a newer version
            may send more.
        query: The parameters of the URL's query string.
    """
    url = f"http://{format_address(endpoint.address)}:{endpoint.port}{path}"
    try:
        async with session.get(url, params=query) as response:
            data = await response.read()
            status = response.status
    except (ClientError, OSError, TimeoutError) as error:
        text = f"unreachable: {str(error) or type(error).__name__}"
        return QueryOutcome(endpoint, Error(Failure(Code.PEER_UNREACHABLE, text)))
    if status != 200:
        return QueryOutcome(endpoint, Error(_parse_refusal(status, data)))
    try:
        return QueryOutcome(endpoint, Ok(msgspec.json.decode(data, type=schema)))
    except msgspec.DecodeError as error:
        text = f"response does not match its schema: {error}"
        return QueryOutcome(endpoint, Error(Failure(Code.MESSAGE_MALFORMED, text)))


async def query_hosts(
    session: ClientSession,
    endpoints: Iterable[OperatorEndpoint],
    path: str,
    schema: type,
    **query: str | int,
) -> list[QueryOutcome]:
    """Query many hosts concurrently and return the outcomes in the hosts' order.

    Args:
        session: The HTTP session; its timeout applies to each request.
        endpoints: The hosts to query.
        path: The URL path, such as ``/v1/status``.
        schema: The ``TypedDict`` that each response has to match.
        query: The parameters of the URL's query string.
    """

    async def query_endpoint(endpoint: OperatorEndpoint) -> QueryOutcome:
        return await query_host(session, endpoint, path, schema, **query)

    return await map_endpoints(query_endpoint, endpoints)


async def map_endpoints(
    query: Callable[[OperatorEndpoint], Awaitable[QueryOutcome]],
    endpoints: Iterable[OperatorEndpoint],
) -> list[QueryOutcome]:
    """Call a coroutine function for each host, with bounded concurrency.

    Returns:
        The outcomes, in the order of the endpoints.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def query_with_limit(endpoint: OperatorEndpoint) -> QueryOutcome:
        async with semaphore:
            return await query(endpoint)

    return await asyncio.gather(*map(query_with_limit, endpoints))


async def discover_hosts(
    session: ClientSession, seeds: Iterable[OperatorEndpoint]
) -> HostDirectory:
    """Return all hosts in the newest ``hosts`` document that the seeds hold.

    A seed that this document does not list is included as well, so that a host
    that was removed from the document, or not yet added to it, is still shown.
    """
    seeds = list(seeds)
    outcomes = await query_hosts(
        session, seeds, "/v1/configuration", ConfigurationResponse
    )
    documents = [
        outcome.result.ok["documents"]["hosts"]
        for outcome in outcomes
        if outcome.result.is_ok() and "hosts" in outcome.result.ok["documents"]
    ]
    if not documents:
        return HostDirectory(seeds, is_complete=False)
    newest = max(documents, key=lambda document: document["version"])
    listed = [
        OperatorEndpoint(host["name"], host["address"], host["operator_port"])
        for host in newest["hosts"]
    ]
    listed_sockets = {endpoint[1:] for endpoint in listed}
    unlisted = [seed for seed in seeds if seed[1:] not in listed_sockets]
    return HostDirectory(listed + unlisted, is_complete=True)


def _parse_refusal(status: int, data: bytes) -> Failure:
    """Return the failure that a response with a status other than 200 describes.

    A body that is no refusal in JSON, such as a proxy's error page, is quoted.
    """
    try:
        refusal = msgspec.json.decode(data)
        code = Code(refusal["code"])
        return Failure(code, f"refused: {int(code)} {code.name}: {refusal['text']}")
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        text = data.decode(errors="replace")[:MAX_BODY_EXCERPT_CHARS]
        return Failure(Code.PEER_UNREACHABLE, f"HTTP status {status}: {text}")
