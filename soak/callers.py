"""Callers: they ask the directory, keep the answer and connect themselves."""

import asyncio
import random

import aiohttp

from oleanderpier.connections import make_session
from soak.evidence import Attempt
from standins.platform_fleet import HOST_NAME, PlatformFleet

__all__ = ["Callers"]

# How often each caller sends, and for how long it keeps addresses at most.
PAUSE_S = (0.01, 0.1)
KEEP_S = 0.5
KEEP_MULTIPLE = 3.0
DIRECTORY_TIMEOUT_S = 1.0
DIRECTORY_TRIES = 3
# Connections stay open for as long as the hosts keep them.
IDLE_S = 60.0
# Callers go on with a credential that was taken away now and then.
OLD_KEY_SHARE = 0.1

_KINDS = ("payout", "payout", "payout", "lookup", "chat", "chat")


class Callers:
    """Sends requests until it is stopped, and remembers what came of them.

    Args:
        fleet: The hosts.
        rng: The source of randomness.
        keys: The credentials, of which ``revoked`` are no longer valid.

    Attributes:
        attempts: Every request that has ended.
        revoked: Credentials that were taken away.
    """

    def __init__(self, fleet: PlatformFleet, rng: random.Random, keys: list[str]):
        self.attempts: list[Attempt] = []
        self.revoked: set[str] = set()
        self._fleet = fleet
        self._rng = rng
        self._keys = keys
        self._numbers = {
            fields["Listen"]["Front"]: number
            for number, fields in enumerate(fleet.settings)
        }
        self._sent = 0
        self._stopped = False

    async def run(self, count: int) -> None:
        """Let a number of callers send until ``stop``, and finish what they sent."""
        self._began_s = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                group.create_task(self._run_caller())

    def stop(self) -> None:
        """Send nothing new."""
        self._stopped = True

    def get_time_s(self) -> float:
        """Return the seconds since the start."""
        return asyncio.get_running_loop().time() - self._began_s

    async def _run_caller(self) -> None:
        rng = random.Random(self._rng.random())
        keep_s = KEEP_S * rng.choice((1.0, 1.0, KEEP_MULTIPLE))
        addresses, asked_s = [], -keep_s
        async with make_session(keepalive_s=IDLE_S) as session:
            while not self._stopped:
                if self.get_time_s() - asked_s >= keep_s:
                    addresses = await self._resolve(session, rng) or addresses
                    asked_s = self.get_time_s()
                if addresses:
                    await self._send(session, rng, rng.choice(addresses))
                await asyncio.sleep(rng.uniform(*PAUSE_S))

    async def _resolve(
        self, session: aiohttp.ClientSession, rng: random.Random
    ) -> list[str]:
        """Return the addresses that some host names, none where none answers."""
        timeout = aiohttp.ClientTimeout(total=DIRECTORY_TIMEOUT_S)
        fleet = self._fleet
        some = rng.sample(fleet.settings, min(DIRECTORY_TRIES, len(fleet.settings)))
        for fields in some:
            url = f"http://{fields['Listen']['Directory']}/resolve?Name={HOST_NAME}"
            try:
                async with session.get(url, timeout=timeout) as response:
                    if response.status == 200:
                        return (await response.json())["Addresses"]
            except (aiohttp.ClientError, OSError, TimeoutError):
                # A host that is down does not answer; the next one is asked.
                continue
        return []

    async def _send(
        self, session: aiohttp.ClientSession, rng: random.Random, address: str
    ) -> None:
        """Send one request and remember what came of it."""
        self._sent += 1
        identity, kind = f"r{self._sent}", rng.choice(_KINDS)
        key = self._choose_key(rng)
        sent_s = self.get_time_s()
        status, body, whole = 0, b"", False
        try:
            async with session.request(
                "GET" if kind == "lookup" else "POST",
                f"http://{address}/{kind}/x",
                data=None if kind == "lookup" else b"body",
                headers={
                    "Host": HOST_NAME,
                    "Request-Id": identity,
                    "Request-Deadline-Ms": "8000",
                    "Credential": key,
                    "Prompt-Prefix": f"p{rng.randrange(6)}:700,{identity}:40",
                },
            ) as response:
                status = response.status
                async for data in response.content.iter_any():
                    body += data
                whole = True
        except (aiohttp.ClientError, OSError):
            # The connection ended early, which ``whole`` tells.
            whole = False
        self.attempts.append(
            Attempt(
                identity,
                kind,
                key,
                self._numbers.get(address, -1),
                sent_s,
                self.get_time_s(),
                status,
                body.decode(),
                whole,
            )
        )

    def _choose_key(self, rng: random.Random) -> str:
        valid = [key for key in self._keys if key not in self.revoked]
        if self.revoked and rng.random() < OLD_KEY_SHARE:
            return rng.choice(sorted(self.revoked))
        return rng.choice(valid)
