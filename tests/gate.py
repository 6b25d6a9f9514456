"""Runs all tests on all cores; only tests listed in KNOWN-RED.txt may fail."""

import os
import sys

import pytest

MAX_WORKER_COUNT = 8


def main() -> int:
    """Run all tests and return the exit status."""
    workers = min(len(os.sched_getaffinity(0)), MAX_WORKER_COUNT)
    # The workers load the plugin by its name.
    options = ["-p", "tests.known_red", "-n", str(workers), "--dist", "worksteal"]
    return int(pytest.main([*options, *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
