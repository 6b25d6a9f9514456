"""Faults of engines and callers, over loopback sockets."""

import asyncio
import contextlib
import itertools
import json
import socket

import aiohttp
from aiohttp import web
from testtools import TestCase

from oleanderpier.relay.tests.passthrough import pass_through
from oleanderpier.relay.tests.servers import (
    CHAT,
    MESSAGES,
    QUICK,
    REQUEST,
    TOKENS,
    WORK_CLASS,
    find_closed_port,
    make_server,
    read_answer,
    run_app,
    run_engines,
    run_relay,
)
from oleanderpier.relay.tests.verdicts import judge_answer, parse_events

FAULTS = {
    "none": {},
    "late": {"late_s": 0.03},
    "crossed": {"crossed": 3},
    "duplicate": {"duplicate": 2},
    "reorder": {"reorder": 2},
    "skip": {"skip": 3},
    "short": {"short": 2},
    "silent": {"silent_after": 3, "times": 1},
    "silent_at_once": {"silent_after": 0, "times": 1},
    "killed": {"die_after": 3},
    "killed_at_once": {"die_after": 0},
    "refused": {"refuse": True},
    "all": {"crossed": 2, "duplicate": 3, "reorder": 2, "skip": 5, "times": 1},
}
ENDLESS_EVENTS = 20_000
EVENT_BYTES = 4000
MAX_UNDRAINED_BYTES = 2 * 64 * 1024
HARMLESS = {"none", "late"}


async def run_baseline(faults: dict) -> str:
    """Return what a caller gets through the naive baseline."""
    async with run_engines(1) as [(engine, server)], aiohttp.ClientSession() as session:
        engine.fault_switch.faults = dict(faults)
        body = {"request": REQUEST, "chat": CHAT, "model": "drafting"}
        body |= {"messages": MESSAGES, "offset": 0, "max_tokens": TOKENS, "priority": 1}
        engine_url = f"http://127.0.0.1:{server['port']}/v1/generate"

        async def handle(request: web.Request) -> web.StreamResponse:
            return await pass_through(request, session, engine_url, body)

        app = web.Application()
        app.router.add_post("/v1/chats", handle)
        async with run_app(app) as port:
            url = f"http://127.0.0.1:{port}/v1/chats"
            _, data, hung = await read_answer(url, limit_s=0.6)
    return judge_answer(data, TOKENS, hung)


async def run_answer(faults: list[dict], **options) -> tuple:
    """Return verdict, outcome, permits and work left of an answer.

    The last is ``(running, cancel_requests)`` over all engines.
    """
    async with run_engines(len(faults)) as engines:
        for (engine, _), fault in zip(engines, faults, strict=True):
            engine.fault_switch.faults = dict(fault)
        servers = [server for _, server in engines]
        async with run_relay(servers, **options) as bench:
            _, data, hung = await read_answer(bench.url)
        cancels = sum(engine.counts["cancel_requests"] for engine, _ in engines)
        running = sum(engine.slots.running for engine, _ in engines)
    released = [permit.released for permit in bench.placement.permits]
    left = (running, cancels)
    return judge_answer(data, TOKENS, hung), bench.outcomes[0], released, left


