"""Divides the requests of a route among its services by weight."""

from collections.abc import Sequence

from oleanderpier.routing.records import ServiceShare
from oleanderpier.utils import hash_text

__all__ = ["pick_service"]

# Number of values of hash_text.
HASH_RANGE = 1 << 64


def pick_service(shares: Sequence[ServiceShare], key: str) -> str:
    """Return a service by weight, the same one for equal keys.

    Examples:
        >>> pick_service([ServiceShare("a", 0.0), ServiceShare("b", 2.0)], "x")
        'b'
    """
    weighted = [share for share in shares if share.weight > 0]
    if not weighted:
        return shares[0].service
    point = hash_text(key) / HASH_RANGE * sum(share.weight for share in weighted)
    for share in weighted:
        point -= share.weight
        if point < 0:
            return share.service
    return weighted[-1].service
