"""What a run is like, and what it showed."""

from typing import NamedTuple

__all__ = ["FLEET", "USERS", "Report", "Scenario"]

MESSAGE_DELAY_S = 0.0005
LOAD_REPORT_S = 1.0
CACHE_EVENT_LAG_S = 2.0
CACHE_EVENT_LOSS = 0.2
SAMPLE_S = 0.25
DOCUMENT_SPREAD_S = 2.0
DRAIN_S = 15.0
REACTION_S = 0.01
DETECTION_S = 3.0
LOAD_MULTIPLE = 1.25
CLASSES = {"quick-verdict": 1.6, "season-review": 6.0}


class Scenario(NamedTuple):
    """Sizes and events of one run.

    Attributes:
        chats: How many chats are active at any time outside a surge.
        surge_chats: Further chats of the two large workspaces in the surge.
        surge_start_s: When the surge's chats begin.
        surge_end_s: When they end.
        replaced_ratio_per_minute: Part of the engines replaced each minute.
        publish_s: How far apart lists of engines are published at least.
        owner_killed_s: When the host that owns the first pool dies.
        warm_s: Samples and requests before this time are not counted.
    """

    hosts: int
    engines: int
    slots: int
    failure_domains: int
    workspaces: int
    chats: int
    pause_s: float
    cache_tokens: int
    surge_chats: int
    surge_start_s: float
    surge_end_s: float
    replaced_ratio_per_minute: float
    publish_s: float
    owner_killed_s: float | None
    warm_s: float
    length_s: float
    seed: int


USERS = Scenario(
    hosts=8,
    engines=9,
    slots=16,
    failure_domains=3,
    workspaces=10,
    chats=800,
    pause_s=30.0,
    cache_tokens=400_000,
    surge_chats=1_500,
    surge_start_s=150.0,
    surge_end_s=200.0,
    replaced_ratio_per_minute=0.05,
    publish_s=0.0,
    owner_killed_s=None,
    warm_s=30.0,
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
    pause_s=10.0,
    cache_tokens=150_000,
    surge_chats=0,
    surge_start_s=0.0,
    surge_end_s=0.0,
    replaced_ratio_per_minute=0.05,
    publish_s=5.0,
    owner_killed_s=None,
    warm_s=18.0,
    length_s=40.0,
    seed=1,
)


class Report(NamedTuple):
    """What one run showed.

    Attributes:
        router: The router's name.
        requests: How many requests were counted.
        reuse: Prompt tokens that came from a cache, as a part of those that
            an earlier turn of the chat had.
        ratio_p50: Max/mean in flight over the engines of a pool, the worst
            pool counting, in samples with a mean of at least 8.
        ratio_p99: The same, of 99 in 100 samples.
        ratio_worst: The same, of all samples.
        ratio_all: Max/mean over all engines, at worst.
        samples: How many samples there were.
        over_bound: Samples with an engine above ``ceil(1.25 * mean)``.
        over_unrounded: Samples with an engine above ``1.25 * mean``.
        stayed_over: Those of the latter that were so 10 ms later, too.
        migrated: Streams resumed on another engine, as a part of requests.
        refused: By class, as a part of the class's requests.
        late: By class, as a part of the class's requests.
        quiet_on_time: Requests on time in the surge, as a part of those
            asked, of quiet workspaces.
        surging_on_time: The same of surging workspaces.
        requests_a_host: Requests a second a host.
        control_bytes: Bytes a second that a host sends to others.
        control_bytes_a_request: The same for each request.
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
