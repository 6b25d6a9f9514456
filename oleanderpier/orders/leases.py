"""Leases: at most one process of the fleet gives orders for a subject."""

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
from oleanderpier.orders.lease import Lease, Tenure
from oleanderpier.orders.limits import (
    FENCE_SPAN,
    LEASE_S,
    MARGIN_S,
    RENEW_S,
    ROUND_RESEND_S,
    ROUND_RETRY_S,
    ROUND_S,
    ROUND_SPREAD_S,
)
from oleanderpier.orders.messages import (
    LeaseGranted,
    LeaseHeld,
    LeaseQuery,
    LeaseRefused,
    LeaseRelease,
)
from oleanderpier.orders.witness import LeaseWitness, read_fence_time
from oleanderpier.results import Code, Failure
from oleanderpier.utils import Outbox, Subscription, Timers

__all__ = ["Leases", "NotifyLease"]

NotifyLease = Callable[[Result[Lease, Failure]], None]


class _Phase(Enum):
    """How a subject stands with this process."""

    ASKING = "asking"
    HOLDING = "holding"


class _Entry:
    """What this process does about one subject."""

    def __init__(self, subject: str, deadline_s: float):
        self.subject = subject
        self.deadline_s = deadline_s
        self.phase = _Phase.ASKING
        self.waiters: list[NotifyLease] = []
        self.attempt: Attempt | None = None
        self.lease: Lease | None = None
        self.round_s = 0.0
        self.round_wall_s = 0.0
        self.fence = 0
        self.list_version = 0
        self.held_s = 0.0
        self.timer: Subscription | None = None


