"""Keeps requests that crash backend servers away from them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from eliot import log_message

from oleanderpier.connections import refuses_connections
from oleanderpier.forwarding.attempts import Attempt
from oleanderpier.forwarding.request_keys import RequestKeys
from oleanderpier.results import Code, Failure
from oleanderpier.routing import (
    AttemptOutcome,
    CrashCauses,
    Quarantine,
    ServerEntry,
    ServerHealth,
    SuspectKeys,
    is_request_key,
    make_resend_mark,
)
from oleanderpier.utils import Timers

__all__ = ["CrashGuard", "log_quarantines"]

# A response whose events have arrived for this long shows that the server can read the
# prompt.
SOUND_AFTER_S = 0.5
# Outcomes after which the server may have ended.
_BROKEN = frozenset({AttemptOutcome.CUT, AttemptOutcome.LOST})


class _Check(NamedTuple):
    """A check whether a server has crashed.

    Attributes:
        task: Returns whether it has.
        suspects: The keys of the requests that wait for it.
    """

    task: asyncio.Task[bool]
    suspects: list[SuspectKeys]


class CrashGuard:
    """Finds out which requests crash servers, and refuses them.

    Args:
        poison: What is known of the causes of crashes.
        health: Failures and backoff of the servers.
        timers: The timer service.
        is_tester: Returns whether this host is the one that tries a key.
        on_crash: Called with a server that has crashed, the time and the keys of this
            host's requests that may have caused it.
        on_sound: Called with keys that were under suspicion, when a request with them
            was answered.
        check_server: Returns whether nothing listens at a server's address.
    """

    def __init__(
        self,
        poison: CrashCauses,
        health: ServerHealth,
        timers: Timers,
        is_tester: Callable[[str], bool] = lambda part: True,
        on_crash: Callable[
            [ServerEntry, float, list[SuspectKeys]], None
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

    def find_refusal(self, keys: RequestKeys) -> Failure | None:
        """Return the failure to refuse a request with, None to send it."""
        if keys.is_trial or not self._poison.is_watching():
            return None
        verdict = self._poison.check(
            (*keys.prompt, keys.whole), self._timers.now(), self._is_tester
        )
        if verdict.trial:
            keys.is_trial = True
            log_message("poison:trial", request=keys.identity, request_key=keys.whole)
        if not verdict.key:
            return None
        if is_request_key(verdict.key):
            text = f"{verdict.key} has crashed servers"
            return Failure(Code.REQUEST_QUARANTINED, text, verdict.wait_s)
        text = f"prompt part {verdict.key} has crashed servers"
        return Failure(Code.PROMPT_QUARANTINED, text, verdict.wait_s)

    def may_retry(self, keys: RequestKeys) -> bool:
        """Return whether a request may be sent to another server."""
        return not self._poison.is_watching() or self._poison.may_retry(
            (*keys.prompt, keys.whole)
        )

    def begin_attempt(self, keys: RequestKeys) -> None:
        """Mark a request that is sent again after a server crashed on it.

        Others with its key are not marked: many may send it, and be at each server of a
        failure domain that ends.
        """
        keys.marks = (make_resend_mark(keys.whole),) if keys.was_in_crash else ()

    async def record_attempt(
        self,
        keys: RequestKeys,
        server: ServerEntry,
        attempt: Attempt,
        outcome: AttemptOutcome,
    ) -> None:
        """Record what an attempt tells of the request, and of whether the server lives.

        After a response that broke off it waits until that is known.

        Args:
            keys: The keys of the request.
            server: The server.
            attempt: The attempt.
            outcome: How it ended.
        """
        now_s = self._timers.now()
        if outcome is AttemptOutcome.DELIVERED and _is_success(attempt):
            whole = (keys.whole,) if self._poison.is_watching() else ()
            self._record_sound((*keys.prompt, *whole), now_s)
        elif outcome in _BROKEN:
            first_at_s = attempt.first_event_at_s
            is_begun = first_at_s is not None and now_s >= first_at_s + SOUND_AFTER_S
            if is_begun:
                self._record_sound(keys.prompt, now_s)
            prompt = () if is_begun else keys.prompt
            suspect = (*prompt, keys.whole, *keys.marks)
            if await self._check_for_crash(server, suspect, now_s):
                keys.was_in_crash = True

    def _record_sound(self, keys: SuspectKeys, now_s: float) -> None:
        cleared = self._poison.record_answer(keys, now_s)
        if cleared:
            log_message("poison:sound", parts=cleared)
            self._on_sound(cleared)

    async def _check_for_crash(
        self, server: ServerEntry, suspect: SuspectKeys, at_s: float
    ) -> bool:
        """Return whether a server has crashed; its requests share one check.

        The check goes on if the caller of the request leaves.
        """
        key = (server.identity, server.born_ms)
        check = self._checks.get(key)
        if check is None:
            suspects: list[SuspectKeys] = []
            task = asyncio.create_task(self._run_check(server, at_s, suspects))
            check = self._checks[key] = _Check(task, suspects)
        check.suspects.append(suspect)
        return await asyncio.shield(check.task)

    async def _run_check(
        self, server: ServerEntry, at_s: float, suspects: list[SuspectKeys]
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
                suspects=[list(suspect) for suspect in suspects],
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
            part=quarantine.key,
            term_s=quarantine.term_s,
            group=sorted(quarantine.group),
            source=source,
        )
