"""A host that stops gives up streams that their server would have finished."""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
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

EVENTS = 40
INTERVAL_S = 0.1
# A stream is preempted once, and goes on after that time.
PAUSE_AFTER = 10
PAUSE_S = 1.5
STREAMS = 5
# ``GraceS``, and the part of it in which a server may still be at work.
GRACE_S = 8.0
COUNTED_S = GRACE_S * 5 / 6


async def run_case(trouble: bool) -> int:
    """Play the case; return 1 if a rule was broken, 0 if not, 2 if it could not run."""
    record = Record(FOLDER / "record.txt")
    store = Store()
    options = ["--events", str(EVENTS), "--interval-s", str(INTERVAL_S), "--chunked"]
    if trouble and os.environ.get("PAUSE", "1") != "0":
        options += ["--pause-after", str(PAUSE_AFTER), "--pause-s", str(PAUSE_S)]
    servers = [
        ServerProcess("i-busy", find_port(), record, *options),
        ServerProcess("i-full", find_port(), record, "--full"),
    ]
    hosts = Hosts(store, ZONES, record)
    try:
        for server, zone in zip(servers, ZONES, strict=False):
            await server.start()
            entry = make_entry(server.address, server.born, Zone=zone)
            store.put(f"servers/{server.identity}", entry)
        route = make_route("review", "streaming", Resumable=True, MaxAttempts=2)
        store.put("op/config", make_configuration(5, [route]))
        await hosts.start_all()
        await asyncio.sleep(4.0)
        front = hosts.get_front(0)
        names = [f"review-{number}" for number in range(STREAMS)]
        streams = [asyncio.create_task(read_stream(front, n, record)) for n in names]
        await asyncio.sleep(0.3)
        stopped_s = record.now()
        if trouble:
            hosts.signal(0, signal.SIGTERM)
        ends = await asyncio.gather(*streams)
    except (OSError, TimeoutError) as error:
        record.write(f"could not run: {error!r}")
        return 2
    finally:
        await hosts.end_all()
        for server in servers:
            await server.kill()
    return judge(ends, stopped_s, record)


async def read_stream(front: str, name: str, record: Record) -> tuple[float, Answer]:
    """Return when the connection of a request ended, and what came back."""
    record.write(f"client sends {name} to host 0")
    answer = await send(front, "POST", f"/review/{name}", name, b"{}")
    record.write(
        f"client got {name}: {answer.status}, {answer.body.count(b'data: ')} of "
        f"{EVENTS} events, {'complete' if answer.complete else 'broken off'}"
    )
    return record.now(), answer


def judge(ends: list[tuple[float, Answer]], stopped_s: float, record: Record) -> int:
    """Return 1 if an answer was broken off around the planned stop, else 0."""
    lost = [
        ended_s
        for ended_s, answer in ends
        if not answer.complete and ended_s - stopped_s < COUNTED_S
    ]
    record.write(
        f"LOST: {len(lost)} of {len(ends)} requests, passed on to a server, ended "
        "without a complete answer"
    )
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run_case(os.environ.get("TROUBLE", "1") != "0")))
