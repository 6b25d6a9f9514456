"""Engine processes that are killed or stopped in mid-stream."""

import asyncio
import contextlib
import signal
import sys
from collections.abc import AsyncIterator

from testtools import TestCase

from oleanderpier.relay.tests.harness import (
    make_server,
    read_response,
    serve_engines,
    serve_relay,
)
from oleanderpier.relay.tests.response_checks import check_response

TOKENS = 60


@contextlib.asynccontextmanager
async def start_engine() -> AsyncIterator[tuple]:
    """Start an engine process; yield it with its backend server."""
    arguments = ["-m", "standins.engine", "--port", "0", "--name", "process"]
    process = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, stdout=asyncio.subprocess.PIPE
    )
    try:
        line = await process.stdout.readline()
        yield process, make_server("process", int(line.rpartition(b":")[2]))
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


class EngineProcessTest(TestCase):
    """The caller gets a complete response if the engine process fails."""

    def test_response_is_complete_after_engine_signal(self):
        """After SIGKILL or SIGSTOP another engine resumes from the offset reached."""
        for signal_number in (signal.SIGKILL, signal.SIGSTOP):
            verdict, result = asyncio.run(self._run_with_signal(signal_number))
            observed = (verdict, result.attempt_count, result.event_count)
            self.assertEqual(("whole", 2, TOKENS), observed, signal_number)

    async def _run_with_signal(self, signal_number: signal.Signals) -> tuple:
        async with contextlib.AsyncExitStack() as stack:
            process, failing_server = await stack.enter_async_context(start_engine())
            [(_, healthy_server)] = await stack.enter_async_context(serve_engines(1))
            relay_context = serve_relay([failing_server, healthy_server], tokens=TOKENS)
            harness = await stack.enter_async_context(relay_context)
            reading = asyncio.create_task(read_response(harness.url))
            while not harness.placement.permits:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            process.send_signal(signal_number)
            _, data, hung = await reading
        return check_response(data, TOKENS, hung), harness.results[0]
