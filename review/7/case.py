"""A server crashes while it reads prompts of many parts; see ``claim.txt``."""

import asyncio
from pathlib import Path

from review.payouts_2 import PAYOUT_ROUTE, PayoutCallers
from review.stand_ins_2 import (
    BackendServer,
    CallerConnection,
    Deployment,
    EntryHost,
    Record,
    has_trouble,
    make_head,
    make_route,
    run_case,
)

# Of the site: the route's ``TimeoutMs``.
CHAT_TIMEOUT_MS = 15000
CONTACT_S = 3.0
ZONES = ("duluth", "alpena", "erie-port")
# One of them crashes, a smaller share than the largest in the site file, 0.25.
MODEL_COUNT = 6
# Prompts whose list of parts stays below ``MaxHeaderBytes``.
PART_COUNT = 2400
CHAT_COUNT = 3
# A server reads a prompt for so long; it crashes meanwhile and is back later.
PREFILL_S = 0.9
CRASH_AFTER_S = 0.5
DOWN_S = 4.0
WATCHED_S = 25.0


async def main(record: Record) -> bool:
    """Run the case; return whether the rule was broken."""
    async with Deployment(record, hosts=3) as fleet:
        fleet.publish(1, _list_routes())
        options = ["--prefill-s", str(PREFILL_S)]
        models = [
            await fleet.start_server(
                f"model-{n}", "share-model", ZONES[n % 3], *options
            )
            for n in range(MODEL_COUNT)
        ]
        for n, zone in enumerate(ZONES):
            await fleet.start_server(f"payout-{n}", "payout-app", zone)
        await fleet.start_hosts()
        payouts = PayoutCallers(fleet.hosts, record)
        payouts.start()
        await asyncio.sleep(2 * CONTACT_S)
        chats = [
            asyncio.create_task(_send_chat(fleet.hosts[0], number, record))
            for number in range(CHAT_COUNT)
        ]
        await asyncio.sleep(CRASH_AFTER_S)
        if has_trouble():
            await _crash_server(fleet, models, record)
        await asyncio.sleep(WATCHED_S)
        await payouts.stop()
        await asyncio.wait(chats, timeout=1.0)
        for task in chats:
            task.cancel()
        running = all(host.is_running() for host in fleet.hosts)
        record.write(f"all entry hosts run: {running}")
        return payouts.are_unanswered()


def _list_routes() -> list[dict]:
    return [
        make_route(
            "chat",
            "streaming",
            "share-model",
            CHAT_TIMEOUT_MS,
            Resumable=True,
            Sticky=True,
            MaxAttempts=2,
        ),
        PAYOUT_ROUTE,
    ]


async def _send_chat(host: EntryHost, number: int, record: Record) -> None:
    """Send a chat with a prompt of many parts, all shared but the last."""
    shared = [f"{part:x}:4" for part in range(PART_COUNT)]
    prompt = ",".join([*shared, f"f{number}ff:90"])
    head = make_head(
        "POST",
        "/chat/1",
        f"chat-{number}",
        CHAT_TIMEOUT_MS,
        **{
            "Model-Name": "m",
            "Token-Usage": f"{4 * PART_COUNT + 90},80",
            "Prompt-Prefix": prompt,
        },
    )
    record.write(f"chat-{number} sent to {host.name}: {len(head)} bytes of headers")
    caller = await CallerConnection.open(host.front)
    answer = await caller.exchange(head)
    caller.close()
    record.write(
        f"chat-{number}: status {answer.status}, {answer.body.count(b'id:')} events, "
        f"after {answer.took_s:.3f} s"
    )


async def _crash_server(
    fleet: Deployment, models: list[BackendServer], record: Record
) -> None:
    """Kill the model server that reads the prompts; start it again later."""
    server = max(models, key=lambda each: len(each.runs))
    record.write(f"{server.identity} is killed, it has run {len(server.runs)} requests")
    server.process.kill()
    await server.process.wait()
    await asyncio.sleep(DOWN_S)
    await fleet.restart_server(server)
    record.write(f"{server.identity} is back")


if __name__ == "__main__":
    run_case(main, Path(__file__).parent)
