"""Look-ups: what became of a key, without claiming it."""

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
    """One open question, and who has not answered it."""

    def __init__(self, notify: LookUpCallback, hosts: list[str]):
        self.notify = notify
        self.unanswered = set(hosts)
        self.known = False
        self.timer: Subscription | None = None


class LookUps:
    """Asks the witnesses of a key, of every list in use, what they know.

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
        """Ask the witnesses; tell the first outcome, or that there is none."""
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

    def receive_reply(self, sender: str, told: KeyReply) -> None:
        """Count a witness's answer in every open look-up of the key."""
        for look_up in list(self._look_ups.get(told.key, [])):
            look_up.unanswered.discard(sender)
            look_up.known = look_up.known or told.known
            if told.code is not None:
                self._finish(told.key, look_up, Outcome(Code(told.code), told.body))
            elif not look_up.unanswered:
                self._finish(told.key, look_up)

    def _finish(
        self, key: bytes, look_up: _LookUp, outcome: Outcome | None = None
    ) -> None:
        still_open = self._look_ups.get(key, [])
        if look_up not in still_open:
            return
        still_open.remove(look_up)
        if not still_open:
            del self._look_ups[key]
        look_up.timer.cancel()
        if outcome is not None:
            look_up.notify(Ok(outcome))
        else:
            look_up.notify(Error(_IN_PROGRESS if look_up.known else _UNKNOWN))
