"""Tests of what an entry host loads until it serves.

Imports are most of the CPU time of a start, which takes seconds on a small share of a
core, and what they load stays in memory. The tests guard against imports that bring
back modules that no entry host uses.
"""

import json
import subprocess
import sys

from testtools import TestCase

# Prints the modules that are loaded, and the number of the process's threads, after
# the imports and the start of the worker threads.
SCRIPT = """
import asyncio, json, os, sys
os.environ["UV_USE_IO_URING"] = "0"
import oleanderpier.platform.program
import uvloop
from oleanderpier.signals import start_worker_threads
async def start():
    await start_worker_threads()
    return len(os.listdir("/proc/self/task"))
with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
    threads = runner.run(start())
print(json.dumps([sorted(sys.modules), threads]))
"""
# Modules that are not needed, by what needs them.
UNUSED_MODULES = {
    "failure detection of servers by daemons": (
        "oleanderpier.membership.histories",
        "oleanderpier.membership.probers",
        "oleanderpier.membership.server_gossip",
        "oleanderpier.membership.server_messages",
        "oleanderpier.membership.server_probes",
        "oleanderpier.membership.server_table",
        "oleanderpier.membership.servers",
    ),
    "programs other than entry hosts": (
        "oleanderpier.cli",
        "oleanderpier.configuration",
        "oleanderpier.daemon",
        "oleanderpier.operators",
        "oleanderpier.relay",
    ),
    "aiohttp's command line and WebSocket handlers": (
        "aiohttp.web",
        "aiohttp.web_ws",
        "argparse",
    ),
    "international domain names": ("encodings.idna", "stringprep"),
}


class StartupTest(TestCase):
    """An entry host loads only what it uses."""

    def test_modules_not_loaded(self):
        """Neither the imports nor the first name look-up load unused modules."""
        process = subprocess.run(
            [sys.executable, "-"],
            input=SCRIPT,
            capture_output=True,
            check=True,
            text=True,
        )
        modules, threads = json.loads(process.stdout)
        loaded = {
            reason: names
            for reason, unused in UNUSED_MODULES.items()
            if (names := sorted(set(unused) & set(modules)))
        }
        self.assertEqual({}, loaded)
        # The look-up has started the worker threads, as it is there to do.
        self.assertGreater(threads, 1)
