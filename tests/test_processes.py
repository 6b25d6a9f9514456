"""Tests of a daemon as a process: descriptors, children, settings, demo."""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from asyncio.subprocess import PIPE
from pathlib import Path

from testtools import TestCase

from demo.__main__ import find_caller_url, run_demo
from demo.caller import Caller
from demo.fleet import Fleet

DAEMON_PROGRAM = Path(sys.executable).parent / "oleanderpierd"
OPERATOR_TOOL = Path(sys.executable).parent / "oleanderpier"
OPERATOR_COMMANDS = [
    ["status"],
    ["targets"],
    ["events"],
    ["explain", "--chat", "trip-1", "--class", "trip-summary"],
]


def list_descriptors(pid: int) -> list[str]:
    """Return the targets of a process's open file descriptors."""
    folder = Path(f"/proc/{pid}/fd")
    return [os.readlink(entry) for entry in folder.iterdir()]


def list_child_processes(pid: int) -> list[str]:
    """Return the process ids of a process's children."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return [
        child for task in tasks for child in (task / "children").read_text().split()
    ]


def list_shared_mappings(pid: int) -> list[str]:
    """Return the writable shared memory mappings of a process."""
    lines = Path(f"/proc/{pid}/maps").read_text().splitlines()
    return [
        line
        for line in lines
        if line.split()[1].startswith("rw") and "s" in line.split()[1]
    ]


async def run_command(command: str, *words: str) -> tuple[int, object]:
    """Run the operators' tool; return its exit status and its JSON output.

    The last of ``words`` is the operator's address, the others are options.
    """
    *options, operator = words
    process = await asyncio.create_subprocess_exec(
        OPERATOR_TOOL, command, *options, "--operator", operator, "--json", stdout=PIPE
    )
    output, _ = await process.communicate()
    return process.returncode, json.loads(output)


class DaemonTest(TestCase):
    """Requirements that each daemon process has to meet."""

    def setUp(self):
        """Create a temporary folder."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_daemon_resources(self):
        """A daemon uses no io_uring, no shared memory and no child processes."""

        async def run():
            async with Fleet(self.folder, hosts=1, engines=1, services=0) as fleet:
                pid = fleet.processes["host-0"].pid
                return (
                    list_descriptors(pid),
                    list_child_processes(pid),
                    list_shared_mappings(pid),
                )

        descriptors, children, mappings = asyncio.run(run())
        self.assertTrue(any("socket" in target for target in descriptors))
        self.assertEqual([], [t for t in descriptors if "io_uring" in t])
        self.assertEqual([], children)
        self.assertEqual([], mappings)

    def test_invalid_settings(self):
        """Exit status 2; the error has the code, the path, and the allowed values."""
        path = self.folder / "bad.json"
        path.write_text(json.dumps({"host": "h1", "caller_port": "many"}))
        ended = subprocess.run(
            [DAEMON_PROGRAM, "--settings", path],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(2, ended.returncode)
        error = json.loads(ended.stderr)
        self.assertEqual(301, error["code"])
        self.assertIn("$.", error["text"])
        self.assertIn("found", error["text"])
        self.assertIn("allowed", error["text"])

    def test_operator_commands(self):
        """Every command of the operators' tool works with real daemons."""

        async def run():
            async with Fleet(self.folder, hosts=3, engines=2) as fleet:
                caller = Caller(
                    fleet.session, find_caller_url(fleet, "host-0"), "co-op"
                )
                await caller.request_chat("trip-1", ["hello"], 5, caller.directory_url)
                operator = f"127.0.0.1:{fleet.hosts[1]['operator_port']}"
                return {
                    words[0]: await run_command(*words, operator)
                    for words in OPERATOR_COMMANDS
                }

        results = asyncio.run(run())
        self.assertEqual(
            [0] * len(OPERATOR_COMMANDS), [status for status, _ in results.values()]
        )
        hosts = {row["host"] for row in results["status"][1]["answers"]}
        self.assertEqual({"host-0", "host-1", "host-2"}, hosts)
        self.assertIn("engine-", json.dumps(results["explain"][1]))
        self.assertIn("daemon:ready", json.dumps(results["events"][1]))
        self.assertIn("trip-summary", json.dumps(results["targets"][1]))

    def test_demo(self):
        """Every outcome of the demo is as expected."""
        for outcome in asyncio.run(run_demo(self.folder)):
            with self.subTest(what=outcome.description):
                self.assertEqual(outcome.total, outcome.correct)
