"""Times and sizes that orders and their leases are bound by."""

__all__ = [
    "FENCE_LIFE_S",
    "FENCE_SPAN",
    "LEASE_S",
    "MARGIN_S",
    "ORDER_TIMEOUT_S",
    "RENEW_S",
    "ROUND_RESEND_S",
    "ROUND_RETRY_S",
    "ROUND_S",
    "START_LIFE_S",
    "START_WAIT_S",
    "SWEEP_LEASES_S",
]

LEASE_S = 20.0
MARGIN_S = 1.0
ORDER_TIMEOUT_S = 5.0
RENEW_S = LEASE_S / 3
ROUND_S = 1.0
ROUND_RESEND_S = 0.25
ROUND_RETRY_S = 1.0
START_WAIT_S = LEASE_S + MARGIN_S
START_LIFE_S = 1.0
FENCE_SPAN = 1000
FENCE_LIFE_S = 3600.0
SWEEP_LEASES_S = 60.0
