"""Compares ways of sending to a small service from many hosts.

Run with ``python -m bench.permits``. Requests come in groups of three from 131 hosts
to 4 servers with 6 slots each, 68.6 ms of work per request. A server rejects what would
be the ninth request at it.
"""

import heapq
import random
from collections.abc import Callable
from itertools import count

from oleanderpier.routing import PermitOutcome
from oleanderpier.routing.tests.permit_plays import PermitPlay, make_demand

HOSTS, SERVERS, SLOTS, WORK_S = 131, 4, 6, 0.0686
MAX_AT_SERVER = 8
MAX_WAIT_S = 0.347
PLAYED_S = 30.0
SEED = 1


def draw_arrivals(per_s: float, rng: random.Random) -> list[float]:
    """Return when requests arrive, in groups of three."""
    arrivals_s, at_s = [], 0.0
    while at_s < PLAYED_S:
        at_s += rng.expovariate(per_s / 3)
        arrivals_s += [at_s] * 3
    return arrivals_s


def play_permits(per_s: float) -> str:
    """Return the results with permits of an owner for each server."""
    play = PermitPlay(SERVERS, SLOTS, WORK_S, SEED)
    queries = count()
    request = play.permits.request

    def count_query(*arguments):
        next(queries)
        return request(*arguments)

    play.permits.request = count_query
    for at_s in draw_arrivals(per_s, play.rng):
        host = f"h{play.rng.randrange(HOSTS)}"
        workspace = f"w{play.rng.randrange(5)}"
        play.submit(
            at_s,
            make_demand(0, host=host, slots=SLOTS, workspace=workspace),
            MAX_WAIT_S,
        )
    play.run(PLAYED_S + 3.0)
    total = len(play.requests)
    granted = play.count(PermitOutcome.GRANTED)
    waits_s = sorted(
        each.decided_s - each.asked_s
        for each in play.requests
        if each.outcome == PermitOutcome.GRANTED
    )
    most = max(server.most for server in play.servers.values())
    messages = (2 * next(queries) + granted) / total
    return (
        f"{total} requests, at most {most} at a server, "
        f"refused {total - granted}, messages per request {messages:.2f}, "
        f"wait mean {1000 * sum(waits_s) / granted:.1f} ms, "
        f"p99 {1000 * waits_s[int(0.99 * granted)]:.1f} ms"
    )


def play_choices(
    per_s: float, age_s: float, choose: Callable[[list[int], random.Random], int]
) -> str:
    """Return the results if hosts choose by loads that are reported at intervals."""
    rng = random.Random(SEED)
    sequence = count()
    at_server, known = [0] * SERVERS, [0] * SERVERS
    free_s = [[0.0] * SLOTS for _ in range(SERVERS)]
    arrivals_s = draw_arrivals(per_s, rng)
    events = [(at_s, next(sequence), "arrival", 0) for at_s in arrivals_s]
    reports = int(PLAYED_S / age_s)
    events += [(n * age_s, next(sequence), "report", 0) for n in range(reports)]
    heapq.heapify(events)
    rejected = 0
    while events:
        now_s, _, kind, server = heapq.heappop(events)
        if kind == "report":
            known = list(at_server)
        elif kind == "end":
            at_server[server] -= 1
        else:
            server = choose(known, rng)
            if at_server[server] >= MAX_AT_SERVER:
                rejected += 1
                continue
            at_server[server] += 1
            began_s = max(now_s, heapq.heappop(free_s[server]))
            end_s = began_s + WORK_S * rng.uniform(0.8, 1.2)
            heapq.heappush(free_s[server], end_s)
            heapq.heappush(events, (end_s, next(sequence), "end", server))
    total = len(arrivals_s)
    return f"{total} requests, rejected by servers {rejected} ({rejected / total:.4f})"


def choose_least(known: list[int], rng: random.Random) -> int:
    """Return a server with the least known load."""
    least = min(known)
    return rng.choice([place for place, load in enumerate(known) if load == least])


def choose_of_two(known: list[int], rng: random.Random) -> int:
    """Return the one with the lesser known load of two servers at random."""
    return min(rng.sample(range(SERVERS), 2), key=known.__getitem__)


def choose_any(known: list[int], rng: random.Random) -> int:
    """Return any server."""
    return rng.randrange(SERVERS)


def main() -> None:
    """Print the results at the usual rate, in a burst and near the capacity."""
    for per_s in (130.0, 273.0, 340.0):
        print(f"{per_s:g} per second")
        print("  permits:", play_permits(per_s))
        for age_s in (1.5, 0.1):
            for choose in (choose_least, choose_of_two):
                name = f"{choose.__name__}, loads up to {age_s} s old:"
                print(f"  {name}", play_choices(per_s, age_s, choose))
        print("  choose_any:", play_choices(per_s, PLAYED_S, choose_any))


if __name__ == "__main__":
    main()
