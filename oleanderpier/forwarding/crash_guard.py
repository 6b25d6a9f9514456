"""Keeps requests that crash backend servers away from them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from eliot import log_message

from oleanderpier.connections import refuses_connections
from oleanderpier.forwarding.attempts import Attempt
from oleanderpier.forwarding.records import Call
from oleanderpier.forwarding.request_keys import list_prompt_keys
from oleanderpier.results import Code, Failure
from oleanderpier.routing import (
    AttemptOutcome,
    PoisonParts,
    PromptKeys,
    Quarantine,
    ServerEntry,
    ServerHealth,
)
from oleanderpier.utils import Timers

__all__ = ["CrashGuard", "log_quarantines"]

# A response whose events have arrived for this long shows that the server can answer.
SOUND_AFTER_S = 0.5
# Outcomes after which the server may have ended.
_BROKEN = frozenset({AttemptOutcome.CUT, AttemptOutcome.LOST})


class _Check(NamedTuple):
    """A check whether a server has crashed.

    Attributes:
        task: Returns whether it has.
        suspects: The prompts of the requests that wait for it.
    """

    task: asyncio.Task[bool]
    suspects: list[PromptKeys]


class CrashGuard:
    """Finds out which requests crash servers, and refuses them.

    Args:
        poison: What is known of the parts of prompts that crash servers.
        health: Failures and backoff of the servers.
        timers: The timer service.
        is_tester: Returns whether this host is the one that tries a part.
        on_crash: Called with a server that has crashed, the time and the prompts of
            this host's requests that may have caused it.
        on_sound: Called with parts that were under suspicion, when a request with them
            was answered.
        check_server: Returns whether nothing listens at a server's address.
    """

    def __init__(
        self,
        poison: PoisonParts,
        health: ServerHealth,
        timers: Timers,
        is_tester: Callable[[str], bool] = lambda part: True,
        on_crash: Callable[
            [ServerEntry, float, list[PromptKeys]], None
        ] = lambda server, at_s, suspects: None,
        on_sound: Callable[[list[str]], None] = lambda parts: None,
        check_server: Callable[[str, Timers], Awaitable[bool]] = refuses_connections,
    ) -> None:
        self._poison = poison
        self._health = health
        self._timers = timers
        self._is_tester = is_tester
        self._on_crash = on_crash
        self._on_sound = on_sound
        self._check_server = check_server
        self._checks: dict[tuple[str, int], _Check] = {}

    def find_refusal(self, call: Call) -> Failure | None:
        """Return the failure to refuse a request with, None to send it."""
        verdict = self._poison.check(
            list_prompt_keys(call), self._timers.now(), self._is_tester
        )
        if verdict.trial:
            log_message("poison:trial", request=call.identity)
        if not verdict.part:
            return None
        text = f"prompt part {verdict.part} has crashed servers"
        return Failure(Code.PROMPT_QUARANTINED, text, verdict.wait_s)

    def may_retry(self, call: Call) -> bool:
        """Return whether a request may be sent to another server."""
        return self._poison.may_retry(list_prompt_keys(call))

    async def record_attempt(
        self, call: Call, server: ServerEntry, attempt: Attempt, outcome: AttemptOutcome
    ) -> None:
        """Record what an attempt tells of the prompt, and of whether the server lives.

        After a response that broke off it waits until that is known.
        """
        prompt = list_prompt_keys(call)
        if not prompt:
            return
        now_s = self._timers.now()
        first_at_s = attempt.first_event_at_s
        is_begun = first_at_s is not None and now_s >= first_at_s + SOUND_AFTER_S
        if (outcome is AttemptOutcome.DELIVERED and _is_success(attempt)) or (
            outcome in _BROKEN and is_begun
        ):
            self._record_sound(prompt, now_s)
        elif outcome in _BROKEN:
            await self._check_for_crash(server, prompt, now_s)

    def _record_sound(self, prompt: PromptKeys, now_s: float) -> None:
        cleared = self._poison.record_sound(prompt, now_s)
        if cleared:
            log_message("poison:sound", parts=cleared)
            self._on_sound(cleared)

    async def _check_for_crash(
        self, server: ServerEntry, prompt: PromptKeys, at_s: float
    ) -> None:
        """Check whether a server has crashed; its requests share one check.

        The check goes on if the caller of the request leaves.
        """
        key = (server.identity, server.born_ms)
        check = self._checks.get(key)
        if check is None:
            suspects: list[PromptKeys] = []
            task = asyncio.create_task(self._run_check(server, at_s, suspects))
            check = self._checks[key] = _Check(task, suspects)
        check.suspects.append(prompt)
        await asyncio.shield(check.task)

    async def _run_check(
        self, server: ServerEntry, at_s: float, suspects: list[PromptKeys]
    ) -> bool:
        try:
            has_crashed = await self._check_server(server.address, self._timers)
        finally:
            del self._checks[server.identity, server.born_ms]
        if has_crashed:
            log_message(
                "poison:crash",
                identity=server.identity,
                born_ms=server.born_ms,
                suspects=[list(prompt) for prompt in suspects],
            )
            self._health.record_unreachable(server.identity)
            log_quarantines(
                self._poison.record_crash(
                    server.identity, server.born_ms, at_s, suspects
                )
            )
            self._on_crash(server, at_s, suspects)
        return has_crashed


def _is_success(attempt: Attempt) -> bool:
    """Return whether a delivered response shows that the server can answer.

    A server may send an error without a look at the prompt.
    """
    return attempt.response is None or attempt.response.head.status < 300


def log_quarantines(quarantines: list[Quarantine], source: str = "") -> None:
    """Log quarantines that have begun, or begun anew.

    Args:
        quarantines: The quarantines.
        source: The host that reported the crash; empty for this host.
    """
    for quarantine in quarantines:
        log_message(
            "poison:quarantine",
            part=quarantine.part,
            term_s=quarantine.term_s,
            group=sorted(quarantine.group),
            source=source,
        )
