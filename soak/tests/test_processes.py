"""Tests of the signals to processes."""

import asyncio
import signal
import sys
from asyncio.subprocess import Process

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from soak.processes import send_signal, wait_for_interpreter

HOLDING_PROGRAM = """
import signal, time
signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM])
time.sleep(0.2)
signal.signal(signal.SIGTERM, lambda *args: exit(0))
signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGTERM])
time.sleep(10.0)
"""


class WaitForInterpreterTest(TestCase):
    """Signals of planned work are for programs, not for the interpreter's start."""

    def test_signal_after_the_wait_is_handled_by_the_program(self):
        """Guards against signals that end a process before its first statement."""
        statuses = run_coroutine(self._signal_processes())
        self.assertEqual([0] * 4, statuses)

    async def _signal_processes(self) -> list[int]:
        processes = [await _start(HOLDING_PROGRAM) for _ in range(4)]
        for process in processes:
            await wait_for_interpreter(process)
            send_signal(process, signal.SIGTERM)
        return await asyncio.gather(*(process.wait() for process in processes))

    def test_wait_for_a_process_that_has_ended_returns(self):
        """A host may end while a signal to it waits."""

        async def run() -> None:
            process = await _start("")
            await process.wait()
            await wait_for_interpreter(process)

        run_coroutine(run())


async def _start(program: str) -> Process:
    return await asyncio.create_subprocess_exec(sys.executable, "-c", program)
