"""Claims: at most one process of the fleet has the right to send a key."""

import random
from functools import singledispatchmethod
from typing import Any

from expression import Error, Ok, Result

from oleanderpier.claims.attempt import Attempt, Verdict
from oleanderpier.claims.host_lists import HostLists
from oleanderpier.claims.key_states import (
    ClaimCallback,
    KeyState,
    LookUpCallback,
    Outcome,
    Phase,
    SendRight,
    Waiter,
)
from oleanderpier.claims.limits import (
    ATTEMPT_RESEND_S,
    BASE_BACKOFF_S,
    KEY_LIFETIME_S,
    MAX_BACKOFF_S,
    MAX_CLOCK_SKEW_S,
    MAX_HELD_WAIT_S,
    MAX_KEPT_BODY_BYTES,
    RECORD_LIFETIME_S,
    RETRY_AFTER_S,
    SWEEP_INTERVAL_S,
)
from oleanderpier.claims.lookups import LookUps
from oleanderpier.claims.messages import (
    Claim,
    Granted,
    Held,
    HistoryQuery,
    HistoryReply,
    KeyQuery,
    KeyReply,
    ListQuery,
    ListReply,
    Probe,
    ProofQuery,
    ProofReply,
    Refused,
    Release,
    Settle,
)
from oleanderpier.claims.rounds import WitnessRounds
from oleanderpier.claims.witness import Witness, is_more_certain
from oleanderpier.results import Code, Failure
from oleanderpier.utils import Outbox, Timers, pack_key, read_key_time

__all__ = ["Claims"]

