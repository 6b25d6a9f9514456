"""Slopes of the leases under which orders are given."""

from bench.slopes.fits import MICROSECONDS, Point, Slope, fit_slope
from oleanderpier.orders.tests.costs import measure_renewals

__all__ = ["measure_leases"]

LEASE_SIZES = (0, 50, 100, 200)


def measure_leases() -> dict[str, Slope]:
    """Measure steady leases over a fleet of eight hosts."""
    found = [(size, *measure_renewals(size)) for size in LEASE_SIZES]
    over = "over the fleet"
    return {
        "lease messages": fit_slope(
            f"steady leases, messages/s {over}",
            "leases",
            [Point(size, count, count) for size, count, _, _ in found],
        ),
        "lease bytes": fit_slope(
            f"steady leases, bytes/s {over}",
            "leases",
            [Point(size, octets, octets) for size, _, octets, _ in found],
        ),
        "lease core": fit_slope(
            f"steady leases, µs/s {over}",
            "leases",
            [Point(n, s * MICROSECONDS, s * MICROSECONDS) for n, _, _, s in found],
        ),
    }