class Leases(WitnessRounds):
    """Gets, renews and gives up leases, and is a witness of others' leases.

    Args:
        host: This host's name.
        incarnation: Which process of the host this is; never used twice.
        timers: The timer service.
        rng: Source of the waits between rounds.
        outbox: Sends to other hosts.
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
        self._entries: dict[str, _Entry] = {}
        self._fences: dict[str, int] = {}
        self._holders: dict[str, str] = {}
        self._kept_until_s: dict[str, float] = {}

    def acquire(self, subject: str, timeout_s: float, notify: NotifyLease) -> None:
        """Try to get a subject's lease; it is then renewed until given up.

        Args:
            subject: An engine's name, or that of a budget.
            timeout_s: When to give up, in seconds from now.
            notify: Called once, possibly before this returns: with the lease,
                or with code ``LEASE_NOT_HELD``.
        """
        entry = self._entries.get(subject)
        if entry is not None and entry.phase is _Phase.HOLDING:
            if entry.lease.left_s > 0:
                notify(Ok(entry.lease))
                return
            self._lose_lease(entry)
            entry = None
        if entry is not None:
            entry.waiters.append(notify)
            return
        kept_s = self._kept_until_s.pop(subject, 0.0) - self._timers.now()
        if kept_s > 0:
            self._kept_until_s[subject] = self._timers.now() + kept_s
            notify(Error(_make_failure(subject, kept_s)))
            return
        entry = _Entry(subject, self._timers.now() + timeout_s)
        entry.waiters.append(notify)
        self._entries[subject] = entry
        # Hosts that ask in the same instant would split the witnesses, be told
        # the same time to come back, and do so together again.
        delay_s = ROUND_SPREAD_S * self._rng.random()
        self._set_timer(entry, delay_s, lambda: self._start_round(entry))

    def release(self, lease: Lease) -> None:
        """Give a lease up.

        The witnesses are told, so that another process need not wait for its
        end. While an order may still take effect they are not, and this process
        can't acquire the lease again before its end either.
        """
        left_s = lease.left_s
        lease.end()
        entry = self._entries.get(lease.subject)
        if entry is None or entry.lease is not lease:
            return
        self._drop(entry)
        if lease.settled:
            self._send_release(entry)
        else:
            self._kept_until_s[lease.subject] = self._timers.now() + left_s

    def close(self) -> None:
        """Give every lease up and ask for none, as the host shuts down."""
        for entry in list(self._entries.values()):
            if entry.lease is not None:
                self.release(entry.lease)
            else:
                self._send_release(entry)
                self._give_up(entry)

    def find_lease(self, subject: str) -> Lease | None:
        """Return the lease of a subject that this process has now, if any."""
        entry = self._entries.get(subject)
        if entry is None or entry.lease is None or not entry.lease.left_s:
            return None
        return entry.lease

    def find_holder(self, subject: str) -> str | None:
        """Return the host that was last known to have a subject's lease."""
        if self.find_lease(subject) is not None:
            return self._host
        return self._holders.get(subject)

    def forget_holder(self, subject: str) -> None:
        """Stop believing that another host has a subject's lease."""
        self._holders.pop(subject, None)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no message about leases: {message!r}")

    @_receive.register
    def _(self, message: LeaseQuery, sender: str) -> None:
        self.lists.receive_version(sender, message.list_version)
        self._send(sender, self._witness.grant(message))

    @_receive.register
    def _(self, message: LeaseRelease, sender: str) -> None:
        self._witness.release(message)

    @_receive.register
    def _(self, message: LeaseGranted, sender: str) -> None:
        entry = self._find_round(message, sender)
        if entry is not None:
            entry.attempt.record_grant(sender)
            self._judge(entry)

    @_receive.register
    def _(self, message: LeaseHeld, sender: str) -> None:
        entry = self._find_round(message, sender)
        if entry is not None:
            self._holders[message.subject] = message.holder
            entry.held_s = max(entry.held_s, message.remaining_s)
            entry.attempt.record_denial(sender, None)
            self._judge(entry)

    @_receive.register
    def _(self, message: LeaseRefused, sender: str) -> None:
        entry = self._find_round(message, sender)
        if entry is not None:
            self._hear_fence(message.subject, message.fence)
            entry.held_s = max(entry.held_s, message.retry_after_s)
            entry.attempt.record_denial(sender, None)
            self._judge(entry)

    def _find_round(
        self, message: LeaseGranted | LeaseHeld | LeaseRefused, sender: str
    ) -> _Entry | None:
        """Return the entry whose open round an answer belongs to."""
        self._receive_list_version(sender, message.list_version)
        entry = self._entries.get(message.subject)
        if entry is None or entry.attempt is None or entry.attempt.closed:
            return None
        if entry.attempt.claim_id != message.round_id or self._is_late(entry):
            return None
        return entry

    def _is_late(self, entry: _Entry) -> bool:
        return self._timers.now() - entry.round_s > ROUND_S

    def _start_round(self, entry: _Entry) -> None:
        """Ask a majority of the witnesses, of every list in use."""
        if entry.phase is _Phase.HOLDING and not entry.lease.left_s:
            self._lose_lease(entry)
            return
        entry.round_s = self._timers.now()
        entry.round_wall_s = self._timers.wall()
        ended_s = entry.round_wall_s - LEASE_S - MARGIN_S
        required = self.lists.choose_witness_sets(entry.subject.encode(), ended_s)
        entry.held_s = 0.0
        if required is None:
            self._lose_round(entry)
            return
        entry.attempt = self._open_attempt(required)
        entry.fence = self._choose_fence(entry.subject)
        entry.list_version = self.lists.newest.version
        self._ask_witnesses(entry, entry.attempt)

    def _choose_fence(self, subject: str) -> int:
        """Return the first fence of a round, above all that are known."""
        known = self._fences.get(subject, 0)
        return max(known + FENCE_SPAN, read_fence_time(self._timers.wall()))

    def _hear_fence(self, subject: str, fence: int) -> None:
        """Stay above a witness's fence, unless a faulty clock has made it."""
        latest = read_fence_time(self._timers.wall() + 2 * MAX_CLOCK_SKEW_S)
        if fence <= latest:
            self._note_fence(subject, fence)

    def _note_fence(self, subject: str, fence: int) -> None:
        self._fences[subject] = max(fence, self._fences.get(subject, 0))

    def _ask_witnesses(self, entry: _Entry, attempt: Attempt) -> None:
        """Send the round to whoever has not answered, until it is decided."""
        if attempt.closed:
            return
        if self._is_late(entry):
            self._lose_round(entry)
            return
        message = LeaseQuery(
            entry.subject, attempt.claim_id, entry.fence, entry.list_version
        )
        self._send_to_unanswered(attempt, message)
        self._judge(entry)
        if not attempt.closed:
            self._set_timer(
                entry, ROUND_RESEND_S, lambda: self._ask_witnesses(entry, attempt)
            )

    def _judge(self, entry: _Entry) -> None:
        """Act on the round's verdict."""
        if entry.attempt.closed:
            return
        verdict = entry.attempt.verdict
        if verdict is Verdict.WON:
            self._win_round(entry)
        elif verdict is Verdict.LOST:
            self._lose_round(entry)

    def _win_round(self, entry: _Entry) -> None:
        entry.attempt.closed = True
        if entry.phase is _Phase.HOLDING and not entry.lease.left_s:
            self._lose_lease(entry)
            return
        self._note_fence(entry.subject, entry.fence)
        ends_wall_s = entry.round_wall_s + LEASE_S
        tenure = Tenure(entry.round_s + LEASE_S, ends_wall_s, entry.fence)
        self._set_timer(entry, RENEW_S, lambda: self._start_round(entry))
        if entry.phase is _Phase.HOLDING:
            entry.lease.renew(tenure)
            return
        entry.phase = _Phase.HOLDING
        entry.lease = Lease(entry.subject, self._timers, tenure)
        log_message("orders:lease_gained", subject=entry.subject, fence=entry.fence)
        self._notify(entry, Ok(entry.lease))

    def _lose_round(self, entry: _Entry) -> None:
        """Try again after a wait, if there is time left."""
        if entry.attempt is not None:
            entry.attempt.closed = True
        if entry.phase is _Phase.ASKING:
            self._send_release(entry)
        wait_s = ROUND_RETRY_S * self._rng.uniform(0.5, 1.5)
        late = self._timers.now() + wait_s >= entry.deadline_s
        if entry.phase is _Phase.ASKING and late:
            self._give_up(entry)
            return
        self._set_timer(entry, wait_s, lambda: self._start_round(entry))

    def _give_up(self, entry: _Entry) -> None:
        self._drop(entry)
        self._notify(entry, Error(_make_failure(entry.subject, entry.held_s)))

    def _lose_lease(self, entry: _Entry) -> None:
        self._drop(entry)
        code = int(Code.LEASE_ENDED)
        log_message("orders:lease_lost", subject=entry.subject, code=code)
        if entry.lease.settled:
            self._send_release(entry)

    def _drop(self, entry: _Entry) -> None:
        if entry.attempt is not None:
            entry.attempt.closed = True
        if entry.timer is not None:
            entry.timer.cancel()
        del self._entries[entry.subject]

    def _send_release(self, entry: _Entry) -> None:
        if entry.attempt is None:
            return
        message = LeaseRelease(entry.subject, entry.attempt.claim_id)
        for host in entry.attempt.witnesses:
            self._send(host, message)

    def _notify(self, entry: _Entry, result: Result[Lease, Failure]) -> None:
        waiters, entry.waiters = entry.waiters, []
        for notify in waiters:
            notify(result)

    def _set_timer(
        self, entry: _Entry, delay_s: float, callback: Callable[[], None]
    ) -> None:
        if entry.timer is not None:
            entry.timer.cancel()
        entry.timer = self._timers.call_later(delay_s, callback)


def _make_failure(subject: str, wait_s: float) -> Failure:
    text = f"no lease for {subject}"
    return Failure(Code.LEASE_NOT_HELD, text, max(wait_s, ROUND_RETRY_S))
