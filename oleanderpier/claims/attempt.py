"""One attempt to get the right to send a key."""

from enum import Enum

from oleanderpier.claims.messages import Held, Refusal, Refused, RoundId
from oleanderpier.claims.witness_sets import WitnessSet, count_majority

__all__ = ["Attempt", "Verdict"]


_TRANSIENT_REFUSALS = {Refusal.OLD_LIST, Refusal.NOT_READY, Refusal.KEY_AHEAD}


class Verdict(Enum):
    """How an attempt stands."""

    OPEN = "open"
    WON = "won"
    LOST = "lost"


class Attempt:
    """Counts the grants and denials of one attempt's witnesses.

    Args:
        claim_id: The attempt's own name, never used again.
        required: Witness sets of which a majority each must grant.

    Attributes:
        closed: Whether later answers no longer count.
    """

    def __init__(self, claim_id: RoundId, required: list[WitnessSet]):
        self.claim_id = claim_id
        self.closed = False
        self._required = required
        self._granted: set[str] = set()
        self._denied: dict[str, Held | Refused | None] = {}

    @property
    def witnesses(self) -> list[str]:
        """Every host that is asked, in a fixed order."""
        hosts = (host for witnesses in self._required for host in witnesses.hosts)
        return list(dict.fromkeys(hosts))

    @property
    def unanswered(self) -> list[str]:
        """The witnesses that have neither granted nor denied."""
        answered = self._granted | set(self._denied)
        return [host for host in self.witnesses if host not in answered]

    @property
    def contended(self) -> bool:
        """Whether a witness has granted the key to another attempt."""
        return any(isinstance(denial, Held) for denial in self._denied.values())

    @property
    def has_transient_refusal(self) -> bool:
        """Whether a witness refused for a reason that soon passes."""
        return any(
            isinstance(denial, Refused) and denial.reason in _TRANSIENT_REFUSALS
            for denial in self._denied.values()
        )

    @property
    def verdict(self) -> Verdict:
        """Whether the attempt has every majority, or can't get one."""
        verdicts = {self._evaluate(witnesses) for witnesses in self._required}
        if Verdict.LOST in verdicts:
            return Verdict.LOST
        return Verdict.OPEN if Verdict.OPEN in verdicts else Verdict.WON

    def record_grant(self, host: str) -> None:
        """Count a witness's grant; the witness cannot take it back."""
        self._granted.add(host)
        self._denied.pop(host, None)

    def record_denial(self, host: str, denial: Held | Refused | None) -> None:
        """Count a witness that denies, or None for one out of reach."""
        if host not in self._granted:
            self._denied[host] = denial

    def _evaluate(self, witnesses: WitnessSet) -> Verdict:
        hosts = set(witnesses.hosts)
        majority = count_majority(len(hosts))
        if len(hosts & self._granted) >= majority:
            return Verdict.WON
        if len(hosts - set(self._denied)) < majority:
            return Verdict.LOST
        return Verdict.OPEN
