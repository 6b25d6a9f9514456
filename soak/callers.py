"""Callers that resolve the hosts through the directory and send requests to them."""

import asyncio
import contextlib
import random

import aiohttp

from oleanderpier.connections import make_session
from soak.checks import DEADLINE_S
from soak.observations import CallerRequest
from standins.platform_fleet import HOST_NAME, PlatformFleet

__all__ = ["Callers"]

# Range of the pause between two requests of a caller.
PAUSE_RANGE_S = (0.01, 0.1)
# Time for which a caller keeps resolved addresses; a third of the callers keep them
# LONG_KEEP_FACTOR times as long.
ADDRESS_KEEP_S = 0.5
LONG_KEEP_FACTOR = 3.0
DIRECTORY_TIMEOUT_S = 1.0
MAX_DIRECTORY_ATTEMPTS = 3
# Long enough that idle connections are closed by the hosts, not by the callers.
KEEPALIVE_S = 60.0
# Fraction of the requests that carry a revoked credential.
REVOKED_KEY_RATIO = 0.1

_REQUEST_KINDS = ("payout", "payout", "payout", "lookup", "chat", "chat")


class Callers:
    """A group of callers that send requests until they are stopped.

    Args:
        fleet: The hosts.
        rng: Random generator for the choice of requests and hosts.
        keys: Every credential, including those that will be revoked.

    Attributes:
        requests: Every request that has ended.
        revoked_keys: Credentials that have been revoked.
    """

    def __init__(self, fleet: PlatformFleet, rng: random.Random, keys: list[str]):
        self.requests: list[CallerRequest] = []
        self.revoked_keys: set[str] = set()
        self._fleet = fleet
        self._rng = rng
        self._keys = keys
        self._host_numbers = {
            fields["Listen"]["Front"]: number
            for number, fields in enumerate(fleet.settings)
        }
        self._request_count = 0
        self._stopping = asyncio.Event()

    async def run(self, count: int) -> None:
        """Run a number of callers until ``stop``, and wait for their open requests."""
        self._started_s = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                group.create_task(self._run_caller())

    def stop(self) -> None:
        """Stop sending new requests."""
        self._stopping.set()

    def is_stopped(self) -> bool:
        """Return whether no new requests are sent."""
        return self._stopping.is_set()

    async def wait_until_stopped(self, timeout_s: float) -> None:
        """Wait for ``stop``, at most for some seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._stopping.wait()

    def get_elapsed_s(self) -> float:
        """Return the seconds since the callers were started."""
        return asyncio.get_running_loop().time() - self._started_s

    async def _run_caller(self) -> None:
        rng = random.Random(self._rng.random())
        keep_s = ADDRESS_KEEP_S * rng.choice((1.0, 1.0, LONG_KEEP_FACTOR))
        addresses, asked_s = [], -keep_s
        async with make_session(keepalive_s=KEEPALIVE_S) as session:
            while not self.is_stopped():
                if self.get_elapsed_s() - asked_s >= keep_s:
                    addresses = await self.resolve(session, rng) or addresses
                    asked_s = self.get_elapsed_s()
                if addresses:
                    await self._send(session, rng, rng.choice(addresses))
                await asyncio.sleep(rng.uniform(*PAUSE_RANGE_S))

    async def resolve(
        self, session: aiohttp.ClientSession, rng: random.Random
    ) -> list[str]:
        """Return the addresses from a host's directory, or none if none responds."""
        timeout = aiohttp.ClientTimeout(total=DIRECTORY_TIMEOUT_S)
        fleet = self._fleet
        queried = rng.sample(
            fleet.settings, min(MAX_DIRECTORY_ATTEMPTS, len(fleet.settings))
        )
        for fields in queried:
            url = f"http://{fields['Listen']['Directory']}/resolve?Name={HOST_NAME}"
            try:
                async with session.get(url, timeout=timeout) as response:
                    if response.status == 200:
                        return (await response.json())["Addresses"]
            except (aiohttp.ClientError, OSError, TimeoutError):
                # The host is down; try the next one.
                continue
        return []

    async def _send(
        self, session: aiohttp.ClientSession, rng: random.Random, address: str
    ) -> None:
        """Send one request and record its outcome."""
        request_id, kind = self.make_request_id(), rng.choice(_REQUEST_KINDS)
        credential = self.choose_credential(rng)
        sent_s = self.get_elapsed_s()
        status, body, complete = 0, b"", False
        try:
            async with session.request(
                "GET" if kind == "lookup" else "POST",
                f"http://{address}/{kind}/x",
                data=None if kind == "lookup" else b"body",
                headers={
                    "Host": HOST_NAME,
                    "Request-Id": request_id,
                    "Request-Deadline-Ms": f"{1000 * DEADLINE_S:.0f}",
                    "Credential": credential,
                    "Prompt-Prefix": f"p{rng.randrange(6)}:700,{request_id}:40",
                },
            ) as response:
                status = response.status
                async for data in response.content.iter_any():
                    body += data
                complete = True
        except (aiohttp.ClientError, OSError):
            # The connection ended before the end of the response.
            complete = False
        self.requests.append(
            CallerRequest(
                request_id,
                kind,
                credential,
                self.find_host(address),
                sent_s,
                self.get_elapsed_s(),
                status,
                body.decode(),
                complete,
            )
        )

    def make_request_id(self) -> str:
        """Return the id of a new request."""
        self._request_count += 1
        return f"r{self._request_count}"

    def find_host(self, address: str) -> int:
        """Return the number of the host with an address, -1 if there is none."""
        return self._host_numbers.get(address, -1)

    def choose_credential(self, rng: random.Random) -> str:
        """Return a credential for a new request, rarely a revoked one."""
        valid = [key for key in self._keys if key not in self.revoked_keys]
        if self.revoked_keys and rng.random() < REVOKED_KEY_RATIO:
            return rng.choice(sorted(self.revoked_keys))
        return rng.choice(valid)
