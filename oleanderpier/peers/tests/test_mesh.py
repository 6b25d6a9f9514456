"""Tests of the mesh, over loopback sockets."""

import asyncio
from typing import NamedTuple

import msgpack
from testtools import TestCase

from oleanderpier.events import Clock, Stamp
from oleanderpier.peers import Address, Hello, Mesh, mesh
from oleanderpier.utils import LoopTimers, encode_message, register_message

WAIT_S = 10.0


@register_message(9002)
class TextMessage(NamedTuple):
    """A message for these tests."""

    text: str


class SilenceableProxy:
    """A TCP proxy that can stop forwarding on an open connection.

    Attributes:
        connections: For each accepted connection, an event; once it is set,
            the connection stays open and all its data is dropped.
    """

    def __init__(self, port):
        self.port = port
        self.connections = []

    async def listen(self):
        """Start to listen and return the port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        """Forward one connection in both directions."""
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.port)
        silent = asyncio.Event()
        self.connections.append(silent)
        await asyncio.gather(
            self.copy(reader, far_writer, silent), self.copy(far_reader, writer, silent)
        )

    async def copy(self, reader, writer, silent):
        """Copy data until the end; drop it once ``silent`` is set."""
        try:
            while data := await reader.read(65536):
                if not silent.is_set():
                    writer.write(data)
        except ConnectionError:
            return
        finally:
            writer.close()


async def make_mesh(name, port=0):
    """Return a listening mesh, its port and the list of messages it receives."""
    instance = Mesh(name, 1, LoopTimers(), Clock(LoopTimers()))
    received = []
    instance.subscribe(Hello, lambda sender, message: None)
    instance.subscribe(
        TextMessage, lambda sender, message: received.append((sender, message.text))
    )
    await instance.listen("127.0.0.1", port)
    port = instance._server.sockets[0].getsockname()[1]
    return instance, port, received


async def wait_for(condition):
    """Wait until a condition holds.

    Raises:
        TimeoutError: It does not hold within ``WAIT_S``.
    """
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


class MeshTest(TestCase):
    """Streams deliver in order, isolate errors and reconnect."""

    def test_messages_arrive_in_order(self):
        """Messages sent before and after connecting arrive in order."""

        async def run():
            one, _, _ = await make_mesh("one")
            two, port, received = await make_mesh("two")
            one.update_addresses({"two": Address("127.0.0.1", port)})
            for index in range(100):
                self.assertTrue(one.send("two", TextMessage(str(index))))
            self.assertFalse(one.send("three", TextMessage("lost")))
            await wait_for(lambda: len(received) == 100)
            await one.close()
            await two.close()
            return received

        received = asyncio.run(run())
        self.assertEqual([("one", str(index)) for index in range(100)], received)

    def test_bad_messages_close_only_their_stream(self):
        """Unknown, malformed and unexpected messages close only their stream."""

        async def run():
            two, port, received = await make_mesh("two")
            for data in (
                msgpack.packb([8999]),
                msgpack.packb([9002, 5]),
                b"\xc1\xc1",
                msgpack.packb({"a": 1}),
                msgpack.packb([3, 1]),
            ):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(encode_message(Hello("bad", 1)) + data)
                self.assertEqual(b"", await asyncio.wait_for(reader.read(), WAIT_S))
                writer.close()
            one, _, _ = await make_mesh("one")
            one.update_addresses({"two": Address("127.0.0.1", port)})
            one.send("two", TextMessage("still here"))
            await wait_for(lambda: received)
            await one.close()
            await two.close()
            return received

        self.assertEqual([("one", "still here")], asyncio.run(run()))

    def test_silent_stream_is_replaced(self):
        """A connection without keep-alive replies is replaced by a new one."""
        self.patch(mesh, "KEEP_ALIVE_TIMEOUT_S", 0.2)
        self.patch(mesh, "KEEP_ALIVE_INTERVAL_S", 0.05)

        async def run():
            one, _, _ = await make_mesh("one")
            two, port, received = await make_mesh("two")
            proxy = SilenceableProxy(port)
            one.update_addresses({"two": Address("127.0.0.1", await proxy.listen())})
            one.send("two", TextMessage("before"))
            await wait_for(lambda: received)
            proxy.connections[0].set()
            sent_count = 0
            while len(received) == 1:
                one.send("two", TextMessage(f"after {sent_count}"))
                sent_count += 1
                await asyncio.sleep(0.05)
                self.assertTrue(sent_count < WAIT_S / 0.05)
            await one.close()
            await two.close()
            proxy.server.close()
            return len(proxy.connections)

        self.assertEqual(2, asyncio.run(run()))

    def test_restarted_peer_is_reached_again(self):
        """Sending to a stopped peer never raises; its next run is reached."""

        async def run():
            one, _, _ = await make_mesh("one")
            two, port, received = await make_mesh("two")
            one.update_addresses({"two": Address("127.0.0.1", port)})
            one.send("two", TextMessage("before"))
            await wait_for(lambda: received)
            await two.close()
            for count in range(20):
                one.send("two", TextMessage(f"lost {count}"))
                await asyncio.sleep(0.01)
            three, port, received = await make_mesh("two")
            one.update_addresses({"two": Address("127.0.0.1", port)})
            while not received:
                one.send("two", TextMessage("after"))
                await asyncio.sleep(0.05)
            await one.close()
            await three.close()

        asyncio.run(asyncio.wait_for(run(), WAIT_S))

    def test_peer_that_starts_is_reached_before_the_backoff_ends(self):
        """A stream from a peer shows that it is up."""
        # Longer than WAIT_S.
        self.patch(mesh, "MIN_BACKOFF_S", 3 * WAIT_S)
        self.patch(mesh, "MAX_BACKOFF_S", 3 * WAIT_S)

        async def run():
            one, first_port, _ = await make_mesh("one")
            two, port, _ = await make_mesh("two")
            await two.close()
            one.update_addresses({"two": Address("127.0.0.1", port)})
            one.send("two", TextMessage("early"))
            # The connect fails, and the back-off begins.
            await asyncio.sleep(0.2)
            two, _, received = await make_mesh("two", port)
            two.update_addresses({"one": Address("127.0.0.1", first_port)})
            two.send("one", TextMessage("here"))
            await wait_for(lambda: received)
            await one.close()
            await two.close()
            return received

        self.assertEqual([("one", "early")], asyncio.run(run()))

    def test_stamps_preserve_causal_order(self):
        """An event after a received message has a later stamp than its cause."""

        async def run():
            one, _, _ = await make_mesh("one")
            two, port, received = await make_mesh("two")
            one.update_addresses({"two": Address("127.0.0.1", port)})
            one._clock.observe(Stamp(1 << 52, 3))
            one.send("two", TextMessage("caused"))
            await wait_for(lambda: received)
            await one.close()
            await two.close()
            return one._clock.last, two._clock.tick()

        cause, effect = asyncio.run(run())
        self.assertTrue(cause < effect)
