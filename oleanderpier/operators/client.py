"""Asks many hosts at once over the operators' interface."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple

import msgspec
from aiohttp import ClientError, ClientSession
from expression import Error, Ok, Result

from oleanderpier.operators.responses import ConfigurationResponse
from oleanderpier.results import Code, Failure

__all__ = [
    "Directory",
    "Operator",
    "Reply",
    "ask_all",
    "ask_operator",
    "find_directory",
    "map_operators",
]

MAX_ASKED_AT_ONCE = 64
MAX_TEXT_CHARS = 200


class Operator(NamedTuple):
    """The operators' interface of one host.

    Attributes:
        host: The host's name, or ``ADDRESS:PORT`` as long as it is unknown.
    """

    host: str
    address: str
    port: int


class Reply(NamedTuple):
    """What came of asking one host.

    Attributes:
        result: The answer, checked against its ``TypedDict``; or a failure.
    """

    operator: Operator
    result: Result[Any, Failure]


class Directory(NamedTuple):
    """The hosts that can be asked.

    Attributes:
        listed: Whether a list of hosts was read; there may be more hosts
            otherwise.
    """

    operators: list[Operator]
    listed: bool


def format_address(address: str) -> str:
    """Return an IP number as it stands in a URL.

    Examples:
        >>> format_address("::1"), format_address("127.0.0.1")
        ('[::1]', '127.0.0.1')
    """
    return f"[{address}]" if ":" in address else address


async def ask_operator(
    session: ClientSession,
    operator: Operator,
    path: str,
    schema: type,
    **query: str | int,
) -> Reply:
    """Ask one host.

    Args:
        session: Has the timeout that holds.
        operator: Whom to ask.
        path: Such as ``/v1/status``.
        schema: The ``TypedDict`` that the answer has to match; keys that it
            does not know are left out, as a newer host may send more.
        query: The query of the call.
    """
    url = f"http://{format_address(operator.address)}:{operator.port}{path}"
    try:
        async with session.get(url, params=query) as response:
            data = await response.read()
            status = response.status
    except (ClientError, OSError, TimeoutError) as error:
        text = f"unreachable: {str(error) or type(error).__name__}"
        return Reply(operator, Error(Failure(Code.PEER_UNREACHABLE, text)))
    if status != 200:
        return Reply(operator, Error(_read_refusal(status, data)))
    try:
        return Reply(operator, Ok(msgspec.json.decode(data, type=schema)))
    except msgspec.DecodeError as error:
        text = f"answered something else: {error}"
        return Reply(operator, Error(Failure(Code.MESSAGE_MALFORMED, text)))


async def ask_all(
    session: ClientSession,
    operators: Iterable[Operator],
    path: str,
    schema: type,
    **query: str | int,
) -> list[Reply]:
    """Ask many hosts at once and return their replies in the hosts' order."""

    async def ask(operator: Operator) -> Reply:
        return await ask_operator(session, operator, path, schema, **query)

    return await map_operators(ask, operators)


async def map_operators(
    ask: Callable[[Operator], Awaitable[Reply]], operators: Iterable[Operator]
) -> list[Reply]:
    """Call a coroutine function for each host, a bounded number at once."""
    slots = asyncio.Semaphore(MAX_ASKED_AT_ONCE)

    async def ask_in_turn(operator: Operator) -> Reply:
        async with slots:
            return await ask(operator)

    return await asyncio.gather(*map(ask_in_turn, operators))


async def find_directory(
    session: ClientSession, seeds: Iterable[Operator]
) -> Directory:
    """Return every host in the newest list of hosts that the seeds know.

    A seed that is in no list stays, so that it is not lost from sight.
    """
    seeds = list(seeds)
    replies = await ask_all(session, seeds, "/v1/configuration", ConfigurationResponse)
    lists = [
        reply.result.ok["documents"]["hosts"]
        for reply in replies
        if reply.result.is_ok() and "hosts" in reply.result.ok["documents"]
    ]
    if not lists:
        return Directory(seeds, listed=False)
    newest = max(lists, key=lambda each: each["version"])
    known = [
        Operator(host["name"], host["address"], host["operator_port"])
        for host in newest["hosts"]
    ]
    places = {operator[1:] for operator in known}
    unlisted = [seed for seed in seeds if seed[1:] not in places]
    return Directory(known + unlisted, listed=True)


def _read_refusal(status: int, data: bytes) -> Failure:
    try:
        refusal = msgspec.json.decode(data)
        code = Code(refusal["code"])
        return Failure(code, f"refused: {int(code)} {code.name}: {refusal['text']}")
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        text = data.decode(errors="replace")[:MAX_TEXT_CHARS]
        return Failure(Code.PEER_UNREACHABLE, f"answered {status}: {text}")
