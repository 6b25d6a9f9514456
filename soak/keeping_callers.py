"""Callers that keep one open connection each until the host closes it."""

import asyncio
import contextlib
import math
import random

import aiohttp

from oleanderpier.connections import make_session
from soak.callers import Callers
from soak.checks import DEADLINE_S
from soak.observations import CallerRequest
from standins.backend_server import PADDING_HEADER, WORK_HEADER
from standins.raw_callers import NO_ANSWER, BodyForm, RawCaller, RawRequest, RawResponse

__all__ = ["KeepingCallers"]

# Range of the pause between two requests on a connection: some connections are idle
# throughout a drain.
PAUSE_RANGE_S = (0.0, 4.0)
# Pause after no host was found or none accepted a connection.
RECONNECT_PAUSE_S = 0.2
CONNECT_TIMEOUT_S = 1.0
# Longer than any response may take.
RESPONSE_TIMEOUT_S = 30.0
# How long a server works on a request, in seconds, and how often in 100 requests.
_WORK_WEIGHTS = {0.0: 30, 0.3: 65, 1.0: 5}

# Some callers begin to read only after some time, a response that is larger than what
# the sockets hold.
SLOW_READER_RATIO = 0.05
READ_DELAY_S = 3.0
LARGE_RESPONSE_BYTES = 15 << 20

_REQUEST_KINDS = ("payout", "payout", "lookup", "chat")


class KeepingCallers:
    """A group of callers that use a connection however old their address list is.

    Args:
        callers: The other callers; they record the requests and stop this group.
        rng: Random generator for the choice of requests and hosts.
    """

    def __init__(self, callers: Callers, rng: random.Random) -> None:
        self._callers = callers
        self._rng = rng

    async def run(self, count: int) -> None:
        """Run a number of callers until the others are stopped."""
        async with make_session() as session, asyncio.TaskGroup() as group:
            for _ in range(count):
                rng = random.Random(self._rng.random())
                group.create_task(self._run_caller(session, rng))

    async def _run_caller(
        self, session: aiohttp.ClientSession, rng: random.Random
    ) -> None:
        while not self._callers.is_stopped():
            addresses = await self._callers.resolve(session, rng)
            if not addresses:
                await self._callers.wait_until_stopped(RECONNECT_PAUSE_S)
                continue
            address = rng.choice(addresses)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    connection = await RawCaller.connect(address)
            except OSError:
                # The host is down.
                await self._callers.wait_until_stopped(RECONNECT_PAUSE_S)
                continue
            try:
                await self._use(connection, address, rng)
            finally:
                connection.close()

    async def _use(
        self, connection: RawCaller, address: str, rng: random.Random
    ) -> None:
        """Send requests on a connection until it is closed or the callers stop."""
        closes = False
        while not closes:
            await self._callers.wait_until_stopped(rng.uniform(*PAUSE_RANGE_S))
            if self._callers.is_stopped() or connection.is_closed():
                return
            closes = (await self._send(connection, address, rng)).closes

    async def _send(
        self, connection: RawCaller, address: str, rng: random.Random
    ) -> RawResponse:
        """Send one request and record its outcome."""
        callers = self._callers
        kind = rng.choice(_REQUEST_KINDS)
        request_id, credential = (
            callers.make_request_id(),
            callers.choose_credential(rng),
        )
        (work_s,) = rng.choices(list(_WORK_WEIGHTS), list(_WORK_WEIGHTS.values()))
        is_lookup = kind == "lookup"
        is_slow = kind != "chat" and rng.random() < SLOW_READER_RATIO
        request = RawRequest(
            f"/{kind}/x",
            request_id,
            b"" if is_lookup else b"body",
            BodyForm.WITH_HEAD if is_lookup else rng.choice(list(BodyForm)),
            {
                "Request-Deadline-Ms": f"{1000 * DEADLINE_S:.0f}",
                "Credential": credential,
                "Prompt-Prefix": f"p{rng.randrange(6)}:700,{request_id}:40",
                WORK_HEADER: str(work_s),
                PADDING_HEADER: str(LARGE_RESPONSE_BYTES if is_slow else 0),
            },
        )
        started_s = asyncio.get_running_loop().time() - callers.get_elapsed_s()
        sent_s = callers.get_elapsed_s()
        response = RawResponse(NO_ANSWER, b"", False, True, math.inf, False)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                delay_s = READ_DELAY_S if is_slow else 0.0
                response = await connection.exchange(request, delay_s)
        callers.requests.append(
            CallerRequest(
                request_id,
                kind,
                credential,
                callers.find_host(address),
                sent_s,
                callers.get_elapsed_s(),
                response.status,
                response.body.decode().rstrip(" "),
                response.complete,
                response.written_s - started_s,
                response.was_reset,
            )
        )
        return response