class FaultTableTest(TestCase):
    """Each fault of an engine, with the baseline beside the relay."""

    def test_baseline_fails(self):
        """The baseline fails in every row that is not harmless."""
        verdicts = {name: asyncio.run(run_baseline(FAULTS[name])) for name in FAULTS}
        whole = {name for name, verdict in verdicts.items() if verdict == "whole"}
        self.assertEqual(HARMLESS, whole)

    def test_other_engine(self):
        """With a second engine at hand the caller gets the whole answer."""
        for name, fault in FAULTS.items():
            verdict, outcome, released, left = asyncio.run(run_answer([fault, {}]))
            cancels = 0 if name == "refused" else outcome.attempts - 1
            self.assertEqual(("whole", (0, cancels)), (verdict, left), name)
            self.assertEqual([1] * outcome.attempts, released, name)

    def test_same_engine(self):
        """A connection that is lost once is replaced at the same engine."""
        for name, fault in FAULTS.items():
            if name == "refused":
                continue
            once = {**fault, "times": 1}
            verdict, outcome, released, left = asyncio.run(run_answer([once]))
            cancels = outcome.attempts - 1
            self.assertEqual(("whole", (0, cancels)), (verdict, left), name)
            self.assertEqual({1}, set(released), name)

    def test_cut_at_each_offset(self):
        """Two engines die, one after the other, at every pair of offsets."""
        for first in range(TOKENS + 1):
            for second in range(0, TOKENS - first + 1, 2):
                faults = [{"die_after": first}, {"die_after": second}, {}]
                verdict, outcome, _, _ = asyncio.run(run_answer(faults))
                expected = ("whole", 3, TOKENS)
                seen = (verdict, outcome.attempts, outcome.total)
                self.assertEqual(expected, seen, (first, second))

    def test_every_pair(self):
        """Two faulty engines, one after the other, in every pair of faults."""
        pairs = list(itertools.product(sorted(FAULTS), repeat=2))

        async def run() -> list[tuple]:
            found = []
            for batch in (pairs[i : i + 26] for i in range(0, len(pairs), 26)):
                rows = [[FAULTS[first], FAULTS[second], {}] for first, second in batch]
                found += await asyncio.gather(*(run_answer(row) for row in rows))
            return found

        for pair, row in zip(pairs, asyncio.run(run()), strict=True):
            verdict, outcome, released, (running, _) = row
            self.assertEqual(("whole", 0), (verdict, running), pair)
            self.assertEqual([1] * outcome.attempts, released, pair)

    def test_late_engine_is_kept(self):
        """An engine that is slow but sends heartbeats is not given up."""
        faults = [{"late_s": 0.4}, {}]
        _, outcome, _, _ = asyncio.run(run_answer(faults, tokens=2))
        self.assertEqual(1, outcome.attempts)


class RefusalTest(TestCase):
    """What a caller is told when there is no whole answer."""

    def test_nothing_listens(self):
        """Refused connections are a refusal that says "not run"."""

        async def run() -> tuple:
            server = make_server("engine-0", find_closed_port())
            async with run_relay([server]) as bench, aiohttp.ClientSession() as session:
                answer = await session.post(bench.url)
                return answer.status, dict(answer.headers), await answer.json()

        status, headers, body = asyncio.run(run())
        self.assertEqual((503, "2"), (status, headers["Retry-After"]))
        self.assertEqual((108, "not_run"), (body["code"], body["fate"]))

    def test_cut_for_good(self):
        """A stream that can't go on ends with a numbered failure."""
        faults = [{"die_after": 3, "times": 1}]

        async def run() -> tuple:
            async with run_engines(1) as [(engine, server)]:
                engine.fault_switch.faults = dict(faults[0])
                async with run_relay([server]) as bench:
                    reading = asyncio.create_task(read_answer(bench.url))
                    while engine.counts["dropped"] == 0:
                        await asyncio.sleep(0)
                    engine.fault_switch.faults = {"refuse": True}
                    return await reading

        _, data, hung = asyncio.run(run())
        self.assertEqual("failed 205", judge_answer(data, TOKENS, hung))
        self.assertEqual(2.0, parse_events(data)[-1].data["retry_after_s"])

    def test_silent_for_good(self):
        """Engines that stay silent end at the target, as "may have run"."""
        work_class = {**WORK_CLASS, "whole_s": 0.6}
        faults = [{"silent_after": 0, "times": 9}]
        verdict, outcome, _, (running, _) = asyncio.run(
            run_answer(faults, work_class=work_class)
        )
        self.assertIn(verdict, ("failed 205", "failed 206"))
        self.assertEqual(0, running)
        self.assertEqual(0, outcome.total)

    def test_too_late(self):
        """An engine that is alive past the deadline is left and not blamed."""

        async def run() -> tuple:
            async with run_engines(1) as [(engine, server)]:
                engine.fault_switch.faults = {"late_s": 5.0}
                work_class = {**WORK_CLASS, "whole_s": 0.3}
                async with run_relay([server], work_class=work_class) as bench:
                    _, data, hung = await read_answer(bench.url)
                counts = bench.relay.measures.counts
                blamed = [name for name in counts if name.startswith("attempt_")]
                return judge_answer(data, TOKENS, hung), blamed, engine.slots.running

        self.assertEqual(("failed 206", [], 0), asyncio.run(run()))


