"""Look-ups of a key's result on its witnesses, without claiming the key."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok

from oleanderpier.claims.host_lists import HostLists
from oleanderpier.claims.key_states import LookUpCallback, Outcome
from oleanderpier.claims.limits import LOOK_UP_TIMEOUT_S, RETRY_AFTER_S
from oleanderpier.claims.messages import KeyQuery, KeyReply
from oleanderpier.claims.witness_sets import choose_witnesses
from oleanderpier.results import Code, Failure
from oleanderpier.utils import Subscription, Timers

__all__ = ["LookUps"]

_IN_PROGRESS = Failure(Code.CLAIM_HELD, "a request has this key", RETRY_AFTER_S)
_UNKNOWN = Failure(
    Code.CLAIM_NO_MAJORITY, "no witness that answered knows the key", RETRY_AFTER_S
)


class _LookUp:
    """One look-up in progress.

    Attributes:
        notify: Called with the result.
        unanswered: Witnesses that have not replied.
        known: Whether a witness has a record of the key.
        timer: Ends the look-up when witnesses do not reply.
    """

    def __init__(self, notify: LookUpCallback, hosts: list[str]):
        self.notify = notify
        self.unanswered = set(hosts)
        self.known = False
        self.timer: Subscription | None = None


class LookUps:
    """Queries the witnesses of a key under every list in use.

    Args:
        timers: The timer service.
        lists: The host lists that this host knows.
        send: Sends a message to a host, which may be this one.
    """

    def __init__(
        self, timers: Timers, lists: HostLists, send: Callable[[str, Any], bool]
    ):
        self._timers = timers
        self._lists = lists
        self._send = send
        self._look_ups: dict[bytes, list[_LookUp]] = {}

    def start(self, key: bytes, notify: LookUpCallback) -> None:
        """Start a look-up.

        Args:
            key: The key's 16 bytes.
            notify: Called once, possibly before this returns: with the first
                result that a witness reports, or with a failure once all have
                replied or the time is up.
        """
        sets = [choose_witnesses(key, known) for known in self._lists.known_lists]
        hosts = list(dict.fromkeys(host for chosen in sets for host in chosen.hosts))
        look_up = _LookUp(notify, hosts)
        self._look_ups.setdefault(key, []).append(look_up)
        look_up.timer = self._timers.call_later(
            LOOK_UP_TIMEOUT_S, lambda: self._finish(key, look_up)
        )
        for host in hosts:
            if not self._send(host, KeyQuery(key)):
                look_up.unanswered.discard(host)
        if not look_up.unanswered:
            self._finish(key, look_up)

    def receive_reply(self, sender: str, reply: KeyReply) -> None:
        """Handle a witness's reply for every look-up of the key."""
        for look_up in list(self._look_ups.get(reply.key, [])):
            look_up.unanswered.discard(sender)
            look_up.known = look_up.known or reply.known
            if reply.code is not None:
                self._finish(reply.key, look_up, Outcome(Code(reply.code), reply.body))
            elif not look_up.unanswered:
                self._finish(reply.key, look_up)

    def _finish(
        self, key: bytes, look_up: _LookUp, outcome: Outcome | None = None
    ) -> None:
        look_ups = self._look_ups.get(key, [])
        if look_up not in look_ups:
            return
        look_ups.remove(look_up)
        if not look_ups:
            del self._look_ups[key]
        look_up.timer.cancel()
        if outcome is not None:
            look_up.notify(Ok(outcome))
        else:
            look_up.notify(Error(_IN_PROGRESS if look_up.known else _UNKNOWN))
