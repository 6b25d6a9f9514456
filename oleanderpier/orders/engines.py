"""Sends orders to model engines over HTTP."""

import asyncio
from collections.abc import AsyncIterator, Callable
from functools import singledispatch
from typing import NamedTuple

import aiohttp
import msgspec
from expression import Error, Ok, Result

from oleanderpier.configuration import BackendServer
from oleanderpier.exception import OleanderpierError
from oleanderpier.orders.issuer import OrderError, Refused
from oleanderpier.orders.limits import ORDER_TIMEOUT_S, RETRY_DELAY_S
from oleanderpier.relay.connections import CONNECT_TIMEOUT_S, format_url
from oleanderpier.results import Code, Failure, MaybeSent, NotSent

__all__ = ["Order", "send_order"]


class Order(NamedTuple):
    """An order for an engine.

    Attributes:
        kind: Kind of the operation, such as ``load_model``, ``load_adapter`` or
            ``change_role``.
        subject: The model, adapter, version or role to load or change to.
    """

    kind: str
    subject: str


class _LeaseTooShortError(OleanderpierError):
    """Too little of the lease was left when the connection was open."""


async def send_order(
    session: aiohttp.ClientSession,
    backend_server: BackendServer,
    order: Order,
    fence: int,
    may_write: Callable[[], bool],
) -> Result[None, OrderError]:
    """Send an order once over a new connection, without retries.

    The order is the request's body. It is written only after the connection is open
    and ``may_write`` has returned True. An engine can't execute an order of which it
    got only the request headers.

    Args:
        session: A session from ``oleanderpier.relay.make_session``.
        backend_server: The engine.
        order: The order.
        fence: Its fencing token.
        may_write: Returns whether the order may still be written.

    Returns:
        None if the engine executed the order. Otherwise whether the order was
        not sent, was refused, or may have been executed.
    """
    body = {"fence": fence, "kind": order.kind, "subject": order.subject}
    try:
        async with asyncio.timeout(ORDER_TIMEOUT_S):
            async with session.post(
                format_url(backend_server, "/v1/orders"),
                data=_write_body(msgspec.json.encode(body), may_write),
                headers={"Content-Type": "application/json"},
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S),
            ) as response:
                return _read_status(backend_server["name"], response.status)
    except (aiohttp.ClientError, OSError) as error:
        withheld = isinstance(error.__cause__, _LeaseTooShortError)
        return Error(_classify_error(error.__cause__ if withheld else error))


async def _write_body(
    data: bytes, may_write: Callable[[], bool]
) -> AsyncIterator[bytes]:
    if not may_write():
        raise _LeaseTooShortError
    yield data


def _read_status(name: str, status: int) -> Result[None, OrderError]:
    if status == 200:
        return Ok(None)
    if 400 <= status < 500:
        text = f"{name} answered {status}"
        return Error(Refused(Failure(Code.ORDER_REFUSED, text)))
    return Error(_make_response_lost(f"{name} answered {status}"))


def _make_response_lost(text: str) -> MaybeSent:
    return MaybeSent(Failure(Code.ANSWER_LOST, text, RETRY_DELAY_S))


@singledispatch
def _classify_error(error: BaseException) -> OrderError:
    """Return the fate of an order whose request failed; by default, it may have run."""
    return _make_response_lost(repr(error))


@_classify_error.register(aiohttp.ClientConnectorError)
@_classify_error.register(aiohttp.ConnectionTimeoutError)
def _(error: BaseException) -> OrderError:
    return NotSent(Failure(Code.NO_BACKEND_SERVER, repr(error), RETRY_DELAY_S))


@_classify_error.register
def _(error: _LeaseTooShortError) -> OrderError:
    return NotSent(Failure(Code.LEASE_NOT_HELD, "too little of the lease is left"))
