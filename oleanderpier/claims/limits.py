"""Time limits, intervals and sizes of claims."""

__all__ = [
    "ATTEMPT_RESEND_S",
    "BASE_BACKOFF_S",
    "COLLECTOR_COUNT",
    "KEY_LIFETIME_S",
    "LIST_LIFETIME_S",
    "LIST_SYNC_INTERVAL_S",
    "LOOK_UP_TIMEOUT_S",
    "MAX_BACKOFF_S",
    "MAX_BOOTSTRAP_WAIT_S",
    "MAX_CLOCK_SKEW_S",
    "MAX_HELD_WAIT_S",
    "MAX_KEPT_BODY_BYTES",
    "MAX_PROOF_COUNT",
    "MIN_BOOTSTRAP_WAIT_S",
    "PROOF_FAST_PHASE_S",
    "PROOF_INTERVAL_S",
    "PROOF_SLOW_INTERVAL_S",
    "RECORD_LIFETIME_S",
    "RETRY_AFTER_S",
    "START_MARGIN_S",
    "SWEEP_INTERVAL_S",
    "WITNESS_COUNT",
]

# Witnesses of a key. With 7 or 8 hosts, the larger side of a 4/3 or 5/3 split holds
# a majority of the witnesses of every key.
WITNESS_COUNT = 7

# Keys that are older are refused.
KEY_LIFETIME_S = 600.0
# Largest difference assumed between any two wall clocks of the fleet.
MAX_CLOCK_SKEW_S = 2.0
# A witness grants only keys made later than its own start plus this margin, so it
# never repeats a grant of the host's previous process, whatever the clock skew.
START_MARGIN_S = 2 * MAX_CLOCK_SKEW_S
# Age from which every host refuses a key, whatever the clock skew, so that its
# record can be dropped.
RECORD_LIFETIME_S = KEY_LIFETIME_S + 2 * MAX_CLOCK_SKEW_S

# A list is dropped at the latest this long after the next newer one was stored.
LIST_LIFETIME_S = 3600.0
LIST_SYNC_INTERVAL_S = 0.5
# Wait before a majority of replies confirms the newest list, if all its hosts
# replied or none of those that replied was ready before.
MIN_BOOTSTRAP_WAIT_S = 3.0
# The same wait if some hosts have not replied and a few were ready before.
MAX_BOOTSTRAP_WAIT_S = 60.0

# Interval between two proof queries while the newest list is younger than
# PROOF_FAST_PHASE_S, and afterwards.
PROOF_INTERVAL_S = 2.0
PROOF_FAST_PHASE_S = 20.0
PROOF_SLOW_INTERVAL_S = 32.0
# Hosts of the newest list that collect observations and build proofs.
COLLECTOR_COUNT = 3
# Latest proofs kept for each list, in addition to the first one.
MAX_PROOF_COUNT = 4

# Interval at which a claim is sent again to witnesses that have not replied.
ATTEMPT_RESEND_S = 0.25
# The longest wait before the next attempt doubles with each attempt, up to a limit.
BASE_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
# Longest wait of a request for another request that holds its key.
MAX_HELD_WAIT_S = 2.0
LOOK_UP_TIMEOUT_S = 2.0
# Sent to callers with a failure.
RETRY_AFTER_S = 1.0
SWEEP_INTERVAL_S = 5.0
# Responses that are larger are not sent to the witnesses.
MAX_KEPT_BODY_BYTES = 1024
