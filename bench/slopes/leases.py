"""Costs of the leases that orders are issued under."""

from bench.slopes.fits import US_PER_S, LinearFit, Point, fit_line
from oleanderpier.orders.tests.costs import measure_renewals

__all__ = ["measure_leases"]

LEASE_COUNTS = (0, 50, 100, 200)


def measure_leases() -> dict[str, LinearFit]:
    """Measure leases that are held without a change, in a fleet of eight hosts."""
    renewals = [(size, *measure_renewals(size)) for size in LEASE_COUNTS]
    suffix = "over the fleet"
    return {
        "lease messages": fit_line(
            f"steady leases, messages/s {suffix}",
            "leases",
            [Point(size, messages, messages) for size, messages, _, _ in renewals],
        ),
        "lease bytes": fit_line(
            f"steady leases, bytes/s {suffix}",
            "leases",
            [
                Point(size, sent_bytes, sent_bytes)
                for size, _, sent_bytes, _ in renewals
            ],
        ),
        "lease cpu": fit_line(
            f"steady leases, µs/s {suffix}",
            "leases",
            [
                Point(n, cpu_s * US_PER_S, cpu_s * US_PER_S)
                for n, _, _, cpu_s in renewals
            ],
        ),
    }
