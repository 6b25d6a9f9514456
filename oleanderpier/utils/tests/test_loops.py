"""Tests of ``run_coroutine``."""

import asyncio
import os
from pathlib import Path

import uvloop
from testtools import TestCase

from oleanderpier.utils import run_coroutine


async def list_descriptors():
    """Return the running loop and the link targets of this process's descriptors."""
    paths = [path for path in Path("/proc/self/fd").iterdir() if path.is_symlink()]
    return asyncio.get_running_loop(), [os.readlink(path) for path in paths]


class RunCoroutineTest(TestCase):
    """Coroutines run on uvloop without io_uring."""

    def test_no_io_uring_descriptor_is_open(self):
        """The process has no io_uring descriptor while the loop runs."""
        loop, links = run_coroutine(list_descriptors())
        self.assertIsInstance(loop, uvloop.Loop)
        self.assertEqual([], [link for link in links if "io_uring" in link])
