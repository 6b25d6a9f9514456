"""Requests with a part that crashes servers, beside sound ones.

The part, never the last of a prompt, crashes each server that begins to answer a
request with it; the server is back after ``DOWN_S``. No two of these requests are
alike, and sound ones share their caller and their other parts.

``python3 crashes.py RECORD`` plays six such requests at once, five times; its exit
status is that of a case.
"""

import asyncio
import itertools
import sys
from pathlib import Path
from typing import NamedTuple

from stand_ins import (
    ZONES,
    Answer,
    Hosts,
    Record,
    ServerProcess,
    Store,
    find_port,
    make_configuration,
    make_entry,
    make_route,
    send,
)

__all__ = ["Plan", "play"]

SERVERS = 8
DOWN_S = 2.5
# ``ContactMs``, the number of the crash after which it counts, and how many requests
# with the part may reach servers later.
CONTACT_S = 3.0
COUNTED_CRASH = 5
ALLOWED = 3
CRASHING_PART = "5c1e07a2"
SOUND_PER_S = 20
EVENTS = 10
INTERVAL_S = 0.1
WARM_UP_S = 8.0


class Plan(NamedTuple):
    """When the requests come, and what their prompts are.

    Attributes:
        bursts: How often some of them come.
        burst_size: How many come at once.
        gap_s: Time between these.
        before: The parts before the crashing one.
        after: How many different parts there are behind it; 0 for none.
    """

    bursts: int
    burst_size: int
    gap_s: float
    before: tuple[str, ...]
    after: int


class _Case:
    """One play.

    Args:
        plan: The plan.
        record: Where everything is written.
    """

    def __init__(self, plan: Plan, record: Record) -> None:
        self._plan = plan
        self._record = record
        self._store = Store()
        self._hosts = Hosts(self._store, ZONES, record)
        options = ("--events", str(EVENTS), "--interval-s", str(INTERVAL_S))
        options += ("--crash-part", CRASHING_PART)
        self._servers = [
            ServerProcess(f"i-{number}", find_port(), record, *options)
            for number in range(SERVERS)
        ]
        self._tasks: list[asyncio.Task] = []
        self._sound: list[Answer] = []

    async def run(self, trouble: bool) -> int:
        """Play it; return the exit status."""
        for server in self._servers:
            await server.start()
            entry = make_entry(server.address, server.born)
            self._store.put(f"servers/{server.identity}", entry)
            self._begin(server.keep_running(DOWN_S, self._store))
        routes = [
            make_route(
                "review", "streaming", Resumable=True, MaxAttempts=2, Sticky=True
            ),
            make_route("trip", "streaming", Sticky=True),
        ]
        self._store.put("op/config", make_configuration(5, routes))
        await self._hosts.start_all()
        self._begin(self._send_sound())
        await asyncio.sleep(WARM_UP_S)
        for burst in range(self._plan.bursts):
            for number in range(self._plan.burst_size):
                self._begin(self._send_crashing(burst, number, trouble))
            await asyncio.sleep(self._plan.gap_s)
        return self._judge()

    async def end(self) -> None:
        """End all processes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._hosts.end_all()
        for server in self._servers:
            await server.kill()

    def _begin(self, coroutine) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _send_crashing(self, burst: int, number: int, trouble: bool) -> None:
        plan = self._plan
        count = burst * plan.burst_size + number
        name = f"{'crashing' if trouble else 'other'}-{count}"
        part = CRASHING_PART if trouble else f"abcd{count:04x}"
        behind = (f"5e55{count % plan.after:04x}",) if plan.after else ()
        await self._send("review", count, name, (*plan.before, part, *behind))

    async def _send_sound(self) -> None:
        """Send sound requests on both routes, until cancelled."""
        plan = self._plan
        for count in itertools.count():
            route = ("review", "trip")[count % 2]
            behind = (f"5e55{count % plan.after:04x}",) if plan.after else ()
            parts = (*plan.before, f"77ab{count % 40:04x}", *behind)
            self._begin(self._send_one_sound(route, count, parts))
            await asyncio.sleep(1 / SOUND_PER_S)

    async def _send_one_sound(
        self, route: str, count: int, parts: tuple[str, ...]
    ) -> None:
        name = f"sound-{route}-{count}"
        self._sound.append(await self._send(route, count, name, parts))

    async def _send(
        self, route: str, count: int, name: str, parts: tuple[str, ...]
    ) -> Answer:
        """Send a request to one host after the other, and write what came back."""
        number = count % len(ZONES)
        prompt = ",".join(f"{part}:400" for part in (*parts, f"0fee{count:08x}"))
        headers = {
            "Model-Name": "m",
            "Token-Usage": f"{400 * (len(parts) + 1)},80",
            "Prompt-Prefix": prompt,
        }
        self._record.write(f"client sends {name} to host {number}")
        front = self._hosts.get_front(number)
        path = f"/{route}/{name}"
        answer = await send(front, "POST", path, name, name.encode(), headers=headers)
        self._record.write(
            f"client got {name}: {answer.status}, "
            f"{answer.body.count(b'data: ')} events, "
            f"{'complete' if answer.complete else 'broken off'}"
        )
        return answer

    def _judge(self) -> int:
        """Return 1 if too many requests with the part reached servers, else 0."""
        events = sorted(event for server in self._servers for event in server.events)
        crashes = [at_s for at_s, kind, _ in events if kind == "crashed-on"]
        cut = sum(each.status == 200 and not each.complete for each in self._sound)
        self._record.write(
            f"{len(crashes)} crashes; of {len(self._sound)} sound requests that have "
            f"ended, {cut} were answered and broken off"
        )
        if len(crashes) < COUNTED_CRASH:
            return 0
        bound_s = crashes[COUNTED_CRASH - 1] + CONTACT_S
        late = [
            name
            for at_s, kind, name in events
            if kind == "runs" and name.startswith("crashing") and at_s > bound_s
        ]
        self._record.write(
            f"BUDGET: {len(late)} requests with the part reached servers later than "
            f"{bound_s:.3f} s, {ALLOWED} are allowed: {' '.join(late)}"
        )
        return 1 if len(late) > ALLOWED else 0


async def play(plan: Plan, record: Record, trouble: bool) -> int:
    """Play a plan; return 1 if a rule was broken, 0 if not, 2 if it could not run."""
    case = _Case(plan, record)
    try:
        return await case.run(trouble)
    except (OSError, TimeoutError) as error:
        record.write(f"could not run: {error!r}")
        return 2
    finally:
        await case.end()


SEVERAL_AT_ONCE = Plan(
    bursts=5, burst_size=6, gap_s=6.0, before=("91bd0000",), after=40
)

if __name__ == "__main__":
    played = play(SEVERAL_AT_ONCE, Record(Path(sys.argv[1])), trouble=True)
    sys.exit(asyncio.run(played))
