"""Contract tests of orders, against the stand-in of the engine."""

import asyncio
import itertools
from functools import partial

from aiohttp import web
from expression import Ok
from testtools import TestCase

from oleanderpier.orders import (
    LEASE_TERM_S,
    ORDER_TIMEOUT_S,
    Lease,
    LeaseTerm,
    Order,
    issue_order,
    send_order,
)
from oleanderpier.relay import make_session
from oleanderpier.relay.tests.harness import (
    find_closed_port,
    make_server,
    serve_app,
    serve_engines,
)
from oleanderpier.results import Code, NotSent
from oleanderpier.utils import ManualTimers

ORDER = Order("load_model", "drafting-7")


def make_lease(timers, fence, left_s=LEASE_TERM_S):
    """Return a lease that ends after a time, with the first fencing token."""
    term = LeaseTerm(timers.now() + left_s, timers.wall() + left_s, fence)
    return Lease("engine-0", timers, term)


async def issue_orders(session, server, *fences):
    """Issue an order under a lease of each fencing token; return the codes."""
    codes = []
    for fence in fences:
        send = partial(send_order, session, server, ORDER)
        result = await issue_order(make_lease(ManualTimers(), fence), send)
        codes.append(Code.DONE if result.is_ok() else result.error.code)
    return codes


class EngineTest(TestCase):
    """How engines handle orders, and the results that the issuer gets."""

    def run_fences(self, faults):
        """Return the codes and the executed fences of three issuers in turn."""

        async def run():
            async with serve_engines(1) as engines, make_session() as session:
                engine, server = engines[0]
                engine.fault_switch.faults = faults
                codes = await issue_orders(session, server, 5000, 9000, 7000)
                return codes, [order["fence"] for order in engine._orders]

        return asyncio.run(run())

    def test_engine_that_checks_fences_refuses_earlier_issuer(self):
        """An engine that checks fences refuses the order of an earlier issuer."""
        codes, fences = self.run_fences({"fencing": "honoured"})
        self.assertEqual([Code.DONE, Code.DONE, Code.ORDER_REFUSED], codes)
        self.assertEqual([5000, 9000], fences)

    def test_engine_that_ignores_fences_executes_all_orders(self):
        """An engine that ignores fences executes orders of all issuers."""
        codes, fences = self.run_fences({"fencing": "ignored"})
        self.assertEqual([Code.DONE] * 3, codes)
        self.assertEqual([5000, 9000, 7000], fences)

    def test_order_reaches_engine(self):
        """The engine gets the whole order; tokens increase within a lease."""

        async def run():
            async with serve_engines(1) as engines, make_session() as session:
                engine, server = engines[0]
                lease = make_lease(ManualTimers(), 5000)
                for _ in range(2):
                    await issue_order(
                        lease, partial(send_order, session, server, ORDER)
                    )
                return engine._orders

        expected = [{"fence": f, **ORDER._asdict()} for f in (5000, 5001)]
        self.assertEqual(expected, asyncio.run(run()))

    def test_lease_ends_while_connecting(self):
        """Nothing is sent if too little of the lease is left after connecting."""

        async def run():
            async with serve_engines(1) as engines, make_session() as session:
                engine, server = engines[0]
                replies = itertools.chain([True], itertools.repeat(False))
                lease = make_lease(ManualTimers(), 5000)
                lease.may_write = partial(next, replies)
                send = partial(send_order, session, server, ORDER)
                result = await issue_order(lease, send)
                await asyncio.sleep(0.05)
                return result, engine._orders, lease.settled

        result, orders, settled = asyncio.run(run())
        self.assertEqual(Code.LEASE_NOT_HELD, result.error.code)
        self.assertEqual(([], True), (orders, settled))

    def test_order_to_unreachable_engine_is_not_sent(self):
        """An order to a closed port is reported as not sent."""

        async def run():
            async with make_session() as session:
                server = make_server("engine-0", find_closed_port())
                return await send_order(session, server, ORDER, 1, lambda: True)

        error = asyncio.run(run()).error
        self.assertIsInstance(error, NotSent)
        self.assertEqual(Code.NO_BACKEND_SERVER, error.failure.code)

    def test_order_without_response_may_have_run(self):
        """An order without a response may have run, and its lease is not settled."""

        async def cut(request):
            await request.read()
            request.transport.abort()
            return web.Response()

        async def run():
            app = web.Application()
            app.router.add_post("/v1/orders", cut)
            async with serve_app(app) as port, make_session() as session:
                lease = make_lease(ManualTimers(), 5000)
                server = make_server("engine-0", port)
                send = partial(send_order, session, server, ORDER)
                return await issue_order(lease, send), lease.settled

        result, settled = asyncio.run(run())
        self.assertEqual((Code.ANSWER_LOST, False), (result.error.code, settled))


class IssuerTest(TestCase):
    """The checks of the lease around one order."""

    def test_too_little_of_lease_left(self):
        """No order starts if the lease may end before it takes effect."""

        async def send(fence, may_write):
            raise AssertionError("sent")

        lease = make_lease(ManualTimers(), 1, ORDER_TIMEOUT_S + 0.5)
        result = asyncio.run(issue_order(lease, send))
        self.assertEqual(Code.LEASE_NOT_HELD, result.error.code)

    def test_lease_ends_during_order(self):
        """An order whose lease ended before its response gets ``LEASE_ENDED``."""
        timers = ManualTimers()

        async def send(fence, may_write):
            timers.advance(LEASE_TERM_S)
            return Ok(None)

        result = asyncio.run(issue_order(make_lease(timers, 1), send))
        self.assertEqual(Code.LEASE_ENDED, result.error.code)

    def test_order_may_have_run_after_exception_in_send(self):
        """After an exception in the send, the order may have been executed."""

        async def send(fence, may_write):
            raise ValueError

        lease = make_lease(ManualTimers(), 1)
        result = asyncio.run(issue_order(lease, send))
        self.assertEqual(Code.ANSWER_LOST, result.error.code)
        self.assertFalse(lease.settled)
