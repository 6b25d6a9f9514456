"""Ordinary callers of the cases 6 on, which send payouts to each entry host.

They judge the rule: of the requests that are still unanswered at their route's
``TimeoutMs``, more than half have no answer half a second later.
"""

import asyncio
import contextlib
from collections.abc import Sequence
from typing import NamedTuple

from review.stand_ins_2 import (
    Answer,
    CallerConnection,
    EntryHost,
    Record,
    make_head,
    make_route,
)

__all__ = ["PAYOUT_ROUTE", "PayoutCallers"]

# Of the site that the claims name.
TIMEOUT_MS = 800
DEADLINE_MS = 1500
CONTACT_S = 3.0
# The rule: no answer this long after the timeout.
ANSWER_SLACK_S = 0.5
INTERVAL_S = 0.1
# Fewer unanswered requests say nothing.
MIN_UNANSWERED = 10
PAYOUT_ROUTE = make_route(
    "payout", "unsafe", "payout-app", TIMEOUT_MS, TargetLatencyMs=150
)


class SentPayout(NamedTuple):
    """A payout request.

    Attributes:
        host: The host that it was sent to.
        sent_s: When, in seconds since the start of the script.
        answer: What the caller got.
    """

    host: str
    sent_s: float
    answer: Answer

    @property
    def answer_s(self) -> float:
        """Seconds after which it was answered, infinite if it was not."""
        return self.answer.took_s if self.answer.status else float("inf")


class PayoutCallers:
    """Callers that send a payout to each host every ``INTERVAL_S``.

    Args:
        hosts: The entry hosts. They have just been found ready.
        record: The record of the case.
    """

    def __init__(self, hosts: Sequence[EntryHost], record: Record) -> None:
        self._hosts = hosts
        self._record = record
        self._sent: list[SentPayout] = []
        self._began_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to send."""
        self._began_s = self._record.now()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Send no more, and wait until all callers have given up."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        await asyncio.sleep(DEADLINE_MS / 1000 + 0.2)

    def are_unanswered(self) -> bool:
        """Return whether the rule was broken at a host, and record the counts."""
        broken = [host.name for host in self._hosts if self._is_broken_at(host)]
        return bool(broken)

    def count_failed(self) -> int:
        """Return how many payouts got no answer with status 200."""
        return sum(each.answer.status != 200 for each in self._sent)

    async def _run(self) -> None:
        number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        while True:
            number += 1
            for host in self._hosts:
                task = asyncio.create_task(self._send(host, number))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(INTERVAL_S)

    async def _send(self, host: EntryHost, number: int) -> None:
        request_id = f"quiet-{host.name}-{number}"
        sent_s = self._record.now()
        answer = Answer(0, b"", DEADLINE_MS / 1000)
        caller = None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                caller = await CallerConnection.open(host.front)
                head = make_head("POST", "/payout/1", request_id, DEADLINE_MS)
                answer = await caller.exchange(head)
        except (OSError, TimeoutError):
            # Refused, or given up.
            answer = answer._replace(took_s=self._record.now() - sent_s)
        finally:
            if caller is not None:
                caller.close()
        self._sent.append(SentPayout(host.name, sent_s, answer))
        if answer.status != 200:
            self._record.write(
                f"{request_id} sent at {sent_s:.3f} to {host.name}: "
                f"status {answer.status} after {answer.took_s:.3f} s"
            )

    def _is_broken_at(self, host: EntryHost) -> bool:
        sent = [each for each in self._sent if each.host == host.name]
        late = [
            each
            for each in sent
            if each.sent_s > self._began_s + CONTACT_S
            and each.answer_s > TIMEOUT_MS / 1000
        ]
        limit_s = TIMEOUT_MS / 1000 + ANSWER_SLACK_S
        unanswered = [each for each in late if each.answer_s > limit_s]
        self._record.conclude(
            f"{host.name}: {len(sent)} payouts, {len(late)} unanswered after "
            f"{TIMEOUT_MS} ms, {len(unanswered)} of them after {limit_s} s"
        )
        if unanswered:
            times_s = [each.sent_s for each in unanswered]
            self._record.conclude(
                f"{host.name}: the unanswered ones were sent from "
                f"{min(times_s):.1f} s to {max(times_s):.1f} s"
            )
        has_enough = len(unanswered) >= MIN_UNANSWERED
        return has_enough and len(unanswered) > len(late) / 2
