"""Tests of the streams between hosts, over loopback sockets."""

import asyncio
from typing import NamedTuple

import msgpack
from testtools import TestCase

from oleanderpier.events import Clock, Stamp
from oleanderpier.peers import Address, Hello, Mesh, mesh
from oleanderpier.utils import LoopTimers, encode_message, register_message

WAIT_S = 10.0


@register_message(9002)
class Note(NamedTuple):
    """A message for these tests."""

    text: str


class SilentProxy:
    """Passes bytes on; can make the connections that are open go silent."""

    def __init__(self, port):
        self.port = port
        self.connections = []

    async def listen(self):
        """Start, and return the port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        """Pass one connection on in both directions."""
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.port)
        silent = asyncio.Event()
        self.connections.append(silent)
        await asyncio.gather(
            self.copy(reader, far_writer, silent), self.copy(far_reader, writer, silent)
        )

    async def copy(self, reader, writer, silent):
        """Copy until the end, dropping all once silent."""
        while data := await reader.read(65536):
            if not silent.is_set():
                writer.write(data)
        writer.close()


async def make_mesh(name):
    """Return a listening mesh, its port and the list of what it receives."""
    instance = Mesh(name, 1, LoopTimers(), Clock(LoopTimers()))
    received = []
    instance.subscribe(Hello, lambda sender, message: None)
    instance.subscribe(Note, lambda sender, note: received.append((sender, note.text)))
    await instance.listen("127.0.0.1", 0)
    port = instance._server.sockets[0].getsockname()[1]
    return instance, port, received


async def wait_for(condition):
    """Wait until a condition holds; raise TimeoutError if it never does."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


class MeshTest(TestCase):
    """Streams deliver in order, survive bad peers and replace silent ones."""

    def test_delivers_in_order(self):
        """Messages sent before and after the connection arrive in order."""

        async def run():
            one, _, _ = await make_mesh("one")
            two, port, received = await make_mesh("two")
            one.update_addresses({"two": Address("127.0.0.1", port)})
            for index in range(100):
                self.assertTrue(one.send("two", Note(str(index))))
            self.assertFalse(one.send("three", Note("lost")))
            await wait_for(lambda: len(received) == 100)
            await one.close()
            await two.close()
            return received

        received = asyncio.run(run())
        self.assertEqual([("one", str(index)) for index in range(100)], received)

    def test_bad_messages_close_only_their_stream(self):
        """Unknown, malformed and unexpected messages end their own stream."""

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
            one.send("two", Note("still here"))
            await wait_for(lambda: received)
            await one.close()
            await two.close()
            return received

        self.assertEqual([("one", "still here")], asyncio.run(run()))

    def test_silent_stream_is_replaced(self):
        """A connection that went silent is given up; a new one delivers."""
        self.patch(mesh, "ANSWER_TIMEOUT_S", 0.2)
        self.patch(mesh, "KEEP_ALIVE_INTERVAL_S", 0.05)

        async def run():
            one, _, _ = await make_mesh("one")
            two, port, received = await make_mesh("two")
            proxy = SilentProxy(port)
            one.update_addresses({"two": Address("127.0.0.1", await proxy.listen())})
            one.send("two", Note("before"))
            await wait_for(lambda: received)
            proxy.connections[0].set()
            count = 0
            while len(received) == 1:
                one.send("two", Note(f"after {count}"))
                count += 1
                await asyncio.sleep(0.05)
                self.assertTrue(count < WAIT_S / 0.05)
            await one.close()
            await two.close()
            proxy.server.close()
            return len(proxy.connections)

        self.assertEqual(2, asyncio.run(run()))

    def test_restarted_peer_is_reached_again(self):
        """Sending to a peer that is gone never raises; a new one is reached."""

        async def run():
            one, _, _ = await make_mesh("one")
            two, port, received = await make_mesh("two")
            one.update_addresses({"two": Address("127.0.0.1", port)})
            one.send("two", Note("before"))
            await wait_for(lambda: received)
            await two.close()
            for count in range(20):
                one.send("two", Note(f"lost {count}"))
                await asyncio.sleep(0.01)
            three, port, received = await make_mesh("two")
            one.update_addresses({"two": Address("127.0.0.1", port)})
            while not received:
                one.send("two", Note("after"))
                await asyncio.sleep(0.05)
            await one.close()
            await three.close()

        asyncio.run(asyncio.wait_for(run(), WAIT_S))

    def test_stamps_carry_causes(self):
        """An event after a message is later than those before it was sent."""

        async def run():
            one, _, _ = await make_mesh("one")
            two, port, received = await make_mesh("two")
            one.update_addresses({"two": Address("127.0.0.1", port)})
            one._clock.observe(Stamp(1 << 52, 3))
            one.send("two", Note("caused"))
            await wait_for(lambda: received)
            await one.close()
            await two.close()
            return one._clock.last, two._clock.tick()

        cause, effect = asyncio.run(run())
        self.assertTrue(cause < effect)
