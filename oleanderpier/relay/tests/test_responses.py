"""Faults of engines and callers over loopback sockets."""

import asyncio
import contextlib
import itertools
import json
import socket
from collections.abc import Callable

import aiohttp
from aiohttp import web
from testtools import TestCase

from oleanderpier.relay.events import format_end
from oleanderpier.relay.tests.harness import (
    CHAT,
    FAST_SETTINGS,
    MESSAGES,
    REQUEST,
    TOKENS,
    WORK_CLASS,
    FakePlacement,
    find_closed_port,
    make_server,
    read_response,
    serve_app,
    serve_engines,
    serve_relay,
)
from oleanderpier.relay.tests.passthrough import pass_through
from oleanderpier.relay.tests.response_checks import check_response, parse_events
from standins.generation import compose_response

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
# Longer than an engine may be silent before another one is asked for.
PAUSE_S = 3 * FAST_SETTINGS.max_engine_silence_s
EVENTS_BEFORE_PAUSE = 3
# Time for the relay to read what an engine has sent.
READ_DELAY_S = 0.08
LONG_STREAM_EVENT_COUNT = 20_000
EVENT_BYTES = 4000
# aiohttp waits for the transport only after more than 64 KiB of writes.
MAX_UNDRAINED_BYTES = 2 * 64 * 1024
HARMLESS_FAULTS = {"none", "late"}


async def run_pass_through(faults: dict) -> str:
    """Return the verdict on a response through the baseline."""
    async with (
        serve_engines(1) as [(engine, server)],
        aiohttp.ClientSession() as session,
    ):
        engine.fault_switch.faults = dict(faults)
        body = {"request": REQUEST, "chat": CHAT, "model": "drafting"}
        body |= {"messages": MESSAGES, "offset": 0, "max_tokens": TOKENS, "priority": 1}
        engine_url = f"http://127.0.0.1:{server['port']}/v1/generate"

        async def handle_chat(request: web.Request) -> web.StreamResponse:
            return await pass_through(request, session, engine_url, body)

        app = web.Application()
        app.router.add_post("/v1/chats", handle_chat)
        async with serve_app(app) as port:
            url = f"http://127.0.0.1:{port}/v1/chats"
            _, data, hung = await read_response(url, timeout_s=0.6)
    return check_response(data, TOKENS, hung)


async def run_response(faults: list[dict], **options) -> tuple:
    """Relay a response from engines with faults.

    Returns:
        The verdict, the result, the release count of each permit, and
        ``(running, cancel_requests)`` over all engines after the response.
    """
    async with serve_engines(len(faults)) as engines:
        for (engine, _), fault in zip(engines, faults, strict=True):
            engine.fault_switch.faults = dict(fault)
        servers = [server for _, server in engines]
        async with serve_relay(servers, **options) as harness:
            _, data, hung = await read_response(harness.url)
        cancels = sum(engine.counts["cancel_requests"] for engine, _ in engines)
        running = sum(engine.slots.running for engine, _ in engines)
    release_counts = [permit.release_count for permit in harness.placement.permits]
    work_left = (running, cancels)
    return (
        check_response(data, TOKENS, hung),
        harness.results[0],
        release_counts,
        work_left,
    )


