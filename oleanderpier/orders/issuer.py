"""Gives one order under a lease."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from eliot import log_message
from expression import Error, Ok, Result

from oleanderpier.orders.budget import StartPermit
from oleanderpier.orders.lease import Lease
from oleanderpier.orders.limits import RETRY_DELAY_S
from oleanderpier.results import Code, Failure, MaybeSent, NotSent

__all__ = ["Executed", "OrderError", "Refused", "SendOrder", "issue_order"]


class Executed(NamedTuple):
    """The engine obeyed an order.

    Attributes:
        fence: The order's fencing token.
    """

    fence: int


class Refused(NamedTuple):
    """The engine answered that it does not obey."""

    failure: Failure


OrderError = NotSent | Refused | MaybeSent
SendOrder = Callable[[int, Callable[[], bool]], Awaitable[Result[None, OrderError]]]

_NOT_HELD_FAILURE = Failure(
    Code.LEASE_NOT_HELD,
    "too little of the lease is left, or an order may still take effect",
    RETRY_DELAY_S,
)
_ENDED_FAILURE = Failure(Code.LEASE_ENDED, "the order was obeyed after the lease ended")
_LOST_FAILURE = Failure(Code.ANSWER_LOST, "the send failed", RETRY_DELAY_S)


async def issue_order(
    lease: Lease, send: SendOrder, permit: StartPermit | None = None
) -> Result[Executed, Failure]:
    """Give one order, if the lease lasts until it has taken effect.

    Args:
        lease: The lease of the engine.
        send: Sends the order once, with the fencing token that it is given. It
            asks the function that it is given right before the first byte of
            the order, and sends nothing if the answer is no.
        permit: The start that the order uses, where it draws on a budget.

    Returns:
        The order's fence once it is obeyed, or a failure: ``ANSWER_LOST`` if it
        may have been obeyed, ``LEASE_ENDED`` if it was obeyed too late to be
        sure that no other process gave orders before it.
    """
    fence = lease.start_order()
    if fence is None:
        return Error(_NOT_HELD_FAILURE)

    def may_write() -> bool:
        return lease.may_write() and (permit is None or permit.valid)

    try:
        sent = await send(fence, may_write)
    except Exception as error:
        log_message("orders:send_raised", reason=repr(error))
        sent = Error(MaybeSent(_LOST_FAILURE))
    except asyncio.CancelledError:
        lease.finish_order(False)
        raise
    certain = sent.is_ok() or not isinstance(sent.error, MaybeSent)
    lease.finish_order(certain)
    ended = lease.left_s == 0
    if ended:
        code = int(Code.LEASE_ENDED)
        log_message("orders:lease_ended", subject=lease.subject, fence=fence, code=code)
    if sent.is_error():
        return Error(sent.error.failure)
    return Error(_ENDED_FAILURE) if ended else Ok(Executed(fence))
