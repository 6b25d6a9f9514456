"""Issues one order under a lease."""

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
    """The engine executed the order.

    Attributes:
        fence: Fencing token of the order.
    """

    fence: int


class Refused(NamedTuple):
    """The engine refused the order.

    Attributes:
        failure: The refusal, with its result code.
    """

    failure: Failure


OrderError = NotSent | Refused | MaybeSent
SendOrder = Callable[[int, Callable[[], bool]], Awaitable[Result[None, OrderError]]]

_NOT_HELD_FAILURE = Failure(
    Code.LEASE_NOT_HELD,
    "too little of the lease is left, or an order may still take effect",
    RETRY_DELAY_S,
)
_ENDED_FAILURE = Failure(
    Code.LEASE_ENDED, "the order was executed after the lease ended"
)
_LOST_FAILURE = Failure(Code.ANSWER_LOST, "the send failed", RETRY_DELAY_S)


async def issue_order(
    lease: Lease, send: SendOrder, permit: StartPermit | None = None
) -> Result[Executed, Failure]:
    """Issue one order, if it takes effect before the lease can end.

    Args:
        lease: The engine's lease.
        send: Sends the order once. It receives the fencing token and a function,
            which it calls right before the first byte of the order; if the function
            returns False, nothing may be sent. An exception counts as
            ``MaybeSent``.
        permit: The start permit that the order uses, if it counts towards a budget.

    Returns:
        The order's fencing token if the engine executed it, or a failure. Its code
        is ``ANSWER_LOST`` if the order may have been executed, and ``LEASE_ENDED``
        if it was executed but the lease has ended, so that another process may have
        issued orders before it.
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