class FaultTableTest(TestCase):
    """Each fault of an engine, for the baseline and for the relay."""

    def test_pass_through_fails_on_every_harmful_fault(self):
        """The baseline delivers a whole response only with harmless faults."""
        verdicts = {
            name: asyncio.run(run_pass_through(FAULTS[name])) for name in FAULTS
        }
        whole = {name for name, verdict in verdicts.items() if verdict == "whole"}
        self.assertEqual(HARMLESS_FAULTS, whole)

    def test_second_engine_completes_response(self):
        """With a second engine the caller gets the whole response."""
        for name, fault in FAULTS.items():
            verdict, result, release_counts, work_left = asyncio.run(
                run_response([fault, {}])
            )
            cancels = 0 if name == "refused" else result.attempt_count - 1
            self.assertEqual(("whole", (0, cancels)), (verdict, work_left), name)
            self.assertEqual([1] * result.attempt_count, release_counts, name)

    def test_same_engine_completes_response_after_one_fault(self):
        """After a single fault the response resumes at the same engine."""
        for name, fault in FAULTS.items():
            if name == "refused":
                continue
            once = {**fault, "times": 1}
            verdict, result, release_counts, work_left = asyncio.run(
                run_response([once])
            )
            cancels = result.attempt_count - 1
            self.assertEqual(("whole", (0, cancels)), (verdict, work_left), name)
            self.assertEqual({1}, set(release_counts), name)

    def test_engines_cut_at_every_pair_of_offsets(self):
        """Two engines in a row drop the connection, at every pair of offsets."""
        for first in range(TOKENS + 1):
            for second in range(0, TOKENS - first + 1, 2):
                faults = [{"die_after": first}, {"die_after": second}, {}]
                verdict, result, _, _ = asyncio.run(run_response(faults))
                expected = ("whole", 3, TOKENS)
                observed = (verdict, result.attempt_count, result.event_count)
                self.assertEqual(expected, observed, (first, second))

    def test_every_pair_of_faulty_engines(self):
        """Two engines in a row have faults, in every pair of faults."""
        pairs = list(itertools.product(sorted(FAULTS), repeat=2))

        async def run() -> list[tuple]:
            results = []
            for batch in (pairs[i : i + 26] for i in range(0, len(pairs), 26)):
                rows = [[FAULTS[first], FAULTS[second], {}] for first, second in batch]
                results += await asyncio.gather(*(run_response(row) for row in rows))
            return results

        for pair, row in zip(pairs, asyncio.run(run()), strict=True):
            verdict, result, release_counts, (running, _) = row
            self.assertEqual(("whole", 0), (verdict, running), pair)
            self.assertEqual([1] * result.attempt_count, release_counts, pair)

    def test_slow_engine_with_heartbeats_is_kept(self):
        """A slow engine that sends heartbeats doesn't count as silent."""
        faults = [{"late_s": 0.4}, {}]
        _, result, _, _ = asyncio.run(run_response(faults, tokens=2))
        self.assertEqual(1, result.attempt_count)


class SilentEngineTest(TestCase):
    """An engine that is silent for a while is left only for one that is granted."""

    async def relay_paused_response(
        self,
        events_before: int,
        on_start: Callable[[FakePlacement], None],
        on_resume: Callable[[FakePlacement], None] = lambda placement: None,
    ) -> tuple[str, int, int]:
        """Relay a response whose engine pauses.

        Args:
            events_before: Events before the pause; 0 for a pause before the head.
            on_start: Called with the harness's placement when the engine is asked.
            on_resume: Called when the engine has gone on.

        Returns:
            The verdict, the number of attempts, and that of permits.
        """
        texts = compose_response(MESSAGES, TOKENS)

        async def generate(request: web.Request) -> web.StreamResponse:
            on_start(harness.placement)
            body = await request.json()
            response = web.StreamResponse()
            for offset in range(TOKENS):
                if offset == events_before:
                    await asyncio.sleep(PAUSE_S)
                if offset == 0:
                    await response.prepare(request)
                data = json.dumps({"text": texts[offset]})
                event = f"id: {body['request']}:{offset}\ndata: {data}\n\n"
                await response.write(event.encode())
            await asyncio.sleep(READ_DELAY_S)
            on_resume(harness.placement)
            await asyncio.sleep(READ_DELAY_S)
            await response.write(format_end(body["request"], TOKENS, 0))
            return response

        app = web.Application()
        app.router.add_post("/v1/generate", generate)
        async with (
            serve_app(app) as port,
            serve_relay([make_server("paused", port)]) as harness,
        ):
            _, data, hung = await read_response(harness.url)
        released = [permit.release_count for permit in harness.placement.permits]
        self.assertEqual({1}, set(released))
        verdict = check_response(data, TOKENS, hung)
        return verdict, harness.results[0].attempt_count, len(released)

    def test_silent_engine_is_kept_if_no_other_permit_is_granted(self):
        """Guards against giving up an engine before another one is granted."""
        for events_before in (0, EVENTS_BEFORE_PAUSE):
            result = asyncio.run(
                self.relay_paused_response(
                    events_before, lambda placement: placement.servers.clear()
                )
            )
            self.assertEqual(("whole", 1, 1), result, events_before)

    def test_engine_that_goes_on_before_a_permit_is_granted_is_kept(self):
        """The permit that comes too late is returned."""

        def wait(placement: FakePlacement) -> None:
            placement.gate = asyncio.Event()

        result = asyncio.run(
            self.relay_paused_response(
                EVENTS_BEFORE_PAUSE, wait, lambda placement: placement.gate.set()
            )
        )
        self.assertEqual(("whole", 1, 2), result)


