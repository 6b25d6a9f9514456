"""What an entry host keeps of its queries and of the permits that it holds."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from oleanderpier.configuration import WorkClass
from oleanderpier.placement.pools import Pool
from oleanderpier.placement.records import Permit, PermitRequest
from oleanderpier.results import Failure
from oleanderpier.utils import Subscription

__all__ = ["FleetLoad", "HeldPermit", "Notify", "PendingPermit"]

FLEET_LOAD_WEIGHT = 0.03
FLEET_LOAD_ANSWERS = 20

Notify = Callable[[Result[Permit, Failure]], None]


class HeldPermit(NamedTuple):
    """A permit in use.

    Attributes:
        permit: The permit itself.
        chat: Hash of the chat's id, or 0.
        workspace: The workspace's number.
        migrates: Whether the request may be resumed elsewhere.
    """

    permit: Permit
    chat: int
    workspace: int
    migrates: bool


class FleetLoad:
    """The mean load of all pools that provide the same, as answers tell it.

    Answers come from pools in proportion to their requests, which weighs
    fuller ones a little more; that is far less than the multiple allows.

    Examples:
        >>> fleet_load = FleetLoad()
        >>> fleet_load.get_percent()
        0
        >>> for _ in range(50):
        ...     fleet_load.note(60)
        >>> fleet_load.get_percent()
        60
    """

    def __init__(self) -> None:
        self._mean = 0.0
        self._answers = 0

    def note(self, load: int) -> None:
        """Take the load that an answer told, in percent of the pool's slots."""
        self._answers += 1
        weight = max(FLEET_LOAD_WEIGHT, 1 / self._answers)
        self._mean += weight * (load - self._mean)

    def get_percent(self) -> int:
        """Return the mean, or 0 after too few answers."""
        return round(self._mean) if self._answers >= FLEET_LOAD_ANSWERS else 0


class PendingPermit:
    """A request that has no permit yet.

    Attributes:
        pools: The pools still to try; the first is being asked.
        number: The number of the query, a new one each time it is sent, so that
            a late answer to an earlier one is not taken for this one's.
        tried: The hosts that were asked about the first pool.
        repeats: How often the request was asked anew.
        avoid: The server that should not run it, or "".
    """

    def __init__(
        self,
        request: PermitRequest,
        work_class: WorkClass,
        pools: list[Pool],
        deadline_s: float,
        notify: Notify,
    ):
        self.number = -1
        self.request = request
        self.work_class = work_class
        self.pools = pools
        self.deadline_s = deadline_s
        self.notify = notify
        self.avoid = request.avoid
        self.tried: list[str] = []
        self.repeats = 0
        self.timer = Subscription()
