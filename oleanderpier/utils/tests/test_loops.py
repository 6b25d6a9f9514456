"""Tests of the event loop that programs run on."""

import asyncio
import os
from pathlib import Path

import uvloop
from testtools import TestCase

from oleanderpier.utils import run_coroutine


async def list_descriptors():
    """Return the running loop and what this process's descriptors stand for."""
    paths = [path for path in Path("/proc/self/fd").iterdir() if path.is_symlink()]
    return asyncio.get_running_loop(), [os.readlink(path) for path in paths]


class RunCoroutineTest(TestCase):
    """Coroutines run on uvloop, and no io_uring is open."""

    def test_no_io_uring(self):
        """No descriptor of the running process is an io_uring."""
        loop, links = run_coroutine(list_descriptors())
        self.assertIsInstance(loop, uvloop.Loop)
        self.assertEqual([], [link for link in links if "io_uring" in link])
