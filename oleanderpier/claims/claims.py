"""Claims: at most one process of the fleet has the right to send a key."""

import random
from functools import singledispatchmethod
from typing import Any

from expression import Error, Ok, Result

from oleanderpier.claims.attempt import Attempt, Verdict
from oleanderpier.claims.host_lists import HostLists
from oleanderpier.claims.key_states import (
    Entry,
    Notify,
    NotifyOutcome,
    Outcome,
    Phase,
    Right,
    Waiter,
)
from oleanderpier.claims.limits import (
    ATTEMPT_RESEND_S,
    BACKOFF_FIRST_S,
    BACKOFF_LIMIT_S,
    BODY_LIMIT_BYTES,
    HELD_WAIT_S,
    KEY_LIFE_S,
    MAX_CLOCK_SKEW_S,
    RECORD_LIFE_S,
    RETRY_AFTER_S,
    SWEEP_S,
)
from oleanderpier.claims.lookups import LookUps
from oleanderpier.claims.messages import (
    Adopted,
    Claim,
    Granted,
    Held,
    HistoryQuery,
    HistoryTell,
    KeyQuery,
    ListQuery,
    ListTell,
    Noted,
    Probe,
    Refused,
    Release,
    Settle,
    Told,
)
from oleanderpier.claims.rounds import WitnessRounds
from oleanderpier.claims.witness import Witness, outranks
from oleanderpier.results import Code, Failure
from oleanderpier.utils import Outbox, Timers, pack_key, read_key_time

__all__ = ["Claims"]

_HELD = Failure(Code.CLAIM_HELD, "another request has this key", RETRY_AFTER_S)
_NO_MAJORITY = Failure(
    Code.CLAIM_NO_MAJORITY, "too few witnesses answered", RETRY_AFTER_S
)


