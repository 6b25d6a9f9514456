"""TCP ports for processes on the loopback address, also beside other runs."""

import contextlib
import os
import random
import socket
from collections.abc import Iterator

__all__ = ["LOOPBACK_ADDRESS", "find_free_port"]

LOOPBACK_ADDRESS = "127.0.0.1"
# Below the ephemeral ports: otherwise an outgoing connection could use a port before
# its process listens.
MIN_PORT = 10_000
PORT_LIMIT = 32_000
BLOCK_SIZE = 50


class _PortBlocks:
    """Blocks of ports that belong to this process.

    The first port of a block is bound until the process ends, which keeps the block
    from other processes.
    """

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        bases = list(range(MIN_PORT, PORT_LIMIT, BLOCK_SIZE))
        random.Random(os.getpid()).shuffle(bases)
        self._bases = iter(bases)

    def list_ports(self) -> Iterator[int]:
        """Return the ports of one block after the other, as they are claimed."""
        for base in self._bases:
            if self._claim(base):
                yield from range(base + 1, base + BLOCK_SIZE)
        raise RuntimeError(f"no free block of ports from {MIN_PORT} to {PORT_LIMIT}")

    def _claim(self, base: int) -> bool:
        guard = socket.socket()
        try:
            guard.bind((LOOPBACK_ADDRESS, base))
            guard.listen()
        except OSError:
            guard.close()
            return False
        self._guards.append(guard)
        return True


_ports = _PortBlocks().list_ports()


def find_free_port() -> int:
    """Return a free TCP port, a different one at each call and in each process."""
    for port in _ports:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((LOOPBACK_ADDRESS, port))
            return port
    raise RuntimeError("the ports are used up")