class FailureReportTest(TestCase):
    """Failures reported to callers that get no whole response."""

    def test_refused_connection_is_reported_as_not_run(self):
        """If no connection is accepted the response says that nothing ran."""

        async def run() -> tuple:
            server = make_server("engine-0", find_closed_port())
            async with (
                serve_relay([server]) as harness,
                aiohttp.ClientSession() as session,
            ):
                response = await session.post(harness.url)
                return response.status, dict(response.headers), await response.json()

        status, headers, body = asyncio.run(run())
        self.assertEqual((503, "2"), (status, headers["Retry-After"]))
        self.assertEqual((108, "not_run"), (body["code"], body["fate"]))

    def test_stream_that_cannot_resume_ends_with_failure_event(self):
        """A started stream that can't resume ends with a ``failed`` event."""
        faults = [{"die_after": 3, "times": 1}]

        async def run() -> tuple:
            async with serve_engines(1) as [(engine, server)]:
                engine.fault_switch.faults = dict(faults[0])
                async with serve_relay([server]) as harness:
                    reading = asyncio.create_task(read_response(harness.url))
                    while engine.counts["dropped"] == 0:
                        await asyncio.sleep(0)
                    engine.fault_switch.faults = {"refuse": True}
                    return await reading

        _, data, hung = asyncio.run(run())
        self.assertEqual("failed 205", check_response(data, TOKENS, hung))
        self.assertEqual(2.0, parse_events(data)[-1].data["retry_after_s"])

    def test_silent_engines_fail_at_the_deadline(self):
        """With silent engines the response says that the request may have run."""
        work_class = {**WORK_CLASS, "whole_s": 0.6}
        faults = [{"silent_after": 0, "times": 9}]
        verdict, result, _, (running, _) = asyncio.run(
            run_response(faults, work_class=work_class)
        )
        self.assertIn(verdict, ("failed 205", "failed 206"))
        self.assertEqual(0, running)
        self.assertEqual(0, result.event_count)

    def test_live_engine_past_deadline_is_not_blamed(self):
        """An engine that sends heartbeats past the deadline doesn't count as failed."""

        async def run() -> tuple:
            async with serve_engines(1) as [(engine, server)]:
                engine.fault_switch.faults = {"late_s": 5.0}
                work_class = {**WORK_CLASS, "whole_s": 0.3}
                async with serve_relay([server], work_class=work_class) as harness:
                    _, data, hung = await read_response(harness.url)
                counts = harness.relay.metrics.counts
                failed_attempts = [
                    name for name in counts if name.startswith("attempt_")
                ]
                return (
                    check_response(data, TOKENS, hung),
                    failed_attempts,
                    engine.slots.running,
                )

        self.assertEqual(("failed 206", [], 0), asyncio.run(run()))


