"""Tests of requests that are cancelled while their connection opens."""

import asyncio
import gc
import os
import socket
import time

from testtools import TestCase

from oleanderpier.connections import make_session
from oleanderpier.utils import run_coroutine

# By then a connection over the loopback address has been established.
MAX_LOOP_ITERATIONS = 6
CLOSE_TIMEOUT_S = 5.0


class CancelledConnectTest(TestCase):
    """Requests that are cancelled while their connection opens."""

    def test_descriptors_that_are_reused_stay_open(self):
        """No descriptor is closed that another socket has got since."""
        self.assertEqual([], run_coroutine(_find_closed_descriptors()))

    def test_connections_are_closed(self):
        """The server sees the end of every connection that it accepted."""

        async def run() -> set[asyncio.StreamWriter]:
            accepted: set[asyncio.StreamWriter] = set()

            async def serve(reader, writer) -> None:
                accepted.add(writer)
                try:
                    await reader.read()
                except ConnectionError:
                    return
                finally:
                    accepted.discard(writer)
                    writer.close()

            async with await asyncio.start_server(serve, "127.0.0.1", 0) as listener:
                session = make_session()
                for iterations in range(MAX_LOOP_ITERATIONS):
                    await _cancel_request(session, listener, iterations)
                deadline_s = time.monotonic() + CLOSE_TIMEOUT_S
                while accepted and time.monotonic() < deadline_s:
                    await asyncio.sleep(0.01)
                await session.close()
            return accepted

        self.assertEqual(set(), run_coroutine(run()))


async def _find_closed_descriptors() -> list[int]:
    """Return the loop iterations after which a cancellation closed other sockets."""
    findings = []
    async with await asyncio.start_server(_hold, "127.0.0.1", 0) as listener:
        session = make_session()
        for iterations in range(MAX_LOOP_ITERATIONS):
            request = await _cancel_request(session, listener, iterations)
            # The exception keeps what the request held; these sockets get the
            # numbers that are free.
            others = [socket.socket() for _ in range(64)]
            del request
            gc.collect()
            if not all(_is_open(other.fileno()) for other in others):
                findings.append(iterations)
            for other in others:
                _close(other.detach())
        await session.close()
    return findings


async def _cancel_request(session, listener, iterations: int) -> asyncio.Task:
    """Cancel a request some iterations of the event loop after its connect began.

    The connector makes the protocol just before it makes the transport.
    """
    port = listener.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    make_protocol = session.connector._factory

    def cancel_later(left: int) -> None:
        loop.call_soon(*((cancel_later, left - 1) if left else (request.cancel,)))

    def make_protocol_and_cancel():
        cancel_later(iterations)
        return make_protocol()

    session.connector._factory = make_protocol_and_cancel
    request = asyncio.ensure_future(session.get(f"http://127.0.0.1:{port}/"))
    await asyncio.wait([request])
    session.connector._factory = make_protocol
    # libuv closes descriptors at the end of an iteration.
    await asyncio.sleep(0.01)
    return request


async def _hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        await reader.read()
    except ConnectionError:
        return
    finally:
        writer.close()


def _is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


def _close(descriptor: int) -> None:
    if _is_open(descriptor):
        os.close(descriptor)
