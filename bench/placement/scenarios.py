"""Scenarios and reports of the placement benchmark."""

from typing import NamedTuple

__all__ = ["FLEET", "USERS", "Report", "Scenario"]

# One-way delay of a message between hosts.
MESSAGE_DELAY_S = 0.0005
LOAD_REPORT_INTERVAL_S = 1.0
CACHE_EVENT_DELAY_S = 2.0
CACHE_EVENT_LOSS_RATIO = 0.2
SAMPLE_INTERVAL_S = 0.25
# Maximum time until a host has a newly published list of engines.
MAX_DOCUMENT_DELAY_S = 2.0
# Time from the publication of an engine as leaving until its removal.
DRAIN_S = 15.0
# Delay of the second look at an engine above the load bound.
RECHECK_DELAY_S = 0.01
FAILURE_DETECTION_S = 3.0
LOAD_MULTIPLE = 1.25
FIRST_TOKEN_TARGETS_S = {"quick-verdict": 1.6, "season-review": 6.0}


class Scenario(NamedTuple):
    """Sizes and events of one run.

    Attributes:
        hosts: Number of hosts.
        engines: Number of engines.
        slots: Requests that an engine runs concurrently.
        failure_domains: Number of failure domains that the engines are spread over.
        workspaces: Number of workspaces.
        chats: Number of chats that are active at any time outside the surge.
        mean_pause_s: Mean pause between two turns of a chat, in seconds.
        cache_capacity_tokens: Size limit of an engine's prefix cache, in tokens.
        surge_chats: Number of additional chats of the two large workspaces during
            the surge.
        surge_start_s: Start time of the surge, in seconds.
        surge_end_s: End time of the surge, in seconds.
        replaced_ratio_per_minute: Ratio of the engines that is replaced each minute.
        min_publish_interval_s: Minimum interval between two publications of the list
            of engines, in seconds.
        owner_killed_s: Time at which the host that owns the first pool is killed, in
            seconds; None for never.
        warm_up_s: Time before which samples and requests are not counted, in seconds.
        length_s: Length of the run, in seconds.
        seed: Seed of all random numbers.
    """

    hosts: int
    engines: int
    slots: int
    failure_domains: int
    workspaces: int
    chats: int
    mean_pause_s: float
    cache_capacity_tokens: int
    surge_chats: int
    surge_start_s: float
    surge_end_s: float
    replaced_ratio_per_minute: float
    min_publish_interval_s: float
    owner_killed_s: float | None
    warm_up_s: float
    length_s: float
    seed: int


USERS = Scenario(
    hosts=8,
    engines=9,
    slots=16,
    failure_domains=3,
    workspaces=10,
    chats=800,
    mean_pause_s=30.0,
    cache_capacity_tokens=400_000,
    surge_chats=1_500,
    surge_start_s=150.0,
    surge_end_s=200.0,
    replaced_ratio_per_minute=0.05,
    min_publish_interval_s=0.0,
    owner_killed_s=None,
    warm_up_s=30.0,
    length_s=300.0,
    seed=1,
)

FLEET = Scenario(
    hosts=110,
    engines=550,
    slots=16,
    failure_domains=22,
    workspaces=700,
    chats=21_000,
    mean_pause_s=10.0,
    cache_capacity_tokens=150_000,
    surge_chats=0,
    surge_start_s=0.0,
    surge_end_s=0.0,
    replaced_ratio_per_minute=0.05,
    min_publish_interval_s=5.0,
    owner_killed_s=None,
    warm_up_s=18.0,
    length_s=40.0,
    seed=1,
)


class Report(NamedTuple):
    """Results of one run.

    Attributes:
        router: Name of the router.
        requests: Number of requests counted, that is, those after the warm-up.
        reuse: Ratio of the reusable prompt tokens that came from a cache. Reusable are
            the tokens that were part of an earlier turn of the chat.
        ratio_p50: Median of the max/mean ratio of requests in flight, over the engines
            of the worst pool, in samples with a mean of at least 8.
        ratio_p99: 99th percentile of the same ratio.
        ratio_worst: Maximum of the same ratio.
        ratio_all: Highest max/mean ratio over all engines.
        samples: Number of samples.
        over_bound: Number of samples with an engine above ``ceil(1.25 * mean)``.
        over_unrounded: Number of samples with an engine above ``1.25 * mean``.
        stayed_over: Number of the latter that were still above it 10 ms later.
        migrated: Streams migrated to another engine, as a ratio of the requests.
        refused: Ratio of the requests that were refused, by class.
        late: Ratio of the requests whose first token missed its target, by class.
        quiet_on_time: Ratio of the requests of quiet workspaces during the surge
            that were on time.
        surging_on_time: The same ratio for the surging workspaces.
        requests_a_host: Requests per second and host.
        control_bytes: Bytes per second that a host sends to other hosts.
        control_bytes_a_request: Bytes sent between hosts per request.
    """

    router: str
    requests: int
    reuse: float
    ratio_p50: float
    ratio_p99: float
    ratio_worst: float
    ratio_all: float
    samples: int
    over_bound: int
    over_unrounded: int
    stayed_over: int
    migrated: float
    refused: dict[str, float]
    late: dict[str, float]
    quiet_on_time: float
    surging_on_time: float
    requests_a_host: float
    control_bytes: float
    control_bytes_a_request: float
