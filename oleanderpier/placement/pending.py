"""The state that an entry host keeps for its queries and held permits."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from oleanderpier.configuration import WorkClass
from oleanderpier.placement.pools import Pool
from oleanderpier.placement.records import Permit, PermitRequest
from oleanderpier.results import Failure
from oleanderpier.utils import Subscription

__all__ = ["FleetLoad", "HeldPermit", "PendingPermit", "PermitCallback"]

# Minimum weight of a sample. The first samples weigh 1/n: a plain mean.
MIN_FLEET_LOAD_WEIGHT = 0.03
# With fewer samples the average is not used.
MIN_FLEET_LOAD_SAMPLES = 20

PermitCallback = Callable[[Result[Permit, Failure]], None]


class HeldPermit(NamedTuple):
    """A permit held by this host.

    Attributes:
        permit: The permit.
        chat: The hash of the chat's id; 0 if the request belongs to no chat.
        workspace: The hash of the workspace's name.
        can_migrate: Whether the request may be resumed on another server.
    """

    permit: Permit
    chat: int
    workspace: int
    can_migrate: bool


class FleetLoad:
    """Moving average of the load of all pools that provide the same.

    The samples are the loads in the owners' replies. Busy pools send more
    replies and so weigh slightly more; the error is far smaller than the
    margin that the load multiple leaves.

    Examples:
        >>> fleet_load = FleetLoad()
        >>> fleet_load.get_percent()
        0
        >>> for _ in range(50):
        ...     fleet_load.add_sample(60)
        >>> fleet_load.get_percent()
        60
    """

    def __init__(self) -> None:
        self._mean_percent = 0.0
        self._sample_count = 0

    def add_sample(self, load_percent: int) -> None:
        """Add the load of a reply, in percent of the pool's slots."""
        self._sample_count += 1
        weight = max(MIN_FLEET_LOAD_WEIGHT, 1 / self._sample_count)
        self._mean_percent += weight * (load_percent - self._mean_percent)

    def get_percent(self) -> int:
        """Return the average in percent, or 0 if there are too few samples."""
        return (
            round(self._mean_percent)
            if self._sample_count >= MIN_FLEET_LOAD_SAMPLES
            else 0
        )


class PendingPermit:
    """A request that waits for a permit.

    Attributes:
        number: The number of the last query; -1 before the first. Each query
            gets a new number, so that a late reply to an earlier query is
            ignored.
        request: The request.
        work_class: The request's class of work.
        pools: The pools left to query; the first is being queried.
        deadline_s: The monotonic time at which the request fails, in seconds.
        callback: Called with the permit or a failure.
        avoid: The backend server not to use, or "".
        queried_hosts: The hosts that were queried about the first pool.
        retries: The number of queries sent again because the granted server
            could not be used.
        timer: The timeout of the last query.
    """

    def __init__(
        self,
        request: PermitRequest,
        work_class: WorkClass,
        pools: list[Pool],
        deadline_s: float,
        callback: PermitCallback,
    ):
        self.number = -1
        self.request = request
        self.work_class = work_class
        self.pools = pools
        self.deadline_s = deadline_s
        self.callback = callback
        self.avoid = request.avoid
        self.queried_hosts: list[str] = []
        self.retries = 0
        self.timer = Subscription()