class CallerTest(TestCase):
    """Callers that leave, that are slow, and that wait."""

    def test_caller_leaves(self):
        """The engine's work is cancelled and the permit released."""

        async def run() -> tuple:
            async with run_engines(1, token_interval_s=0.02) as [(engine, server)]:
                async with run_relay([server], tokens=500) as bench:
                    async with aiohttp.ClientSession() as session:
                        answer = await session.post(bench.url)
                        await answer.content.readany()
                        answer.close()
                    while not bench.outcomes:
                        await asyncio.sleep(0.01)
                return engine.counts, engine.slots.running, bench

        counts, running, bench = asyncio.run(run())
        self.assertEqual((1, 0), (counts["cancel_requests"], running))
        self.assertEqual([1], [permit.released for permit in bench.placement.permits])
        self.assertEqual(0, len(bench.relay.watch))

    def test_caller_leaves_while_waiting(self):
        """Work that waits for a slot is cancelled as well."""

        async def run() -> tuple:
            options = {"slots": 1, "token_interval_s": 0.05}
            async with run_engines(1, **options) as [(engine, server)]:
                async with run_relay([server], tokens=200) as bench:
                    first = asyncio.create_task(read_answer(bench.url + "?request=a"))
                    while not engine.slots.running:
                        await asyncio.sleep(0.01)
                    await read_answer(bench.url + "?request=b", limit_s=0.15)
                    while not bench.outcomes:
                        await asyncio.sleep(0.01)
                    await bench.relay.cancellations.close()
                    waiting = engine.slots.waiting
                    first.cancel()
                    await asyncio.wait({first})
                    while len(bench.outcomes) < 2:
                        await asyncio.sleep(0.01)
                    await bench.relay.cancellations.close()
                return waiting, engine.counts["cancel_requests"], engine.slots.running

        self.assertEqual((0, 2, 0), asyncio.run(run()))

    def test_heartbeats_while_waiting(self):
        """A caller who waits for the first event sees heartbeats."""

        async def run() -> bytes:
            async with run_engines(1) as [(engine, server)]:
                engine.fault_switch.faults = {"late_s": 0.6, "times": 1}
                async with run_relay([server], tokens=1) as bench:
                    return (await read_answer(bench.url))[1]

        data = asyncio.run(run())
        self.assertGreaterEqual(data.split(b"id:")[0].count(b": heartbeat"), 2)
        self.assertEqual("whole", judge_answer(data, 1))

    def test_slow_caller_holds_back_itself_only(self):
        """Memory stays bounded, others are served, the slow one is ended."""
        asyncio.run(self._check_slow_caller())

    async def _check_slow_caller(self) -> None:
        sent, cancelled, held, priorities = [0], [], [0], []

        async def generate(request: web.Request) -> web.StreamResponse:
            body = await request.json()
            priorities.append(body["priority"])
            response = web.StreamResponse()
            await response.prepare(request)
            data = json.dumps({"text": "x" * EVENT_BYTES})
            with contextlib.suppress(ConnectionError):
                for offset in range(ENDLESS_EVENTS):
                    event = f"id: {body['request']}:{offset}\ndata: {data}\n\n"
                    await response.write(event.encode())
                    sent[0] += len(event)
            return response

        async def cancel(request: web.Request) -> web.Response:
            cancelled.append(request.match_info["request"])
            return web.Response(status=204)

        app = web.Application()
        app.router.add_post("/v1/generate", generate)
        app.router.add_delete("/v1/generate/{request}", cancel)
        async with run_app(app) as port, run_engines(1) as [(_, good)]:
            endless = make_server("endless", port)
            async with run_relay([endless]) as bench:
                caller = _open_idle_caller(bench.port)
                while not bench.outcomes:
                    await asyncio.sleep(0.01)
                    for transport in bench.list_transports():
                        held[0] = max(held[0], transport.get_write_buffer_size())
                    if sent[0] and bench.placement.servers == [endless]:
                        bench.placement.servers = [good]
                        _, data, _ = await read_answer(
                            bench.url + f"?request={REQUEST}"
                        )
                        self.assertEqual("whole", judge_answer(data, TOKENS))
                        bench.outcomes.clear()
                caller.close()
        self.assertEqual((["slow"], [1 + 3]), (cancelled, priorities))
        self.assertEqual(1, bench.relay.measures.counts["caller_stuck"])
        self.assertGreater(held[0], 0)
        self.assertLessEqual(held[0], QUICK.write_buffer_bytes + MAX_UNDRAINED_BYTES)
        self.assertLess(sent[0], ENDLESS_EVENTS * EVENT_BYTES)


def _open_idle_caller(port: int) -> socket.socket:
    """Send a chat and read nothing of the answer."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect(("127.0.0.1", port))
    caller.sendall(
        b"POST /v1/chats?request=slow HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
    )
    return caller