_HELD_FAILURE = Failure(Code.CLAIM_HELD, "another request has this key", RETRY_AFTER_S)
_NO_MAJORITY_FAILURE = Failure(
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
        self._key_states: dict[bytes, KeyState] = {}
        self._look_ups = LookUps(timers, lists, self._send)
        timers.subscribe(SWEEP_INTERVAL_S, self._drop_expired)

    def claim(self, key: str, timeout_s: float, notify: ClaimCallback) -> None:
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
        entry = self._key_states.get(packed)
        if entry is not None:
            self._add_waiter(entry, timeout_s, notify)
            return
        entry = KeyState(packed, notify, self._timers.now() + timeout_s)
        self._key_states[packed] = entry
        self._start_attempt(entry)

    def settle(self, right: SendRight, code: Code, body: bytes) -> None:
        """Say what came of a key, after the send.

        A later call may replace a may-have-run code by a certain one.

        Args:
            right: The right that the send was made with.
            code: Done, or a may-have-run code.
            body: The answer; kept if it is small enough.
        """
        entry = self._key_states.get(right.key)
        if entry is None or entry.phase is Phase.CLAIMING:
            return
        if entry.attempt.claim_id != right.claim_id:
            return
        if not is_more_certain(code, entry.outcome.code if entry.outcome else None):
            return
        entry.phase = Phase.SETTLED
        entry.outcome = Outcome(code, body)
        message = _make_settle(entry)
        for host in entry.attempt.witnesses:
            self._send(host, message)
        self._notify_waiters(entry, Error(entry.outcome))

    def void(self, right: SendRight) -> None:
        """Give a key up for good: nothing was sent, and nothing ever will be."""
        self.settle(right, Code.KEY_VOID, b"")

    def look_up(self, key: str, notify: LookUpCallback) -> None:
        """Find out what became of a key, without claiming it.

        Args:
            key: A UUID of version 7.
            notify: Called once, possibly before this returns.
        """
        packed = pack_key(key)
        failure = self._check_key(packed)
        entry = self._key_states.get(packed)
        if failure is not None:
            notify(Error(failure))
        elif entry is not None and entry.outcome is not None:
            notify(Ok(entry.outcome))
        else:
            self._look_ups.start(packed, notify)

    def list_keys(self) -> list[bytes]:
        """Return every key that this host remembers anything of."""
        return sorted({*self._key_states, *self._witness.list_keys()})

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no message about claims: {message!r}")

    @_receive.register(ProofQuery)
    @_receive.register(HistoryQuery)
    @_receive.register(HistoryReply)
    @_receive.register(ListQuery)
    @_receive.register(ListReply)
    @_receive.register(ProofReply)
    def _(self, message: Any, sender: str) -> None:
        self.lists.handle(sender, message)

    @_receive.register
    def _(self, message: Claim, sender: str) -> None:
        self.lists.receive_version(sender, message.list_version)
        answer = self._witness.grant(message)
        self._send(sender, answer)
        if isinstance(answer, Held):
            self._probe_holder(message.key)

    @_receive.register
    def _(self, message: Granted, sender: str) -> None:
        entry = self._find_claiming(message, sender)
        if entry is not None:
            entry.attempt.record_grant(sender)
            self._apply_verdict(entry)

    @_receive.register
    def _(self, message: Held, sender: str) -> None:
        entry = self._find_claiming(message, sender)
        if entry is None:
            return
        if message.code is not None:
            self._end_claim(entry, Error(Outcome(Code(message.code), message.body)))
            return
        entry.attempt.record_denial(sender, message)
        self._apply_verdict(entry)

    @_receive.register
    def _(self, message: Refused, sender: str) -> None:
        entry = self._find_claiming(message, sender)
        if entry is not None:
            entry.attempt.record_denial(sender, message)
            self._apply_verdict(entry)

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
        entry = self._key_states.get(message.key)
        if entry is None or not entry.is_current(message.claim_id):
            self._send(sender, Release(message.key, message.claim_id))
        elif entry.outcome is not None:
            self._send(sender, _make_settle(entry))

    @_receive.register
    def _(self, message: KeyQuery, sender: str) -> None:
        self._send(sender, self._witness.make_key_reply(message.key))
        self._probe_holder(message.key)

    @_receive.register
    def _(self, message: KeyReply, sender: str) -> None:
        self._look_ups.receive_reply(sender, message)

    def _probe_holder(self, key: bytes) -> None:
        """Ask the holder of an unsettled key whether it still claims it."""
        record = self._witness.find_record(key)
        if record is not None and record.code is None:
            self._send(record.claim_id.host, Probe(key, record.claim_id))

    def _check_key(self, key: bytes | None) -> Failure | None:
        if key is None:
            return Failure(Code.KEY_MALFORMED, "the key is no UUID of version 7")
        age_s = self._timers.wall() - read_key_time(key)
        if age_s > KEY_LIFETIME_S:
            return Failure(Code.KEY_EXPIRED, "the key is past its lifetime")
        if age_s < -MAX_CLOCK_SKEW_S:
            text = "the key's time lies ahead of this host's clock"
            return Failure(Code.CLAIM_NO_MAJORITY, text, min(-age_s, KEY_LIFETIME_S))
        return None

    def _add_waiter(
        self, entry: KeyState, timeout_s: float, notify: ClaimCallback
    ) -> None:
        """Let a later request wait for what comes of an earlier one."""
        if entry.outcome is not None:
            notify(Error(entry.outcome))
            return

        def expire() -> None:
            entry.waiters.remove(waiter)
            notify(Error(_HELD_FAILURE))

        timer = self._timers.call_later(min(timeout_s, MAX_HELD_WAIT_S), expire)
        waiter = Waiter(notify, timer)
        entry.waiters.append(waiter)

    def _start_attempt(self, entry: KeyState) -> None:
        key_time = read_key_time(entry.key)
        required = self.lists.choose_witness_sets(entry.key, key_time)
        entry.attempt_count += 1
        if required is None:
            self._schedule_attempt(entry)
            return
        entry.attempt = self._open_attempt(required)
        self._ask_witnesses(entry, entry.attempt, self.lists.newest.version)

    def _ask_witnesses(self, entry: KeyState, attempt: Attempt, version: int) -> None:
        """Send the claim to whoever has not answered, until it is decided."""
        if attempt.closed or entry.phase is not Phase.CLAIMING:
            return
        if self._timers.now() >= entry.deadline_s:
            self._fail_claim(entry)
            return
        message = Claim(entry.key, attempt.claim_id, version)
        self._send_to_unanswered(attempt, message)
        self._apply_verdict(entry)
        if entry.attempt is attempt and not attempt.closed:
            delay_s = min(ATTEMPT_RESEND_S, entry.deadline_s - self._timers.now())
            self._call_later(
                entry, delay_s, lambda: self._ask_witnesses(entry, attempt, version)
            )

    def _find_claiming(
        self, message: Granted | Held | Refused, sender: str
    ) -> KeyState | None:
        """Return the entry whose open attempt an answer belongs to."""
        self._receive_list_version(sender, message.list_version)
        entry = self._key_states.get(message.key)
        if entry is None or entry.phase is not Phase.CLAIMING or not entry.attempt:
            return None
        attempt = entry.attempt
        if attempt.closed or attempt.claim_id != message.claim_id:
            return None
        return entry

    def _apply_verdict(self, entry: KeyState) -> None:
        """Act on the attempt's verdict."""
        if entry.phase is not Phase.CLAIMING or entry.attempt.closed:
            return
        verdict = entry.attempt.verdict
        if verdict is Verdict.WON:
            self._win_claim(entry)
        elif verdict is Verdict.LOST:
            self._lose_attempt(entry)

    def _win_claim(self, entry: KeyState) -> None:
        entry.attempt.closed = True
        entry.cancel_timers()
        entry.phase = Phase.HOLDING
        entry.notify(Ok(SendRight(entry.key, entry.attempt.claim_id)))

    def _lose_attempt(self, entry: KeyState) -> None:
        """Release the attempt, and try another one if that can help."""
        attempt = entry.attempt
        self._release_attempt(entry)
        if attempt.contended and entry.first_contended_s is None:
            entry.first_contended_s = self._timers.now()
            entry.deadline_s = min(
                entry.deadline_s, entry.first_contended_s + MAX_HELD_WAIT_S
            )
        if attempt.contended or attempt.has_transient_refusal:
            self._schedule_attempt(entry)
        else:
            self._fail_claim(entry)

    def _schedule_attempt(self, entry: KeyState) -> None:
        """Start another attempt after a random wait, if there is time left."""
        entry.cancel_timers()
        limit_s = min(BASE_BACKOFF_S * 2**entry.attempt_count, MAX_BACKOFF_S)
        delay_s = limit_s * self._rng.uniform(0.5, 1.0)
        if self._timers.now() + delay_s >= entry.deadline_s:
            self._fail_claim(entry)
            return
        self._call_later(entry, delay_s, lambda: self._start_attempt(entry))

    def _fail_claim(self, entry: KeyState) -> None:
        held = entry.first_contended_s is not None or (
            entry.attempt is not None and entry.attempt.contended
        )
        self._end_claim(entry, Error(_HELD_FAILURE if held else _NO_MAJORITY_FAILURE))

    def _end_claim(
        self, entry: KeyState, result: Result[SendRight, Failure | Outcome]
    ) -> None:
        """End a claim without the right."""
        if entry.attempt is not None and not entry.attempt.closed:
            self._release_attempt(entry)
        entry.cancel_timers()
        del self._key_states[entry.key]
        entry.notify(result)
        self._notify_waiters(entry, result)

    def _release_attempt(self, entry: KeyState) -> None:
        """Give an attempt up for good and tell its witnesses."""
        attempt = entry.attempt
        attempt.closed = True
        for host in attempt.witnesses:
            self._send(host, Release(entry.key, attempt.claim_id))

    def _notify_waiters(
        self, entry: KeyState, result: Result[SendRight, Failure | Outcome]
    ) -> None:
        waiters, entry.waiters = entry.waiters, []
        for waiter in waiters:
            waiter.timer.cancel()
            waiter.notify(result)

    def _call_later(self, entry: KeyState, delay_s: float, callback: Any) -> None:
        entry.timers.append(self._timers.call_later(delay_s, callback))

    def _drop_expired(self) -> None:
        self._witness.drop_expired()
        oldest_s = self._timers.wall() - RECORD_LIFETIME_S
        for key, entry in list(self._key_states.items()):
            if read_key_time(key) < oldest_s and entry.phase is not Phase.CLAIMING:
                del self._key_states[key]


def _make_settle(entry: KeyState) -> Settle:
    code, body = entry.outcome
    kept = body if len(body) <= MAX_KEPT_BODY_BYTES else b""
    return Settle(entry.key, entry.attempt.claim_id, code, kept)
