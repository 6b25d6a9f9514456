"""The address list for callers.

The module addresses this load pattern: hosts are killed or removed while callers choose
new addresses, in fleets so large that hosts report to other failure domains only every
few seconds.
"""

import math
import random

from oleanderpier.fleet import FleetView

__all__ = ["list_caller_addresses"]

# With this many ready hosts in its failure domain, a host lists only these to
# callers: hosts of other domains report less often, so their state is older.
MIN_DOMAIN_HOST_COUNT = 8
# The users' bound on how long the address list may name a host that is gone is the time
# until it is out of contact and 3 s; 0.5 s are for the way to the caller.
LISTED_AFTER_CONTACT_S = 2.5


def list_caller_addresses(
    view: FleetView, own: list[str], contact_s: float | None, rng: random.Random
) -> list[str]:
    """Return the addresses of ready hosts for callers, in random order.

    Args:
        view: The reports of the other hosts.
        own: The address of this host, empty if it is not ready.
        contact_s: Time after which a host that is gone is out of contact, in seconds;
            None without a bound.
        rng: The source of randomness.
    """
    max_age_s = math.inf if contact_s is None else contact_s + LISTED_AFTER_CONTACT_S
    hosts = view.list_ready_in_domain(max_age_s)
    if len(hosts) < MIN_DOMAIN_HOST_COUNT:
        hosts = view.list_ready(max_age_s)
    addresses = [*(view.get_caller_address(host) for host in hosts), *own]
    rng.shuffle(addresses)
    return addresses
