"""Leases: at most one process of the fleet issues the orders for a subject."""

import random
from collections.abc import Callable
from enum import Enum
from functools import singledispatchmethod
from typing import Any

from eliot import log_message
from expression import Error, Ok, Result

from oleanderpier.claims import MAX_CLOCK_SKEW_S, HostLists
from oleanderpier.claims.attempt import Attempt, Verdict
from oleanderpier.claims.rounds import WitnessRounds
from oleanderpier.orders.lease import Lease, LeaseTerm
from oleanderpier.orders.limits import (
    LEASE_MARGIN_S,
    LEASE_TERM_S,
    MAX_FIRST_ROUND_DELAY_S,
    RENEW_INTERVAL_S,
    RETRY_DELAY_S,
    ROUND_RESEND_S,
    ROUND_TIMEOUT_S,
    TERM_FENCE_COUNT,
)
from oleanderpier.orders.messages import (
    LeaseGranted,
    LeaseHeld,
    LeaseQuery,
    LeaseRefused,
    LeaseRelease,
)
from oleanderpier.orders.witness import LeaseWitness, make_fence
from oleanderpier.results import Code, Failure
from oleanderpier.utils import Outbox, Subscription, Timers

__all__ = ["LeaseCallback", "Leases"]

LeaseCallback = Callable[[Result[Lease, Failure]], None]


class _Phase(Enum):
    """Progress of a subject in this process.

    ``ACQUIRING``: rounds run to get the lease. ``HOLDING``: the lease was granted, and
    rounds renew it.
    """

    ACQUIRING = "acquiring"
    HOLDING = "holding"


class _SubjectState:
    """Acquisition and lease of one subject.

    Args:
        subject: Name of the engine or budget.
        deadline_s: When the acquisition fails, in seconds of the monotonic clock.

    Attributes:
        phase: Progress of the subject.
        waiters: Called with the lease or the failure when the acquisition ends.
        attempt: The latest round's attempt, if there was a round.
        lease: The lease, once it is granted.
        round_started_s: Start of the latest round, in seconds of the monotonic clock.
        round_started_wall_s: Start of the latest round, in seconds since 1970.
        fence: First fencing token of the latest round.
        list_version: Newest list version when the latest round started.
        retry_after_s: Longest wait that a witness named in the latest round, in
            seconds.
        timer: The next step: another query, round or renewal.
    """

    def __init__(self, subject: str, deadline_s: float):
        self.subject = subject
        self.deadline_s = deadline_s
        self.phase = _Phase.ACQUIRING
        self.waiters: list[LeaseCallback] = []
        self.attempt: Attempt | None = None
        self.lease: Lease | None = None
        self.round_started_s = 0.0
        self.round_started_wall_s = 0.0
        self.fence = 0
        self.list_version = 0
        self.retry_after_s = 0.0
        self.timer: Subscription | None = None


