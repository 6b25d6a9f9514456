"""Time limits, intervals and sizes of leases, fencing tokens and start permits."""

__all__ = [
    "LEASE_MARGIN_S",
    "LEASE_RECORD_LIFETIME_S",
    "LEASE_TERM_S",
    "MAX_FIRST_ROUND_DELAY_S",
    "ORDER_TIMEOUT_S",
    "PERMIT_LIFETIME_S",
    "RENEW_INTERVAL_S",
    "RETRY_DELAY_S",
    "ROUND_RESEND_S",
    "ROUND_TIMEOUT_S",
    "SWEEP_INTERVAL_S",
    "TERM_FENCE_COUNT",
    "WITNESS_START_DELAY_S",
]

# Duration of a grant. The holder counts it from the start of the round, a witness
# from its own grant, so the holder's lease ends first.
LEASE_TERM_S = 20.0
# Largest drift assumed between the monotonic clocks of two hosts in one term.
LEASE_MARGIN_S = 1.0
# Time within which an order takes effect at the engine, or never does.
ORDER_TIMEOUT_S = 5.0
# An order still fits into the lease after one failed renewal.
RENEW_INTERVAL_S = LEASE_TERM_S / 3
# Replies of witnesses that come later are ignored.
ROUND_TIMEOUT_S = 1.0
# Upper bound of the random delay of the first round.
MAX_FIRST_ROUND_DELAY_S = 0.25
# Interval at which a query is sent again to witnesses that have not replied.
ROUND_RESEND_S = 0.25
# Mean wait between two rounds, and minimum wait that a failure reports to its caller.
RETRY_DELAY_S = 1.0
# After this, every lease that the host's previous process granted has ended.
WITNESS_START_DELAY_S = LEASE_TERM_S + LEASE_MARGIN_S
# Validity of a start permit, and time limit of a query for one.
PERMIT_LIFETIME_S = 1.0
# Fencing tokens of one lease term. A token corresponds to a millisecond.
TERM_FENCE_COUNT = 1000
# Age from which a witness drops a record. Every clock is past its fencing tokens.
LEASE_RECORD_LIFETIME_S = 3600.0
SWEEP_INTERVAL_S = 60.0
