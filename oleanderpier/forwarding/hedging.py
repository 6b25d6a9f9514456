"""Runs several attempts at one request at a time; the first with progress remains.

It answers this load pattern: a server is silent for a while, since it preempts
requests or stands still, and goes on later, while the other servers are full or fail.
The attempt at a silent server goes on until another one makes progress.

References:
    J. Dean and L. A. Barroso, "The tail at scale", Communications of the ACM 56(2),
    2013, on hedged requests.
"""

import asyncio
from collections.abc import Coroutine
from enum import Enum

from oleanderpier.forwarding.attempts import Attempt
from oleanderpier.routing import AttemptOutcome

__all__ = ["Loss", "RunningAttempts"]


class Loss(Enum):
    """Why an attempt was cancelled in favour of another one at the same request.

    Attributes:
        SILENT: Its server was silent or stalled, and a later attempt made progress.
        SUPERSEDED: An earlier attempt made progress again.
    """

    SILENT = "silent"
    SUPERSEDED = "superseded"


class RunningAttempts:
    """The attempts at one request that are in progress, in the order of their start.

    Only one of them passes its response on: the first one, until another one makes
    progress. Those that run only once are never more than one.
    """

    def __init__(self) -> None:
        self._tasks: dict[Attempt, asyncio.Task[AttemptOutcome]] = {}
        self._lost_tasks: list[asyncio.Task[AttemptOutcome]] = []
        self._losses: dict[Attempt, Loss] = {}
        self._owner: Attempt | None = None

    def __len__(self) -> int:
        return len(self._tasks)

    def start(
        self, attempt: Attempt, run: Coroutine[None, None, AttemptOutcome]
    ) -> None:
        """Start to run an attempt."""
        if not self._tasks:
            self._owner = attempt
        self._tasks[attempt] = asyncio.create_task(run)

    def claim(self, attempt: Attempt, is_progress: bool) -> bool:
        """Return whether an attempt may pass on what it has received.

        Progress cancels the other attempts in the same step, so that a request goes on
        at one server only.

        Args:
            attempt: The attempt.
            is_progress: Whether it has received an event or a whole response.
        """
        if attempt not in self._tasks:
            return False
        if not is_progress:
            return attempt is self._owner
        self._owner = attempt
        if len(self._tasks) > 1:
            self._cancel_others(attempt)
        return True

    def _cancel_others(self, attempt: Attempt) -> None:
        loss = Loss.SILENT
        for other, task in self._tasks.items():
            if other is attempt:
                loss = Loss.SUPERSEDED
                continue
            self._losses[other] = loss
            self._lost_tasks.append(task)
            task.cancel()
        self._tasks = {attempt: self._tasks[attempt]}

    def get_loss(self, attempt: Attempt) -> Loss | None:
        """Return why an attempt was cancelled in favour of another one, if it was."""
        return self._losses.get(attempt)

    def list_running(self) -> list[Attempt]:
        """Return the attempts in progress."""
        return [attempt for attempt, task in self._tasks.items() if not task.done()]

    def are_delayed(self) -> bool:
        """Return whether the servers of all attempts are silent or stalled."""
        running = self.list_running()
        return bool(running) and all(
            attempt.is_silent() or attempt.is_stalled() for attempt in running
        )

    async def wait(self, timeout_s: float | None) -> list[AttemptOutcome]:
        """Wait until an attempt ends, and return the outcomes of those that have.

        Args:
            timeout_s: The longest wait, None for no limit.

        Raises:
            CallerDisconnectedError: The caller has closed its connection.
        """
        await asyncio.wait(
            self._tasks.values(),
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        ended = [attempt for attempt, task in self._tasks.items() if task.done()]
        return [self._tasks.pop(attempt).result() for attempt in ended]

    async def cancel(self) -> None:
        """Cancel the attempts in progress, and wait until all have ended."""
        for task in self._tasks.values():
            task.cancel()
        tasks = [*self._tasks.values(), *self._lost_tasks]
        if tasks:
            await asyncio.gather(*tasks, return_exceptions=True)
        # Attempts refer to their request, so that these references form cycles.
        self._tasks.clear()
        self._lost_tasks.clear()
        self._losses.clear()
        self._owner = None
