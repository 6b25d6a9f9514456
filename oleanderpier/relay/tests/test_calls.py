"""Calls: not sent is true, may have been sent is said in doubt, never twice."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
from testtools import TestCase

from oleanderpier.relay import make_session, repeat_call, send_call
from oleanderpier.relay.tests.servers import (
    FakePlacement,
    find_closed_port,
    make_server,
    run_app,
)
from oleanderpier.results import Code, MaybeSent, NotSent
from oleanderpier.utils import LoopTimers
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
async def run_service(name: str = "ledger-0") -> AsyncIterator[tuple[Service, dict]]:
    """Serve a stand-in service; yield it with its backend server."""
    service = Service(name)
    async with run_app(make_service_app(service)) as port:
        yield service, make_server(name, port, "service")


@contextlib.asynccontextmanager
async def run_raw_server(handle) -> AsyncIterator[int]:
    """Serve raw connections; yield the port."""
    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


async def send(server: dict, key: str | None = KEY):
    """Send one call over a session of its own."""
    async with make_session() as session:
        body = {"amount": 3}
        return await send_call(session, server, "payout-post", key, body, TIMEOUT_S)


def get_kind(result) -> type:
    """Return the type of an answer's body, or of the error."""
    return type(result.ok.body) if result.is_ok() else type(result.error)


class SendCallTest(TestCase):
    """One call to one service."""

    def test_faults(self):
        """Each fault with what is said and how often the call ran."""

        async def run(faults: dict) -> tuple:
            async with run_service() as (service, server):
                service.fault_switch.faults = dict(faults)
                result = await send(server)
                await asyncio.sleep(0)
                return get_kind(result), service._executions[KEY]

        for name, (faults, kind, executions) in FAULTS.items():
            self.assertEqual((kind, executions), asyncio.run(run(faults)), name)

    def test_nothing_listens(self):
        """A refused connection is certainly not sent."""
        server = make_server("ledger-0", find_closed_port(), "service")
        result = asyncio.run(send(server))
        self.assertEqual(NotSent, get_kind(result))
        self.assertEqual(Code.NO_BACKEND_SERVER, result.error.failure.code)

    def test_connection_is_never_made(self):
        """A full backlog times out in connecting: certainly not sent."""

        async def run():
            async with make_session() as session:
                server = {"name": "x", "address": "127.0.0.1", "port": port}
                return await send_call(session, server, "payout-post", KEY, {}, 0.4)

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
        self.assertEqual(NotSent, get_kind(result))

    def test_redirect_is_not_followed(self):
        """A redirect would send the call a second time; it is not followed."""

        async def run() -> tuple:
            async with run_service() as (service, target):

                async def redirect(request: web.Request) -> web.Response:
                    url = f"http://127.0.0.1:{target['port']}{request.path}"
                    raise web.HTTPTemporaryRedirect(url)

                app = web.Application()
                app.router.add_post("/v1/calls/{operation}", redirect)
                async with run_app(app) as port:
                    result = await send(make_server("ledger-1", port, "service"))
                return get_kind(result), service._executions[KEY]

        self.assertEqual((MaybeSent, 0), asyncio.run(run()))

    def test_stale_connection(self):
        """A server that drops kept connections gets each call just once.

        The baseline, a pooled session, sends an idempotent request again by
        itself after it was lost on a kept connection.
        """
        requests = []

        async def handle(reader, writer) -> None:
            """Answer the first request of a connection, lose the second."""
            for index in range(2):
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split()[0])
                await reader.readexactly(length)
                requests.append(head.split()[0])
                if index == 0:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                    if b"connection: close" in head.lower():
                        break
            writer.close()

        async def run_baseline() -> None:
            async with run_raw_server(handle) as port, aiohttp.ClientSession() as pool:
                url = f"http://127.0.0.1:{port}/v1/calls/payout-post"
                for _ in range(2):
                    async with pool.put(url, data=b"{}") as answer:
                        await answer.read()

        async def run_calls() -> list[type]:
            async with run_raw_server(handle) as port, make_session() as session:
                server = make_server("ledger-0", port, "service")
                arguments = (session, server, "payout-post", KEY, {}, TIMEOUT_S)
                return [get_kind(await send_call(*arguments)) for _ in range(4)]

        asyncio.run(run_baseline())
        self.assertEqual([b"PUT"] * 3, requests)
        requests.clear()
        self.assertEqual([dict] * 4, asyncio.run(run_calls()))
        self.assertEqual([b"POST"] * 4, requests)


class RepeatCallTest(TestCase):
    """Calls that may be repeated go to another service."""

    def test_faulty_first_service(self):
        """Whatever the first service does, the second one answers."""
        for name, (faults, _, _) in FAULTS.items():
            result, placement = asyncio.run(self._run([faults, {}]))
            self.assertTrue(result.is_ok(), name)
            self.assertEqual({1}, {permit.released for permit in placement.permits})

    def test_no_service_left(self):
        """Once a call was sent, the failure says that it may have run."""
        result, _ = asyncio.run(self._run([{"lose_answer": True}, {"refuse": True}]))
        self.assertEqual(Code.ANSWER_LOST, result.error.code)
        result, _ = asyncio.run(self._run([]))
        self.assertEqual(Code.NO_BACKEND_SERVER, result.error.code)

    async def _run(self, faults: list[dict]) -> tuple:
        async with contextlib.AsyncExitStack() as stack:
            servers = []
            for index, fault in enumerate(faults):
                running = run_service(f"ledger-{index}")
                service, server = await stack.enter_async_context(running)
                service.fault_switch.faults = dict(fault)
                servers.append(server)
            placement = FakePlacement(servers)
            session = await stack.enter_async_context(make_session())
            arguments = (placement.place, "balance-lookup", {}, 0.8)
            return await repeat_call(session, LoopTimers(), *arguments), placement
