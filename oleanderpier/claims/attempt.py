"""One attempt to get grants from a majority of witnesses."""

from enum import Enum

from oleanderpier.claims.messages import Held, Refusal, Refused, RoundId
from oleanderpier.claims.witness_sets import WitnessSet, count_majority

__all__ = ["Attempt", "Verdict"]


_TRANSIENT_REFUSALS = {Refusal.OLD_LIST, Refusal.NOT_READY, Refusal.KEY_AHEAD}


class Verdict(Enum):
    """Whether an attempt is still open, or has won or lost."""

    OPEN = "open"
    WON = "won"
    LOST = "lost"


class Attempt:
    """Counts the grants and denials of the witnesses in one attempt.

    Args:
        claim_id: Id of the attempt; never used twice.
        required: The witness sets; the attempt needs a majority of each.

    Attributes:
        claim_id: Id of the attempt.
        closed: Whether the attempt is decided, so that later replies are ignored.
    """

    def __init__(self, claim_id: RoundId, required: list[WitnessSet]):
        self.claim_id = claim_id
        self.closed = False
        self._required = required
        self._granted: set[str] = set()
        self._denied: dict[str, Held | Refused | None] = {}

    @property
    def witnesses(self) -> list[str]:
        """All hosts of the witness sets, each once, in the order of the sets."""
        hosts = (host for witnesses in self._required for host in witnesses.hosts)
        return list(dict.fromkeys(hosts))

    @property
    def unanswered(self) -> list[str]:
        """The witnesses that have neither granted nor denied."""
        replied = self._granted | set(self._denied)
        return [host for host in self.witnesses if host not in replied]

    @property
    def contended(self) -> bool:
        """Whether a witness has granted the key to another attempt."""
        return any(isinstance(denial, Held) for denial in self._denied.values())

    @property
    def has_transient_refusal(self) -> bool:
        """Whether a witness refused for a temporary reason."""
        return any(
            isinstance(denial, Refused) and denial.reason in _TRANSIENT_REFUSALS
            for denial in self._denied.values()
        )

    @property
    def verdict(self) -> Verdict:
        """Won with a majority of each set; lost if one set can give no majority."""
        verdicts = {self._evaluate(witnesses) for witnesses in self._required}
        if Verdict.LOST in verdicts:
            return Verdict.LOST
        return Verdict.OPEN if Verdict.OPEN in verdicts else Verdict.WON

    def record_grant(self, host: str) -> None:
        """Record a grant; a later denial by the same witness is ignored."""
        self._granted.add(host)
        self._denied.pop(host, None)

    def record_denial(self, host: str, denial: Held | Refused | None) -> None:
        """Record a denial, unless the witness has granted before.

        Args:
            host: The witness.
            denial: Its reply; None if the host is unreachable or the reason does
                not matter.
        """
        if host not in self._granted:
            self._denied[host] = denial

    def _evaluate(self, witnesses: WitnessSet) -> Verdict:
        """Return the verdict of one witness set."""
        hosts = set(witnesses.hosts)
        majority = count_majority(len(hosts))
        if len(hosts & self._granted) >= majority:
            return Verdict.WON
        if len(hosts - set(self._denied)) < majority:
            return Verdict.LOST
        return Verdict.OPEN