class CallerTest(TestCase):
    """Callers that leave, read slowly or wait."""

    def test_work_is_cancelled_when_caller_leaves(self):
        """The engine's work is cancelled and its permit is released."""

        async def run() -> tuple:
            async with serve_engines(1, token_interval_s=0.02) as [(engine, server)]:
                async with serve_relay([server], tokens=500) as harness:
                    async with aiohttp.ClientSession() as session:
                        response = await session.post(harness.url)
                        await response.content.readany()
                        response.close()
                    while not harness.results:
                        await asyncio.sleep(0.01)
                return engine.counts, engine.slots.running, harness

        counts, running, harness = asyncio.run(run())
        self.assertEqual((1, 0), (counts["cancel_requests"], running))
        self.assertEqual(
            [1], [permit.release_count for permit in harness.placement.permits]
        )
        self.assertEqual(0, len(harness.relay.watchdogs))

    def test_queued_work_is_cancelled_when_caller_leaves(self):
        """Work that is queued for a slot is cancelled as well."""

        async def run() -> tuple:
            options = {"slots": 1, "token_interval_s": 0.05}
            async with serve_engines(1, **options) as [(engine, server)]:
                async with serve_relay([server], tokens=200) as harness:
                    first = asyncio.create_task(
                        read_response(harness.url + "?request=a")
                    )
                    while not engine.slots.running:
                        await asyncio.sleep(0.01)
                    await read_response(harness.url + "?request=b", timeout_s=0.15)
                    while not harness.results:
                        await asyncio.sleep(0.01)
                    await harness.relay.cancellations.close()
                    waiting = engine.slots.waiting
                    first.cancel()
                    await asyncio.wait({first})
                    while len(harness.results) < 2:
                        await asyncio.sleep(0.01)
                    await harness.relay.cancellations.close()
                return waiting, engine.counts["cancel_requests"], engine.slots.running

        self.assertEqual((0, 2, 0), asyncio.run(run()))

    def test_waiting_caller_receives_heartbeats(self):
        """A caller that waits for the first event receives heartbeats."""

        async def run() -> bytes:
            async with serve_engines(1) as [(engine, server)]:
                engine.fault_switch.faults = {"late_s": 0.6, "times": 1}
                async with serve_relay([server], tokens=1) as harness:
                    return (await read_response(harness.url))[1]

        data = asyncio.run(run())
        self.assertGreaterEqual(data.split(b"id:")[0].count(b": heartbeat"), 2)
        self.assertEqual("whole", check_response(data, 1))

    def test_slow_caller_affects_only_its_own_stream(self):
        """A slow caller is cut off; memory stays bounded, other callers are served."""
        asyncio.run(self._check_slow_caller())

    async def _check_slow_caller(self) -> None:
        sent_bytes, cancelled, buffered_bytes, priorities = [0], [], [0], []

        async def generate(request: web.Request) -> web.StreamResponse:
            body = await request.json()
            priorities.append(body["priority"])
            response = web.StreamResponse()
            await response.prepare(request)
            data = json.dumps({"text": "x" * EVENT_BYTES})
            with contextlib.suppress(ConnectionError):
                for offset in range(LONG_STREAM_EVENT_COUNT):
                    event = f"id: {body['request']}:{offset}\ndata: {data}\n\n"
                    await response.write(event.encode())
                    sent_bytes[0] += len(event)
            return response

        async def cancel(request: web.Request) -> web.Response:
            cancelled.append(request.match_info["request"])
            return web.Response(status=204)

        app = web.Application()
        app.router.add_post("/v1/generate", generate)
        app.router.add_delete("/v1/generate/{request}", cancel)
        async with serve_app(app) as port, serve_engines(1) as [(_, healthy_server)]:
            endless_server = make_server("endless", port)
            async with serve_relay([endless_server]) as harness:
                caller = _open_stuck_caller(harness.port)
                while not harness.results:
                    await asyncio.sleep(0.01)
                    for transport in harness.list_caller_transports():
                        buffered_bytes[0] = max(
                            buffered_bytes[0], transport.get_write_buffer_size()
                        )
                    if sent_bytes[0] and harness.placement.servers == [endless_server]:
                        harness.placement.servers = [healthy_server]
                        _, data, _ = await read_response(
                            harness.url + f"?request={REQUEST}"
                        )
                        self.assertEqual("whole", check_response(data, TOKENS))
                        harness.results.clear()
                caller.close()
        self.assertEqual((["slow"], [1 + 3]), (cancelled, priorities))
        self.assertEqual(1, harness.relay.metrics.counts["caller_stuck"])
        self.assertGreater(buffered_bytes[0], 0)
        self.assertLessEqual(
            buffered_bytes[0],
            FAST_SETTINGS.max_write_buffer_bytes + MAX_UNDRAINED_BYTES,
        )
        self.assertLess(sent_bytes[0], LONG_STREAM_EVENT_COUNT * EVENT_BYTES)


def _open_stuck_caller(port: int) -> socket.socket:
    """Send a chat and never read the response."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect(("127.0.0.1", port))
    caller.sendall(
        b"POST /v1/chats?request=slow HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
    )
    return caller
