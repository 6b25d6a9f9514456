"""What an entry host announces in its reports."""

from oleanderpier.fleet import (
    CRASHES_FEATURE,
    DOMAIN_LOADS_FEATURE,
    LEAVING_FEATURE,
    LIMITS_FEATURE,
    NOTICES_FEATURE,
    PERMITS_FEATURE,
    REQUEST_KEYS_FEATURE,
)
from oleanderpier.replication import ReplicaSummary

__all__ = ["list_features"]

FEATURES = dict.fromkeys(
    (
        DOMAIN_LOADS_FEATURE,
        LEAVING_FEATURE,
        CRASHES_FEATURE,
        LIMITS_FEATURE,
        PERMITS_FEATURE,
        REQUEST_KEYS_FEATURE,
    ),
    ReplicaSummary(0, 0, 0.0),
)
# Announced while this host knows an uneven service, so that the reports of other
# deployments have no more bytes than before.
UNEVEN_FEATURES = {NOTICES_FEATURE: ReplicaSummary(0, 0, 0.0)}


def list_features(has_uneven: bool) -> dict[str, ReplicaSummary]:
    """Return what this host announces, as summaries in its reports.

    Args:
        has_uneven: Whether it knows a service whose servers are uneven.
    """
    return {**FEATURES, **UNEVEN_FEATURES} if has_uneven else FEATURES
