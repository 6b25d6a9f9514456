"""Calls to services: the error says reliably whether a call may have run.

``NotSent`` is reported only if no byte was sent, ``MaybeSent`` in every case of
doubt, and no call is sent twice.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
from testtools import TestCase

from oleanderpier.relay import make_session, send_call, send_repeatable_call
from oleanderpier.relay.tests.harness import (
    FakePlacement,
    find_closed_port,
    make_server,
    serve_app,
)
from oleanderpier.results import Code, MaybeSent, NotSent
from oleanderpier.utils import LoopTimers, ManualTimers
from standins.raw_listeners import serve_raw_connections
from standins.service import Service, make_service_app

KEY = "01890a5d-ac96-774b-bcce-b302099a8057"
TIMEOUT_S = 0.3
FAULTS = {
    "none": ({}, dict, 1),
    "late": ({"late_s": 0.1}, dict, 1),
    "answer_lost": ({"lose_answer": True}, MaybeSent, 1),
    "silent": ({"silent": True}, MaybeSent, 1),
    "refused": ({"refuse": True}, MaybeSent, 0),
}


@contextlib.asynccontextmanager
async def serve_service(name: str = "ledger-0") -> AsyncIterator[tuple[Service, dict]]:
    """Serve a stand-in service; yield it with its backend server."""
    service = Service(name)
    async with serve_app(make_service_app(service)) as port:
        yield service, make_server(name, port, "service")


async def send_payout(server: dict, key: str | None = KEY, timers=None):
    """Send one call over a session of its own."""
    timers = timers or LoopTimers()
    async with make_session(timers=timers) as session:
        arguments = (server, "payout-post", key, {"amount": 3}, TIMEOUT_S)
        return await send_call(session, timers, *arguments)


async def send_payout_to_service(service: Service, server: dict):
    """Send one call; if it is never answered, let its time pass once it has run."""
    timers = ManualTimers()
    call = asyncio.create_task(send_payout(server, timers=timers))
    if service.fault_switch.faults.get("silent"):
        while not service._executions[KEY]:
            await asyncio.sleep(0.001)
        timers.advance(TIMEOUT_S)
    return await call


def get_result_type(result) -> type:
    """Return the type of the response's body, or of the error."""
    return type(result.ok.body) if result.is_ok() else type(result.error)


