"""What an entry host announces in its reports."""

from oleanderpier.fleet import (
    CRASHES_FEATURE,
    DOMAIN_LOADS_FEATURE,
    LEAVING_FEATURE,
    LIMITS_FEATURE,
    PERMITS_FEATURE,
    REQUEST_KEYS_FEATURE,
)
from oleanderpier.replication import ReplicaSummary

__all__ = ["FEATURES"]

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