class Leases(WitnessRounds):
    """Acquires and renews leases for this host, and serves other hosts as a witness.

    To acquire or renew a lease, a round needs grants from a majority of the
    subject's witnesses under each host list in use.

    Args:
        host: This host's name.
        incarnation: Id of this process; never used twice on the host.
        timers: The timer service.
        rng: Source of the random waits between rounds.
        outbox: Sends messages to other hosts.
        lists: The host lists that this host knows, shared with the claims.
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
        witness = LeaseWitness(timers, lists)
        super().__init__(host, incarnation, timers, rng, outbox, lists, witness)
        self._states: dict[str, _SubjectState] = {}
        self._highest_fences: dict[str, int] = {}
        self._last_holders: dict[str, str] = {}
        self._blocked_until_s: dict[str, float] = {}

    def acquire(self, subject: str, timeout_s: float, notify: LeaseCallback) -> None:
        """Try to acquire a subject's lease, which is renewed until its release.

        Args:
            subject: Name of the engine or budget.
            timeout_s: When the acquisition fails, in seconds from now.
            notify: Called once, possibly before this returns: with the lease, or with
                a failure of code ``LEASE_NOT_HELD``.
        """
        state = self._states.get(subject)
        if state is not None and state.phase is _Phase.HOLDING:
            if state.lease.left_s > 0:
                notify(Ok(state.lease))
                return
            self._lose_lease(state)
            state = None
        if state is not None:
            state.waiters.append(notify)
            return
        blocked_s = self._blocked_until_s.pop(subject, 0.0) - self._timers.now()
        if blocked_s > 0:
            self._blocked_until_s[subject] = self._timers.now() + blocked_s
            notify(Error(_make_failure(subject, blocked_s)))
            return
        state = _SubjectState(subject, self._timers.now() + timeout_s)
        state.waiters.append(notify)
        self._states[subject] = state
        # Without a random delay, hosts that start at the same instant would split the
        # witnesses, get the same time to retry, and collide again.
        delay_s = MAX_FIRST_ROUND_DELAY_S * self._rng.random()
        self._set_timer(state, delay_s, lambda: self._start_round(state))

    def release(self, lease: Lease) -> None:
        """Give up a lease.

        The witnesses get a release, so that another process can acquire the lease
        before its end. If an order may still take effect, they get none, and this
        process can't acquire the lease again before that end either.
        """
        left_s = lease.left_s
        lease.end()
        state = self._states.get(lease.subject)
        if state is None or state.lease is not lease:
            return
        self._drop_state(state)
        if lease.settled:
            self._send_release(state)
        else:
            self._blocked_until_s[lease.subject] = self._timers.now() + left_s

    def close(self) -> None:
        """Give up all leases and fail all acquisitions, as the host shuts down."""
        for state in list(self._states.values()):
            if state.lease is not None:
                self.release(state.lease)
            else:
                self._send_release(state)
                self._fail_acquisition(state)

    def find_lease(self, subject: str) -> Lease | None:
        """Return the lease of a subject if this process holds it now."""
        state = self._states.get(subject)
        if state is None or state.lease is None or not state.lease.left_s:
            return None
        return state.lease

    def find_holder(self, subject: str) -> str | None:
        """Return the last known holder of a subject's lease, if any."""
        if self.find_lease(subject) is not None:
            return self._host
        return self._last_holders.get(subject)

    def forget_holder(self, subject: str) -> None:
        """Forget which other host holds a subject's lease."""
        self._last_holders.pop(subject, None)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no handler for lease message {message!r}")

    @_receive.register
    def _(self, message: LeaseQuery, sender: str) -> None:
        self.lists.receive_version(sender, message.list_version)
        self._send(sender, self._witness.grant(message))

    @_receive.register
    def _(self, message: LeaseRelease, sender: str) -> None:
        self._witness.release(message)

    @_receive.register
    def _(self, message: LeaseGranted, sender: str) -> None:
        state = self._find_open_round(message, sender)
        if state is not None:
            state.attempt.record_grant(sender)
            self._apply_verdict(state)

    @_receive.register
    def _(self, message: LeaseHeld, sender: str) -> None:
        state = self._find_open_round(message, sender)
        if state is not None:
            self._last_holders[message.subject] = message.holder
            state.retry_after_s = max(state.retry_after_s, message.remaining_s)
            state.attempt.record_denial(sender, None)
            self._apply_verdict(state)

    @_receive.register
    def _(self, message: LeaseRefused, sender: str) -> None:
        state = self._find_open_round(message, sender)
        if state is not None:
            self._receive_fence(message.subject, message.fence)
            state.retry_after_s = max(state.retry_after_s, message.retry_after_s)
            state.attempt.record_denial(sender, None)
            self._apply_verdict(state)

    def _find_open_round(
        self, message: LeaseGranted | LeaseHeld | LeaseRefused, sender: str
    ) -> _SubjectState | None:
        """Return the state whose open round a reply belongs to, if any."""
        self._receive_list_version(sender, message.list_version)
        state = self._states.get(message.subject)
        if state is None or state.attempt is None or state.attempt.closed:
            return None
        if state.attempt.claim_id != message.round_id or self._is_round_over(state):
            return None
        return state

    def _is_round_over(self, state: _SubjectState) -> bool:
        return self._timers.now() - state.round_started_s > ROUND_TIMEOUT_S

    def _start_round(self, state: _SubjectState) -> None:
        """Query the witnesses under every list in use."""
        if state.phase is _Phase.HOLDING and not state.lease.left_s:
            self._lose_lease(state)
            return
        state.round_started_s = self._timers.now()
        state.round_started_wall_s = self._timers.wall()
        # Leases that were granted before this have ended.
        oldest_grant_s = state.round_started_wall_s - LEASE_TERM_S - LEASE_MARGIN_S
        required = self.lists.choose_witness_sets(
            state.subject.encode(), oldest_grant_s
        )
        state.retry_after_s = 0.0
        if required is None:
            self._lose_round(state)
            return
        state.attempt = self._open_attempt(required)
        state.fence = self._choose_fence(state.subject)
        state.list_version = self.lists.newest.version
        self._query_witnesses(state, state.attempt)

    def _choose_fence(self, subject: str) -> int:
        """Return the first fencing token of a round, above all known ones."""
        known = self._highest_fences.get(subject, 0)
        return max(known + TERM_FENCE_COUNT, make_fence(self._timers.wall()))

    def _receive_fence(self, subject: str, fence: int) -> None:
        """Handle the fencing token that a witness reported with a refusal.

        The next round's tokens are higher, unless the reported one is so far ahead
        that only a faulty clock can have made it.
        """
        highest = make_fence(self._timers.wall() + 2 * MAX_CLOCK_SKEW_S)
        if fence <= highest:
            self._record_fence(subject, fence)

    def _record_fence(self, subject: str, fence: int) -> None:
        self._highest_fences[subject] = max(fence, self._highest_fences.get(subject, 0))

    def _query_witnesses(self, state: _SubjectState, attempt: Attempt) -> None:
        """Send the query to witnesses without a reply, again until it is decided."""
        if attempt.closed:
            return
        if self._is_round_over(state):
            self._lose_round(state)
            return
        message = LeaseQuery(
            state.subject, attempt.claim_id, state.fence, state.list_version
        )
        self._send_to_unanswered(attempt, message)
        self._apply_verdict(state)
        if not attempt.closed:
            self._set_timer(
                state, ROUND_RESEND_S, lambda: self._query_witnesses(state, attempt)
            )

    def _apply_verdict(self, state: _SubjectState) -> None:
        """End the open round if its replies decide it."""
        if state.attempt.closed:
            return
        verdict = state.attempt.verdict
        if verdict is Verdict.WON:
            self._win_round(state)
        elif verdict is Verdict.LOST:
            self._lose_round(state)

    def _win_round(self, state: _SubjectState) -> None:
        state.attempt.closed = True
        if state.phase is _Phase.HOLDING and not state.lease.left_s:
            self._lose_lease(state)
            return
        self._record_fence(state.subject, state.fence)
        ends_wall_s = state.round_started_wall_s + LEASE_TERM_S
        term = LeaseTerm(state.round_started_s + LEASE_TERM_S, ends_wall_s, state.fence)
        self._set_timer(state, RENEW_INTERVAL_S, lambda: self._start_round(state))
        if state.phase is _Phase.HOLDING:
            state.lease.renew(term)
            return
        state.phase = _Phase.HOLDING
        state.lease = Lease(state.subject, self._timers, term)
        log_message("orders:lease_gained", subject=state.subject, fence=state.fence)
        self._notify_waiters(state, Ok(state.lease))

    def _lose_round(self, state: _SubjectState) -> None:
        """Schedule another round, or fail the acquisition if its deadline is near.

        The grants of the round are released, unless it was to renew a lease.
        """
        if state.attempt is not None:
            state.attempt.closed = True
        if state.phase is _Phase.ACQUIRING:
            self._send_release(state)
        wait_s = RETRY_DELAY_S * self._rng.uniform(0.5, 1.5)
        too_late = self._timers.now() + wait_s >= state.deadline_s
        if state.phase is _Phase.ACQUIRING and too_late:
            self._fail_acquisition(state)
            return
        self._set_timer(state, wait_s, lambda: self._start_round(state))

    def _fail_acquisition(self, state: _SubjectState) -> None:
        self._drop_state(state)
        self._notify_waiters(
            state, Error(_make_failure(state.subject, state.retry_after_s))
        )

    def _lose_lease(self, state: _SubjectState) -> None:
        self._drop_state(state)
        code = int(Code.LEASE_ENDED)
        log_message("orders:lease_lost", subject=state.subject, code=code)
        if state.lease.settled:
            self._send_release(state)

    def _drop_state(self, state: _SubjectState) -> None:
        if state.attempt is not None:
            state.attempt.closed = True
        if state.timer is not None:
            state.timer.cancel()
        del self._states[state.subject]

    def _send_release(self, state: _SubjectState) -> None:
        if state.attempt is None:
            return
        message = LeaseRelease(state.subject, state.attempt.claim_id)
        for host in state.attempt.witnesses:
            self._send(host, message)

    def _notify_waiters(
        self, state: _SubjectState, result: Result[Lease, Failure]
    ) -> None:
        waiters, state.waiters = state.waiters, []
        for notify in waiters:
            notify(result)

    def _set_timer(
        self, state: _SubjectState, delay_s: float, callback: Callable[[], None]
    ) -> None:
        if state.timer is not None:
            state.timer.cancel()
        state.timer = self._timers.call_later(delay_s, callback)


def _make_failure(subject: str, wait_s: float) -> Failure:
    text = f"no lease for {subject}"
    return Failure(Code.LEASE_NOT_HELD, text, max(wait_s, RETRY_DELAY_S))
