"""Claims: at most one process of the fleet gets the right to send a key's request."""

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
    """Claims keys for requests of this host, and serves other hosts as a witness.

    To claim a key, an attempt needs a majority of the key's witnesses under each
    host list in use. A process that has won records the result on the witnesses.

    Args:
        host: This host's name.
        incarnation: Id of this process; never used twice on the host.
        timers: The timer service.
        rng: Source of the random backoff between attempts.
        outbox: Sends messages to other hosts.
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
        """Try to get the right to send the request of a key.

        Args:
            key: A UUID of version 7.
            timeout_s: When the claim fails, in seconds from now.
            notify: Called once, possibly before this returns: with the right,
                with the outcome of an earlier request, or with a failure. The
                request is known not to have run only if the code of the outcome or
                failure has the fate not-run.
        """
        packed = pack_key(key)
        failure = self._check_key(packed)
        if failure is not None:
            notify(Error(failure))
            return
        state = self._key_states.get(packed)
        if state is not None:
            self._add_waiter(state, timeout_s, notify)
            return
        state = KeyState(packed, notify, self._timers.now() + timeout_s)
        self._key_states[packed] = state
        self._start_attempt(state)

    def settle(self, right: SendRight, code: Code, body: bytes) -> None:
        """Record the result of a request and send it to the key's witnesses.

        A later call may replace a code of fate may-have-run by a certain one; any
        other later call is ignored.

        Args:
            right: The right with which the request was sent.
            code: ``DONE``, ``KEY_VOID`` or a code of fate may-have-run.
            body: The response; witnesses get it if it is small enough.
        """
        state = self._key_states.get(right.key)
        if state is None or state.phase is Phase.CLAIMING:
            return
        if state.attempt.claim_id != right.claim_id:
            return
        if not is_more_certain(code, state.outcome.code if state.outcome else None):
            return
        state.phase = Phase.SETTLED
        state.outcome = Outcome(code, body)
        message = _make_settle(state)
        for host in state.attempt.witnesses:
            self._send(host, message)
        self._notify_waiters(state, Error(state.outcome))

    def void(self, right: SendRight) -> None:
        """Give up a right unused, so that no request with its key ever runs.

        Nothing must have been sent with the right, and nothing may be.
        """
        self.settle(right, Code.KEY_VOID, b"")

    def look_up(self, key: str, notify: LookUpCallback) -> None:
        """Look up the result of a key's request without claiming the key.

        Args:
            key: A UUID of version 7.
            notify: Called once, possibly before this returns: with the outcome, or
                with a failure if none is known.
        """
        packed = pack_key(key)
        failure = self._check_key(packed)
        state = self._key_states.get(packed)
        if failure is not None:
            notify(Error(failure))
        elif state is not None and state.outcome is not None:
            notify(Ok(state.outcome))
        else:
            self._look_ups.start(packed, notify)

    def list_keys(self) -> list[bytes]:
        """Return every key of which this host keeps any state."""
        return sorted({*self._key_states, *self._witness.list_keys()})

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no handler for claim message {message!r}")

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
        reply = self._witness.grant(message)
        self._send(sender, reply)
        if isinstance(reply, Held):
            self._probe_holder(message.key)

    @_receive.register
    def _(self, message: Granted, sender: str) -> None:
        state = self._find_claiming(message, sender)
        if state is not None:
            state.attempt.record_grant(sender)
            self._apply_verdict(state)

    @_receive.register
    def _(self, message: Held, sender: str) -> None:
        state = self._find_claiming(message, sender)
        if state is None:
            return
        if message.code is not None:
            self._end_claim(state, Error(Outcome(Code(message.code), message.body)))
            return
        state.attempt.record_denial(sender, message)
        self._apply_verdict(state)

    @_receive.register
    def _(self, message: Refused, sender: str) -> None:
        state = self._find_claiming(message, sender)
        if state is not None:
            state.attempt.record_denial(sender, message)
            self._apply_verdict(state)

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
        state = self._key_states.get(message.key)
        if state is None or not state.is_current(message.claim_id):
            self._send(sender, Release(message.key, message.claim_id))
        elif state.outcome is not None:
            self._send(sender, _make_settle(state))

    @_receive.register
    def _(self, message: KeyQuery, sender: str) -> None:
        self._send(sender, self._witness.make_key_reply(message.key))
        self._probe_holder(message.key)

    @_receive.register
    def _(self, message: KeyReply, sender: str) -> None:
        self._look_ups.receive_reply(sender, message)

    def _probe_holder(self, key: bytes) -> None:
        """Ask the holder of a key without a result whether its attempt is valid."""
        record = self._witness.find_record(key)
        if record is not None and record.code is None:
            self._send(record.claim_id.host, Probe(key, record.claim_id))

    def _check_key(self, key: bytes | None) -> Failure | None:
        """Return why a key can't be claimed now, or None if it can.

        The request of a key that is ahead of this host's clock may be sent again
        once the clock has caught up.
        """
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
        self, state: KeyState, timeout_s: float, notify: ClaimCallback
    ) -> None:
        """Let a later request wait for the result of an earlier one with its key."""
        if state.outcome is not None:
            notify(Error(state.outcome))
            return

        def expire() -> None:
            state.waiters.remove(waiter)
            notify(Error(_HELD_FAILURE))

        timer = self._timers.call_later(min(timeout_s, MAX_HELD_WAIT_S), expire)
        waiter = Waiter(notify, timer)
        state.waiters.append(waiter)

    def _start_attempt(self, state: KeyState) -> None:
        key_time = read_key_time(state.key)
        required = self.lists.choose_witness_sets(state.key, key_time)
        state.attempt_count += 1
        if required is None:
            self._schedule_attempt(state)
            return
        state.attempt = self._open_attempt(required)
        self._query_witnesses(state, state.attempt, self.lists.newest.version)

    def _query_witnesses(self, state: KeyState, attempt: Attempt, version: int) -> None:
        """Send the claim to witnesses without a reply, again until it is decided."""
        if attempt.closed or state.phase is not Phase.CLAIMING:
            return
        if self._timers.now() >= state.deadline_s:
            self._fail_claim(state)
            return
        message = Claim(state.key, attempt.claim_id, version)
        self._send_to_unanswered(attempt, message)
        self._apply_verdict(state)
        if state.attempt is attempt and not attempt.closed:
            delay_s = min(ATTEMPT_RESEND_S, state.deadline_s - self._timers.now())
            self._call_later(
                state, delay_s, lambda: self._query_witnesses(state, attempt, version)
            )

    def _find_claiming(
        self, message: Granted | Held | Refused, sender: str
    ) -> KeyState | None:
        """Return the key whose open attempt a reply belongs to, if any."""
        self._receive_list_version(sender, message.list_version)
        state = self._key_states.get(message.key)
        if state is None or state.phase is not Phase.CLAIMING or not state.attempt:
            return None
        attempt = state.attempt
        if attempt.closed or attempt.claim_id != message.claim_id:
            return None
        return state

    def _apply_verdict(self, state: KeyState) -> None:
        """End the key's open attempt if its replies decide it."""
        if state.phase is not Phase.CLAIMING or state.attempt.closed:
            return
        verdict = state.attempt.verdict
        if verdict is Verdict.WON:
            self._win_claim(state)
        elif verdict is Verdict.LOST:
            self._lose_attempt(state)

    def _win_claim(self, state: KeyState) -> None:
        state.attempt.closed = True
        state.cancel_timers()
        state.phase = Phase.HOLDING
        state.notify(Ok(SendRight(state.key, state.attempt.claim_id)))

    def _lose_attempt(self, state: KeyState) -> None:
        """Release the attempt, and schedule another one if it has a chance.

        From the first contention on, the claim has a shorter deadline.
        """
        attempt = state.attempt
        self._release_attempt(state)
        if attempt.contended and state.first_contended_s is None:
            state.first_contended_s = self._timers.now()
            state.deadline_s = min(
                state.deadline_s, state.first_contended_s + MAX_HELD_WAIT_S
            )
        if attempt.contended or attempt.has_transient_refusal:
            self._schedule_attempt(state)
        else:
            self._fail_claim(state)

    def _schedule_attempt(self, state: KeyState) -> None:
        """Start another attempt after a random backoff, or fail if it is too late."""
        state.cancel_timers()
        limit_s = min(BASE_BACKOFF_S * 2**state.attempt_count, MAX_BACKOFF_S)
        delay_s = limit_s * self._rng.uniform(0.5, 1.0)
        if self._timers.now() + delay_s >= state.deadline_s:
            self._fail_claim(state)
            return
        self._call_later(state, delay_s, lambda: self._start_attempt(state))

    def _fail_claim(self, state: KeyState) -> None:
        held = state.first_contended_s is not None or (
            state.attempt is not None and state.attempt.contended
        )
        self._end_claim(state, Error(_HELD_FAILURE if held else _NO_MAJORITY_FAILURE))

    def _end_claim(
        self, state: KeyState, result: Result[SendRight, Failure | Outcome]
    ) -> None:
        """End a claim that did not get the right, and forget the key."""
        if state.attempt is not None and not state.attempt.closed:
            self._release_attempt(state)
        state.cancel_timers()
        del self._key_states[state.key]
        state.notify(result)
        self._notify_waiters(state, result)

    def _release_attempt(self, state: KeyState) -> None:
        """Abandon an attempt and let its witnesses withdraw their grants."""
        attempt = state.attempt
        attempt.closed = True
        for host in attempt.witnesses:
            self._send(host, Release(state.key, attempt.claim_id))

    def _notify_waiters(
        self, state: KeyState, result: Result[SendRight, Failure | Outcome]
    ) -> None:
        waiters, state.waiters = state.waiters, []
        for waiter in waiters:
            waiter.timer.cancel()
            waiter.notify(result)

    def _call_later(self, state: KeyState, delay_s: float, callback: Any) -> None:
        state.timers.append(self._timers.call_later(delay_s, callback))

    def _drop_expired(self) -> None:
        self._witness.drop_expired()
        oldest_s = self._timers.wall() - RECORD_LIFETIME_S
        for key, state in list(self._key_states.items()):
            if read_key_time(key) < oldest_s and state.phase is not Phase.CLAIMING:
                del self._key_states[key]


def _make_settle(state: KeyState) -> Settle:
    code, body = state.outcome
    kept_body = body if len(body) <= MAX_KEPT_BODY_BYTES else b""
    return Settle(state.key, state.attempt.claim_id, code, kept_body)