class SendCallTest(TestCase):
    """One call to one service."""

    def test_result_and_executions_for_each_fault(self):
        """Each fault gives the right type of result and number of executions."""

        async def run(faults: dict) -> tuple:
            async with serve_service() as (service, server):
                service.fault_switch.faults = dict(faults)
                result = await send_payout_to_service(service, server)
                await asyncio.sleep(0)
                return get_result_type(result), service._executions[KEY]

        for name, (faults, expected_type, executions) in FAULTS.items():
            self.assertEqual(
                (expected_type, executions), asyncio.run(run(faults)), name
            )

    def test_stall_of_this_process_does_not_end_a_call(self):
        """While no time passes for the timer service, a call is answered."""

        async def run() -> type:
            async with serve_service() as (_, server):
                call = asyncio.create_task(send_payout(server, timers=ManualTimers()))
                for _ in range(8):
                    await asyncio.sleep(0)
                    time.sleep(TIMEOUT_S / 2)
                return get_result_type(await call)

        self.assertEqual(dict, asyncio.run(run()))

    def test_refused_connection_is_not_sent(self):
        """A call is certainly not sent if the connection is refused."""
        server = make_server("ledger-0", find_closed_port(), "service")
        result = asyncio.run(send_payout(server))
        self.assertEqual(NotSent, get_result_type(result))
        self.assertEqual(Code.NO_BACKEND_SERVER, result.error.failure.code)

    def test_connect_timeout_is_not_sent(self):
        """A call is certainly not sent if connecting to a full backlog times out."""

        async def run():
            async with make_session() as session:
                server = {"name": "x", "address": "127.0.0.1", "port": port}
                arguments = (server, "payout-post", KEY, {}, 0.4)
                return await send_call(session, LoopTimers(), *arguments)

        import socket

        with socket.socket() as listener, contextlib.ExitStack() as stack:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            port = listener.getsockname()[1]
            for _ in range(4):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", port))
            result = asyncio.run(run())
        self.assertEqual(NotSent, get_result_type(result))

    def test_redirect_is_not_followed(self):
        """Redirects are not followed, since that would send the call twice."""

        async def run() -> tuple:
            async with serve_service() as (service, target):

                async def redirect(request: web.Request) -> web.Response:
                    url = f"http://127.0.0.1:{target['port']}{request.path}"
                    raise web.HTTPTemporaryRedirect(url)

                app = web.Application()
                app.router.add_post("/v1/calls/{operation}", redirect)
                async with serve_app(app) as port:
                    result = await send_payout(make_server("ledger-1", port, "service"))
                return get_result_type(result), service._executions[KEY]

        self.assertEqual((MaybeSent, 0), asyncio.run(run()))

    def test_call_is_sent_once_if_server_drops_connections(self):
        """A server that drops reused connections gets each call once.

        The baseline, a session with a connection pool, repeats an idempotent
        request on its own after it was lost on a reused connection.
        """
        requests = []

        async def handle(reader, writer) -> None:
            """Respond to a connection's first request and drop the second."""
            for index in range(2):
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split()[0])
                await reader.readexactly(length)
                requests.append(head.split()[0])
                if index == 0:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                    if b"connection: close" in head.lower():
                        break

        async def run_pooled_session() -> None:
            async with (
                serve_raw_connections(handle) as port,
                aiohttp.ClientSession() as pool,
            ):
                url = f"http://127.0.0.1:{port}/v1/calls/payout-post"
                for _ in range(2):
                    async with pool.put(url, data=b"{}") as response:
                        await response.read()

        async def run_calls() -> list[type]:
            async with serve_raw_connections(handle) as port, make_session() as session:
                server = make_server("ledger-0", port, "service")
                arguments = (server, "payout-post", KEY, {}, TIMEOUT_S)
                return [
                    get_result_type(
                        await send_call(session, ManualTimers(), *arguments)
                    )
                    for _ in range(4)
                ]

        asyncio.run(run_pooled_session())
        self.assertEqual([b"PUT"] * 3, requests)
        requests.clear()
        self.assertEqual([dict] * 4, asyncio.run(run_calls()))
        self.assertEqual([b"POST"] * 4, requests)


class SendRepeatableCallTest(TestCase):
    """Calls that may be repeated are retried at another service."""

    def test_second_service_answers_for_faulty_first(self):
        """The second service responds, whatever fault the first one has."""
        for name, (faults, _, _) in FAULTS.items():
            result, placement = asyncio.run(self._run_call([faults, {}]))
            self.assertTrue(result.is_ok(), name)
            self.assertEqual(
                {1}, {permit.release_count for permit in placement.permits}
            )

    def test_slow_service_is_not_given_up_for_one_that_fails(self):
        """It needs over half of the time; the other one fails, or there is none."""
        late = {"late_s": 0.55}
        others = ([], [{"refuse": True}], [{"lose_answer": True}], [{"silent": True}])
        for other in others:
            result, placement = asyncio.run(self._run_call([late, *other]))
            self.assertTrue(result.is_ok(), other)
            self.assertEqual("ledger-0", result.ok.backend_server)
            self.assertEqual(
                {1}, {permit.release_count for permit in placement.permits}
            )

    def test_failure_without_remaining_service(self):
        """The failure says "may have run" only if the call may have been sent."""
        result, _ = asyncio.run(
            self._run_call([{"lose_answer": True}, {"refuse": True}])
        )
        self.assertEqual(Code.ANSWER_LOST, result.error.code)
        result, _ = asyncio.run(self._run_call([]))
        self.assertEqual(Code.NO_BACKEND_SERVER, result.error.code)

    async def _run_call(self, faults: list[dict]) -> tuple:
        async with contextlib.AsyncExitStack() as stack:
            servers = []
            for index, fault in enumerate(faults):
                service_context = serve_service(f"ledger-{index}")
                service, server = await stack.enter_async_context(service_context)
                service.fault_switch.faults = dict(fault)
                servers.append(server)
            placement = FakePlacement(servers)
            session = await stack.enter_async_context(make_session())
            arguments = (placement.acquire_permit, "balance-lookup", {}, 0.8)
            return await send_repeatable_call(
                session, LoopTimers(), *arguments
            ), placement
