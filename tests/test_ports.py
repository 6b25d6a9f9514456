"""Tests of the ports that processes on one machine share."""

import os
import subprocess
import sys
from pathlib import Path

from testtools import TestCase

from demo.ports import BLOCK_SIZE, find_free_port

ROOT = Path(__file__).parent.parent
PORT_COUNT = 3 * BLOCK_SIZE
# The same order of blocks as in this process.
PROGRAM = f"""
import os, sys
os.getpid = lambda: int(sys.argv[1])
from demo.ports import find_free_port
print(*[find_free_port() for _ in range({PORT_COUNT})])
sys.stdout.flush()
sys.stdin.read()
"""


class PortTest(TestCase):
    """Two runs of the tests at a time use different ports."""

    def test_processes_get_different_ports(self):
        """Nothing listens on any of the ports yet."""
        with subprocess.Popen(
            [sys.executable, "-c", PROGRAM, str(os.getpid())],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as process:
            others = [int(port) for port in process.stdout.readline().split()]
            own = [find_free_port() for _ in range(PORT_COUNT)]
            process.stdin.close()
        self.assertEqual(2 * PORT_COUNT, len({*own, *others}))
