"""Tests of listeners with raw handlers."""

import asyncio

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.raw_listeners import serve_raw_connections


class RawListenerTest(TestCase):
    """No connection of a handler outlives its listener."""

    def test_connections_are_closed_however_handlers_end(self):
        """The caller leaves early, the handler waits for ever, or it returns."""

        async def leave(reader, writer) -> None:
            writers.append(writer)
            await reader.readexactly(9)

        async def wait(reader, writer) -> None:
            writers.append(writer)
            await asyncio.Event().wait()

        async def answer(reader, writer) -> None:
            writers.append(writer)

        async def run(handle) -> None:
            async with serve_raw_connections(handle) as port:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                while not writers:
                    await asyncio.sleep(0.001)

        for handle in (leave, wait, answer):
            writers: list[asyncio.StreamWriter] = []
            run_coroutine(run(handle))
            self.assertTrue(all(each.is_closing() for each in writers), handle)

    def test_failure_of_a_handler_is_raised(self):
        """It would be blamed on a later test otherwise."""

        async def fail(reader, writer) -> None:
            raise ValueError("unexpected request")

        async def run() -> None:
            async with serve_raw_connections(fail) as port:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                await reader.read()
                writer.close()

        error = self.assertRaises(ExceptionGroup, run_coroutine, run())
        self.assertIsInstance(error.exceptions[0], ValueError)
