"""Tests of the proxy that injects faults."""

import asyncio
import socket

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from soak.proxy import LINGER_RESET, FaultProxy
from standins.raw_listeners import serve_raw_connections


def end_target_connection(with_reset: bool) -> bool:
    """Return whether a caller sees a reset when the target ends its connection."""

    async def serve(reader, writer) -> None:
        writer.write(await reader.read(100))
        await asyncio.sleep(0.05)
        if with_reset:
            opened = writer.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()

    async def run() -> bool:
        async with serve_raw_connections(serve) as target_port:
            proxy = FaultProxy(f"127.0.0.1:{target_port}")
            await proxy.start(0)
            port = proxy._listener.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"x")
            try:
                data = await reader.read()
            except ConnectionResetError:
                return True
            finally:
                writer.close()
                await proxy.stop()
        assert data == b"x"
        return False

    return run_coroutine(run())


class FaultProxyTest(TestCase):
    """The proxy changes nothing that it is not told to change."""

    def test_reset_of_the_target_reaches_the_caller(self):
        """A reset stays a reset, and a close stays a close."""
        self.assertTrue(end_target_connection(with_reset=True))
        self.assertFalse(end_target_connection(with_reset=False))