class Claims(WitnessRounds):
    """Gets, keeps and gives up the right to send a key, and is a witness.

    Args:
        host: This host's name.
        incarnation: Which process of the host this is; never used twice.
        timers: The timer service.
        rng: Source of the backoff between attempts.
        outbox: Sends to other hosts.
        lists: The host lists that this host knows.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        timers: Timers,
        rng: random.Random,
        outbox: Outbox,
        lists: HostLists,
    ) -> None:
        witness = Witness(timers, lists)
        super().__init__(host, incarnation, timers, rng, outbox, lists, witness)
        self._entries: dict[bytes, Entry] = {}
        self._look_ups = LookUps(timers, lists, self._send)
        timers.subscribe(SWEEP_S, self._drop_expired)

    def claim(self, key: str, timeout_s: float, notify: Notify) -> None:
        """Try to get the right to send a key.

        Args:
            key: A UUID of version 7.
            timeout_s: When to give up, in seconds from now.
            notify: Called once, possibly before this returns: with the right,
                with the outcome of an earlier request, or with a failure. Only
                a failure or an outcome with a not-run code means not run.
        """
        packed = pack_key(key)
        failure = self._check_key(packed)
        if failure is not None:
            notify(Error(failure))
            return
        entry = self._entries.get(packed)
        if entry is not None:
            self._join(entry, timeout_s, notify)
            return
        entry = Entry(packed, notify, self._timers.now() + timeout_s)
        self._entries[packed] = entry
        self._start_attempt(entry)

    def settle(self, right: Right, code: Code, body: bytes) -> None:
        """Say what came of a key, after the send.

        A later call may replace a may-have-run code by a certain one.

        Args:
            right: The right that the send was made with.
            code: Done, or a may-have-run code.
            body: The answer; kept if it is small enough.
        """
        entry = self._entries.get(right.key)
        if entry is None or entry.phase is Phase.CLAIMING:
            return
        if entry.attempt.claim_id != right.claim_id:
            return
        if not outranks(code, entry.outcome.code if entry.outcome else None):
            return
        entry.phase = Phase.SETTLED
        entry.outcome = Outcome(code, body)
        message = _make_settle(entry)
        for host in entry.attempt.witnesses:
            self._send(host, message)
        self._notify_waiters(entry, Error(entry.outcome))

    def void(self, right: Right) -> None:
        """Give a key up for good: nothing was sent, and nothing ever will be."""
        self.settle(right, Code.KEY_VOID, b"")

    def look_up(self, key: str, notify: NotifyOutcome) -> None:
        """Find out what became of a key, without claiming it.

        Args:
            key: A UUID of version 7.
            notify: Called once, possibly before this returns.
        """
        packed = pack_key(key)
        failure = self._check_key(packed)
        entry = self._entries.get(packed)
        if failure is not None:
            notify(Error(failure))
        elif entry is not None and entry.outcome is not None:
            notify(Ok(entry.outcome))
        else:
            self._look_ups.start(packed, notify)

    def list_keys(self) -> list[bytes]:
        """Return every key that this host remembers anything of."""
        return sorted({*self._entries, *self._witness.list_keys()})

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no message about claims: {message!r}")

    @_receive.register(Adopted)
    @_receive.register(HistoryQuery)
    @_receive.register(HistoryTell)
    @_receive.register(ListQuery)
    @_receive.register(ListTell)
    @_receive.register(Noted)
    def _(self, message: Any, sender: str) -> None:
        self.lists.handle(sender, message)

    @_receive.register
    def _(self, message: Claim, sender: str) -> None:
        self.lists.receive_version(sender, message.list_version)
        answer = self._witness.grant(message)
        self._send(sender, answer)
        if isinstance(answer, Held):
            self._probe(message.key)

    @_receive.register
    def _(self, message: Granted, sender: str) -> None:
        entry = self._find_attempt(message, sender)
        if entry is not None:
            entry.attempt.record_grant(sender)
            self._judge(entry)

    @_receive.register
    def _(self, message: Held, sender: str) -> None:
        entry = self._find_attempt(message, sender)
        if entry is None:
            return
        if message.code is not None:
            self._finish(entry, Error(Outcome(Code(message.code), message.body)))
            return
        entry.attempt.record_denial(sender, message)
        self._judge(entry)

    @_receive.register
    def _(self, message: Refused, sender: str) -> None:
        entry = self._find_attempt(message, sender)
        if entry is not None:
            entry.attempt.record_denial(sender, message)
            self._judge(entry)

    @_receive.register
    def _(self, message: Release, sender: str) -> None:
        self._witness.release(message)

    @_receive.register
    def _(self, message: Settle, sender: str) -> None:
        self._witness.settle(message)

    @_receive.register
    def _(self, message: Probe, sender: str) -> None:
        if message.claim_id.incarnation != self._incarnation:
            return
        entry = self._entries.get(message.key)
        if entry is None or not entry.stands(message.claim_id):
            self._send(sender, Release(message.key, message.claim_id))
        elif entry.outcome is not None:
            self._send(sender, _make_settle(entry))

    @_receive.register
    def _(self, message: KeyQuery, sender: str) -> None:
        self._send(sender, self._witness.describe(message.key))
        self._probe(message.key)

    @_receive.register
    def _(self, message: Told, sender: str) -> None:
        self._look_ups.take(sender, message)

    def _probe(self, key: bytes) -> None:
        """Ask the holder of an unsettled key whether it still claims it."""
        record = self._witness.find(key)
        if record is not None and record.code is None:
            self._send(record.claim_id.host, Probe(key, record.claim_id))

    def _check_key(self, key: bytes | None) -> Failure | None:
        if key is None:
            return Failure(Code.KEY_MALFORMED, "the key is no UUID of version 7")
        age_s = self._timers.wall() - read_key_time(key)
        if age_s > KEY_LIFE_S:
            return Failure(Code.KEY_EXPIRED, "the key is past its lifetime")
        if age_s < -MAX_CLOCK_SKEW_S:
            text = "the key's time lies ahead of this host's clock"
            return Failure(Code.CLAIM_NO_MAJORITY, text, min(-age_s, KEY_LIFE_S))
        return None

    def _join(self, entry: Entry, timeout_s: float, notify: Notify) -> None:
        """Let a later request wait for what comes of an earlier one."""
        if entry.outcome is not None:
            notify(Error(entry.outcome))
            return

        def expire() -> None:
            entry.waiters.remove(waiter)
            notify(Error(_HELD))

        timer = self._timers.call_later(min(timeout_s, HELD_WAIT_S), expire)
        waiter = Waiter(notify, timer)
        entry.waiters.append(waiter)

    def _start_attempt(self, entry: Entry) -> None:
        key_time = read_key_time(entry.key)
        required = self.lists.choose_witness_sets(entry.key, key_time)
        entry.rounds += 1
        if required is None:
            self._try_again(entry)
            return
        entry.attempt = self._open_attempt(required)
        self._ask_witnesses(entry, entry.attempt, self.lists.newest.version)

    def _ask_witnesses(self, entry: Entry, attempt: Attempt, version: int) -> None:
        """Send the claim to whoever has not answered, until it is decided."""
        if attempt.closed or entry.phase is not Phase.CLAIMING:
            return
        if self._timers.now() >= entry.deadline_s:
            self._give_up(entry)
            return
        message = Claim(entry.key, attempt.claim_id, version)
        self._send_to_unanswered(attempt, message)
        self._judge(entry)
        if entry.attempt is attempt and not attempt.closed:
            delay_s = min(ATTEMPT_RESEND_S, entry.deadline_s - self._timers.now())
            self._call_later(
                entry, delay_s, lambda: self._ask_witnesses(entry, attempt, version)
            )

    def _find_attempt(
        self, message: Granted | Held | Refused, sender: str
    ) -> Entry | None:
        """Return the entry whose open attempt an answer belongs to."""
        self._receive_list_version(sender, message.list_version)
        entry = self._entries.get(message.key)
        if entry is None or entry.phase is not Phase.CLAIMING or not entry.attempt:
            return None
        attempt = entry.attempt
        if attempt.closed or attempt.claim_id != message.claim_id:
            return None
        return entry

    def _judge(self, entry: Entry) -> None:
        """Act on the attempt's verdict."""
        if entry.phase is not Phase.CLAIMING or entry.attempt.closed:
            return
        verdict = entry.attempt.verdict
        if verdict is Verdict.WON:
            self._win(entry)
        elif verdict is Verdict.LOST:
            self._lose(entry)

    def _win(self, entry: Entry) -> None:
        entry.attempt.closed = True
        entry.cancel_timers()
        entry.phase = Phase.HOLDING
        entry.notify(Ok(Right(entry.key, entry.attempt.claim_id)))

    def _lose(self, entry: Entry) -> None:
        """Release the attempt, and try another one if that can help."""
        attempt = entry.attempt
        self._release(entry)
        if attempt.contended and entry.contended_s is None:
            entry.contended_s = self._timers.now()
            entry.deadline_s = min(entry.deadline_s, entry.contended_s + HELD_WAIT_S)
        if attempt.contended or attempt.hindered:
            self._try_again(entry)
        else:
            self._give_up(entry)

    def _try_again(self, entry: Entry) -> None:
        """Start another attempt after a random wait, if there is time left."""
        entry.cancel_timers()
        limit_s = min(BACKOFF_FIRST_S * 2**entry.rounds, BACKOFF_LIMIT_S)
        delay_s = limit_s * self._rng.uniform(0.5, 1.0)
        if self._timers.now() + delay_s >= entry.deadline_s:
            self._give_up(entry)
            return
        self._call_later(entry, delay_s, lambda: self._start_attempt(entry))

    def _give_up(self, entry: Entry) -> None:
        held = entry.contended_s is not None or (
            entry.attempt is not None and entry.attempt.contended
        )
        self._finish(entry, Error(_HELD if held else _NO_MAJORITY))

    def _finish(self, entry: Entry, result: Result[Right, Failure | Outcome]) -> None:
        """End a claim without the right."""
        if entry.attempt is not None and not entry.attempt.closed:
            self._release(entry)
        entry.cancel_timers()
        del self._entries[entry.key]
        entry.notify(result)
        self._notify_waiters(entry, result)

    def _release(self, entry: Entry) -> None:
        """Give an attempt up for good and tell its witnesses."""
        attempt = entry.attempt
        attempt.closed = True
        for host in attempt.witnesses:
            self._send(host, Release(entry.key, attempt.claim_id))

    def _notify_waiters(
        self, entry: Entry, result: Result[Right, Failure | Outcome]
    ) -> None:
        waiters, entry.waiters = entry.waiters, []
        for waiter in waiters:
            waiter.timer.cancel()
            waiter.notify(result)

    def _call_later(self, entry: Entry, delay_s: float, callback: Any) -> None:
        entry.timers.append(self._timers.call_later(delay_s, callback))

    def _drop_expired(self) -> None:
        self._witness.drop_expired()
        oldest_s = self._timers.wall() - RECORD_LIFE_S
        for key, entry in list(self._entries.items()):
            if read_key_time(key) < oldest_s and entry.phase is not Phase.CLAIMING:
                del self._entries[key]


def _make_settle(entry: Entry) -> Settle:
    code, body = entry.outcome
    kept = body if len(body) <= BODY_LIMIT_BYTES else b""
    return Settle(entry.key, entry.attempt.claim_id, code, kept)
