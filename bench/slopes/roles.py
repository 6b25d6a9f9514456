"""The roles of a daemon, and the cost of each at the target size."""

import math
from collections.abc import Callable
from typing import NamedTuple

from bench.slopes import sizes
from bench.slopes.fits import Amount, LinearFit
from bench.slopes.hosts import FullFleet
from oleanderpier.daemon.node import CACHE_EVENTS_INTERVAL_S
from oleanderpier.membership.probers import PROBER_COUNT
from oleanderpier.membership.server_probes import PROBE_INTERVAL_S
from oleanderpier.peers.mesh import IDLE_TIMEOUT_S
from oleanderpier.placement.client import RENEWAL_INTERVAL_S
from oleanderpier.placement.pools import TARGET_POOL_SERVERS
from oleanderpier.settings.schema import DEFAULT_LIMITS

__all__ = ["ROLES", "Load", "Measurements", "Role", "StreamCounts", "estimate_streams"]

MESSAGES_PER_REQUEST = 3
WITNESS_COUNT = 7
MESSAGES_PER_CLAIM = 3 * WITNESS_COUNT
# Assumed ratio of requests that may not be repeated.
NON_REPEATABLE_RATIO = 0.01
FLEET_REQUESTS_PER_S = sizes.REQUESTS_PER_S * sizes.HOSTS
# Time for which a witness keeps a record of a claim.
RECORD_LIFETIME_S = 604.0
EVENTS_PER_S = 1.0
CACHE_READS_PER_S = 1 / CACHE_EVENTS_INTERVAL_S
# Time after a new hosts list in which the old one accepts new keys.
COLLECTION_S = 30.0
PINGS_PER_S = 1.0
LEASES_PER_HOST = sizes.SERVERS / sizes.HOSTS


class Measurements(NamedTuple):
    """The results of all measurements.

    Attributes:
        fits: The linear fits by name.
        pools: The numbers of pools and of owners, and the largest number of pools
            of one owner.
        message_overhead_bytes: Bytes sent in addition to a message on a stream.
        full_fleet: The costs measured with the target number of hosts.
    """

    fits: dict[str, LinearFit]
    pools: dict[str, float]
    message_overhead_bytes: float
    full_fleet: FullFleet


class Load(NamedTuple):
    """The cost of a role for a host; None where it has no such cost.

    Attributes:
        memory_bytes: Memory in bytes.
        messages_per_s: Messages sent per second.
        bytes_per_s: Bytes sent per second, or received where the role says so. For
            the group ``value``, the size of the value in bytes.
        cpu_us_per_s: Processor time in microseconds per second.
    """

    memory_bytes: Amount | None = None
    messages_per_s: Amount | None = None
    bytes_per_s: Amount | None = None
    cpu_us_per_s: Amount | None = None


class Role(NamedTuple):
    """One row of the page.

    Attributes:
        name: The role of the daemon.
        mechanism: The mechanism that causes the cost.
        module: The path of the module that implements the mechanism.
        fit_names: The names of the linear fits that are shown with the role.
        compute_load: Returns the load of one host.
        group: The total that the row belongs to: ``control``, ``watcher`` or
            ``owner`` (the busiest one). Rows of the groups ``value``, ``rare``,
            ``later`` and ``data`` are in no total.
        basis: The assumptions behind the figures.
        remedy: The change that would reduce the cost; required if the cost
            exceeds the budget.
    """

    name: str
    mechanism: str
    module: str
    fit_names: tuple[str, ...]
    compute_load: Callable[[Measurements], Load]
    group: str
    basis: str
    remedy: str = ""


class StreamCounts(NamedTuple):
    """Numbers of stream ends open at a host.

    Attributes:
        mean: The mean over all hosts.
        busiest: The number at the busiest owner.
    """

    mean: float
    busiest: float


def estimate_distinct(draws: float, population: float) -> float:
    """Return the expected number of distinct items hit by random draws.

    Args:
        draws: The number of draws with replacement.
        population: The number of equally likely items.

    Examples:
        >>> round(estimate_distinct(100, 100))
        63
    """
    return population * (1 - math.exp(-draws / population))


def estimate_streams(pools: dict[str, float]) -> StreamCounts:
    """Return the numbers of stream ends at a host, with an idle time-out of 30 s."""
    pings = PINGS_PER_S * IDLE_TIMEOUT_S
    owners = estimate_distinct(sizes.REQUESTS_PER_S * IDLE_TIMEOUT_S, pools["owners"])
    share = pools["most owned"] / pools["pools"]
    draws = FLEET_REQUESTS_PER_S * share * IDLE_TIMEOUT_S
    clients = estimate_distinct(draws, sizes.HOSTS)
    return StreamCounts(2 * (owners + pings), owners + clients + 2 * pings)


def estimate_pools_in_use(pools: dict[str, float]) -> float:
    """Return the mean number of pools in which a host holds permits."""
    return estimate_distinct(sizes.REQUESTS_IN_FLIGHT, pools["pools"])


def _make_constant(value: float, text: str) -> Amount:
    return Amount(value, text)


def _choose_greater(fit: LinearFit, measured: float) -> Amount:
    """Return the larger one of the fitted value and the value of the full fleet."""
    amount = fit.estimate(sizes.HOSTS)
    if amount.value >= measured:
        return amount
    text = f"measured with {sizes.HOSTS:,} hosts; the fit gives {amount.formula}"
    return Amount(measured, f"{text} = {amount.value:,.0f}, the smaller value")


def _compute_directory(results: Measurements) -> Load:
    return Load(cpu_us_per_s=results.fits["directory"].estimate(sizes.HOSTS))


def _compute_permits(results: Measurements) -> Load:
    sent_bytes = results.fits["request bytes"].estimate(TARGET_POOL_SERVERS)
    cpu_us = results.fits["request cpu"].estimate(TARGET_POOL_SERVERS)
    messages = _make_constant(MESSAGES_PER_REQUEST, "query, grant, release")
    return Load(
        memory_bytes=results.fits["permits"].estimate(sizes.REQUESTS_IN_FLIGHT),
        messages_per_s=messages.scale(sizes.REQUESTS_PER_S, "requests/s"),
        bytes_per_s=sent_bytes.scale(sizes.REQUESTS_PER_S, "requests/s"),
        cpu_us_per_s=cpu_us.scale(sizes.REQUESTS_PER_S, "requests/s"),
    )


def _compute_renewals(results: Measurements) -> Load:
    pools = estimate_pools_in_use(results.pools)
    rate = 1 / RENEWAL_INTERVAL_S
    messages = _make_constant(pools, "pools with permits")
    return Load(
        messages_per_s=messages.scale(rate, "rounds/s"),
        bytes_per_s=results.fits["renewal bytes"]
        .estimate(pools)
        .scale(rate, "rounds/s"),
        cpu_us_per_s=results.fits["renewal cpu"]
        .estimate(pools)
        .scale(rate, "rounds/s"),
    )


def _sum_control_messages(results: Measurements) -> float:
    """Return the messages per second that a host sends to other hosts."""
    parts = (_compute_permits, _compute_renewals, _compute_membership, _compute_claims)
    return sum(part(results).messages_per_s.value for part in parts)


def _compute_streams(results: Measurements) -> Load:
    ends = estimate_streams(results.pools).mean
    sent = _make_constant(_sum_control_messages(results), "messages/s sent")
    cpu_us = results.fits["stream cpu"].estimate(400).scale(1 / 400)
    return Load(
        memory_bytes=results.fits["stream memory"].estimate(ends / 2),
        bytes_per_s=sent.scale(results.message_overhead_bytes, "bytes"),
        cpu_us_per_s=cpu_us.scale(sent.value, "messages/s"),
    )


def _compute_extra_owner_requests(results: Measurements) -> float:
    """Return the requests per second of the busiest owner in excess of the mean."""
    share = results.pools["most owned"] / results.pools["pools"]
    return FLEET_REQUESTS_PER_S * share - sizes.REQUESTS_PER_S


def _compute_busiest_owner_streams(results: Measurements) -> Load:
    streams = estimate_streams(results.pools)
    share = results.pools["most owned"] / results.pools["pools"]
    requests = _make_constant(
        _compute_extra_owner_requests(results), "requests/s in excess of the mean"
    )
    pools = estimate_pools_in_use(results.pools)
    renewals = (sizes.HOSTS * share - 1) * pools / RENEWAL_INTERVAL_S
    received = requests.scale(MESSAGES_PER_REQUEST, "messages")
    received += _make_constant(renewals, "renewals/s in excess")
    cpu_us = results.fits["stream cpu"].estimate(400).scale(1 / 400)
    memory = results.fits["stream memory"].slope
    return Load(
        memory_bytes=Amount(memory, f"{memory:,.0f}").scale(
            (streams.busiest - streams.mean) / 2, "streams in excess"
        ),
        messages_per_s=requests,
        bytes_per_s=requests.scale(
            results.message_overhead_bytes, "bytes of stamp and keep-alive"
        ),
        cpu_us_per_s=cpu_us.scale(received.value / 2, "messages/s, one end each"),
    )


def _compute_busiest_owner_admission(results: Measurements) -> Load:
    chats = sizes.CHATS / results.pools["pools"]
    requests = _compute_extra_owner_requests(results)
    cpu_us = results.fits["owner cpu"].estimate(TARGET_POOL_SERVERS)
    sent = results.fits["owner bytes"].estimate(TARGET_POOL_SERVERS)
    return Load(
        memory_bytes=results.fits["chats"]
        .estimate(chats)
        .scale(results.pools["most owned"], "pools"),
        bytes_per_s=sent.scale(requests, "requests/s"),
        cpu_us_per_s=cpu_us.scale(requests, "requests/s"),
    )


def _compute_cache_reads(results: Measurements) -> Load:
    engines = sizes.SERVERS / sizes.HOSTS
    listing_us = (
        results.fits["owned"]
        .estimate(sizes.SERVERS)
        .scale(CACHE_READS_PER_S, "lists/s")
    )
    load = _compute_engine_reads(results, engines)
    return load._replace(cpu_us_per_s=load.cpu_us_per_s + listing_us)


def _compute_busiest_owner_reads(results: Measurements) -> Load:
    share = results.pools["most owned"] / results.pools["pools"]
    return _compute_engine_reads(results, sizes.SERVERS * (share - 1 / sizes.HOSTS))


def _compute_engine_reads(results: Measurements, engines: float) -> Load:
    """Return the load of reading the cache events of some engines."""
    events = 2 * FLEET_REQUESTS_PER_S / sizes.SERVERS / CACHE_READS_PER_S
    reads = engines * CACHE_READS_PER_S
    return Load(
        messages_per_s=_make_constant(reads, "reads of engines per second"),
        bytes_per_s=results.fits["probe bytes"]
        .estimate(engines)
        .scale(CACHE_READS_PER_S, "reads/s"),
        cpu_us_per_s=results.fits["cache read cpu"]
        .estimate(events)
        .scale(reads, "reads/s"),
    )


def _make_watch_load(name: str, size: float) -> Callable[[Measurements], Load]:
    def compute_load(results: Measurements) -> Load:
        value = results.fits[f"{name} json"].estimate(size)
        cpu_us = results.fits[f"{name} read"].estimate(size)
        return Load(
            messages_per_s=_make_constant(sizes.CHANGES_PER_S, "changes/s"),
            bytes_per_s=value.scale(sizes.CHANGES_PER_S, "changes/s"),
            cpu_us_per_s=cpu_us.scale(sizes.CHANGES_PER_S, "changes/s"),
        )

    return compute_load


def _compute_membership(results: Measurements) -> Load:
    fits = results.fits
    return Load(
        messages_per_s=fits["idle messages"].estimate(sizes.HOSTS),
        bytes_per_s=_choose_greater(fits["idle bytes"], results.full_fleet.bytes_per_s),
        cpu_us_per_s=_choose_greater(fits["idle cpu"], results.full_fleet.cpu_us_per_s),
    )


def _compute_host_changes(results: Measurements) -> Load:
    fits = results.fits
    owners_us = (
        fits["owners"]
        .estimate(sizes.HOSTS)
        .scale(2, "changes, the loss and the return")
    )
    delta_us = fits["hosts delta"].estimate(sizes.HOSTS)
    members_us = fits["hosts applied"].estimate(sizes.HOSTS)
    total = owners_us + delta_us + members_us
    return Load(cpu_us_per_s=total.scale(sizes.HOST_CHANGES_PER_S, "changes/s"))


def _compute_dissemination(results: Measurements) -> Load:
    change_bytes = results.fits["change bytes"].estimate(sizes.HOSTS)
    cpu_us = results.fits["configuration delta"].estimate(sizes.WORKSPACES)
    return Load(
        messages_per_s=_make_constant(
            4 * sizes.CHANGES_PER_S, "4 copies of each change"
        ),
        bytes_per_s=change_bytes.scale(sizes.CHANGES_PER_S, "changes/s"),
        cpu_us_per_s=cpu_us.scale(sizes.CHANGES_PER_S, "changes/s"),
    )


def _compute_server_lists(results: Measurements) -> Load:
    fits = results.fits
    parts = [
        fits[n].estimate(sizes.SERVERS) for n in ("backend_servers delta", "placed")
    ]
    total = parts[0] + parts[1] + fits["viewed"].estimate(sizes.SERVERS)
    return Load(
        memory_bytes=fits["state"].estimate(sizes.SERVERS)
        + fits["topology"].estimate(sizes.SERVERS),
        cpu_us_per_s=total.scale(sizes.CHANGES_PER_S, "changes/s"),
    )


def _compute_value_size(results: Measurements) -> Load:
    return Load(
        bytes_per_s=results.fits["backend_servers json"].estimate(sizes.SERVERS)
    )


def _compute_probes(results: Measurements) -> Load:
    rate = PROBER_COUNT * sizes.SERVERS / PROBE_INTERVAL_S / sizes.HOSTS
    idle_us = results.fits["ticked"].estimate(sizes.SERVERS)
    return Load(
        messages_per_s=_make_constant(rate, "probes/s"),
        bytes_per_s=results.fits["probe bytes"].estimate(rate),
        cpu_us_per_s=Amount(results.fits["probe cpu"].slope * rate, "")._replace(
            formula=f"{rate:.2f} probes/s x {results.fits['probe cpu'].slope:.0f}"
        )
        + idle_us,
    )


def _compute_claims_per_s() -> float:
    return NON_REPEATABLE_RATIO * FLEET_REQUESTS_PER_S


def _compute_claims(results: Measurements) -> Load:
    calls = _compute_claims_per_s()
    fits = results.fits
    host_share = 1 / sizes.HOSTS
    claim_bytes = Amount(fits["call bytes"].slope, f"{fits['call bytes'].slope:.0f}")
    messages = fits["call messages"].slope
    records = WITNESS_COUNT * RECORD_LIFETIME_S * calls / sizes.HOSTS
    grants = fits["grants"].slope * WITNESS_COUNT
    open_lists = 1 + COLLECTION_S * sizes.HOST_CHANGES_PER_S
    kept_lists = 1 + RECORD_LIFETIME_S * sizes.HOST_CHANGES_PER_S
    choice_us = fits["choices"].estimate(sizes.HOSTS).scale(open_lists, "lists")
    list_bytes = fits["list memory"].estimate(sizes.HOSTS).scale(kept_lists, "lists")
    cpu_us = choice_us + Amount(grants, f"{WITNESS_COUNT} x {fits['grants'].slope:.3g}")
    return Load(
        memory_bytes=fits["records"].estimate(records) + list_bytes,
        messages_per_s=Amount(messages, f"{messages:.3g}").scale(
            calls * host_share, "calls/s"
        ),
        bytes_per_s=claim_bytes.scale(calls * host_share, "calls/s"),
        cpu_us_per_s=cpu_us.scale(calls * host_share, "calls/s"),
    )


def _compute_collector(results: Measurements) -> Load:
    fits = results.fits
    messages = fits["collector messages"].estimate(sizes.HOSTS).scale(1 / COLLECTION_S)
    message_bytes = fits["collector size"].estimate(sizes.HOSTS)
    return Load(
        messages_per_s=messages,
        bytes_per_s=message_bytes.scale(messages.value, "messages/s"),
    )


def _compute_leases(results: Measurements) -> Load:
    fits = results.fits
    values = [fits[f"lease {name}"].slope for name in ("messages", "bytes", "cpu")]
    amounts = [
        Amount(value, f"{value:.3g}").scale(LEASES_PER_HOST, "leases")
        for value in values
    ]
    return Load(
        messages_per_s=amounts[0], bytes_per_s=amounts[1], cpu_us_per_s=amounts[2]
    )


def _compute_events(results: Measurements) -> Load:
    events = DEFAULT_LIMITS["events_kept"]
    event_us = results.fits["event cpu"].slope
    return Load(
        memory_bytes=results.fits["event memory"].estimate(events),
        cpu_us_per_s=Amount(event_us, f"{event_us:.3g}").scale(
            EVENTS_PER_S, "events/s"
        ),
    )


def _compute_process(results: Measurements) -> Load:
    size = results.fits["response memory"].intercept
    return Load(memory_bytes=Amount(size, "intercept of the fit for open responses"))


def _compute_tokens(results: Measurements) -> Load:
    token_us = results.fits["response cpu"].slope
    return Load(
        messages_per_s=_make_constant(sizes.TOKENS_PER_S, "tokens/s"),
        cpu_us_per_s=Amount(token_us, f"{token_us:.3g}").scale(
            sizes.TOKENS_PER_S, "tokens/s"
        ),
    )


def _compute_responses(results: Measurements) -> Load:
    fit = results.fits["response cpu"]
    response_bytes = results.fits["response memory"].slope
    return Load(
        memory_bytes=Amount(response_bytes, f"{response_bytes:,.0f}").scale(
            sizes.REQUESTS_IN_FLIGHT, "open responses"
        ),
        messages_per_s=_make_constant(sizes.REQUESTS_PER_S, "responses/s"),
        cpu_us_per_s=Amount(fit.intercept, f"{fit.intercept:.0f}").scale(
            sizes.REQUESTS_PER_S, "responses/s"
        ),
    )


ROLES = (
    Role(
        "entry: directory",
        "three random hosts from a list that is computed once per second",
        "oleanderpier/daemon/directory.py",
        ("directory",),
        _compute_directory,
        "control",
        "Assumes a directory call before each request, since most chats return after"
        " the 30 s for which a caller keeps an address.",
        "Compute the list of hosts only when the membership or the document changes.",
    ),
    Role(
        "entry: permits",
        "query, grant and release between the entry host and the pool's owner",
        "oleanderpier/placement/client.py",
        ("request bytes", "request cpu", "permits"),
        _compute_permits,
        "control",
        "Memory, bytes and time of entry host and owner together: on average a host"
        " owns the pools of as many requests as it accepts. Encoding is counted in"
        " this row and in the row of the streams.",
    ),
    Role(
        "entry: renewals",
        "one message per pool with permits, every 5 s",
        "oleanderpier/placement/client.py",
        ("renewal bytes", "renewal cpu"),
        _compute_renewals,
        "control",
        "One permit in each pool. A permit is held for the duration of a response of"
        " the mean length, at 49 ms per token.",
    ),
    Role(
        "peer: streams",
        "a TCP stream to each peer in use, with keep-alives and clock stamps",
        "oleanderpier/peers/mesh.py",
        ("stream memory", "stream cpu", "stream growth"),
        _compute_streams,
        "control",
        "The streams that a host opened within 30 s to owners and ping targets, and as"
        " many that other hosts opened to it. Each message is sent alone, with its"
        " clock stamp and a keep-alive, as on a rarely used stream. The third fit is"
        " not part of the row: the buffer of a receiving end grows with the bytes it"
        " carried, up to a megabyte; a stream is closed after 30 s without use.",
        "Give `make_unpacker` a `read_size` of some KB, send a keep-alive only if"
        " nothing was received within the interval, and write concurrent messages to"
        " the same peer together.",
    ),
    Role(
        "owner: cache events",
        "one read of each owned engine every 5 s",
        "oleanderpier/daemon/probes.py",
        ("cache read cpu", "owned", "probe bytes"),
        _compute_cache_reads,
        "control",
        "The mean host, with two events per request. The request of a read is assumed"
        " to be as long as that of a probe. For each read, the daemon scans the whole"
        " list of servers.",
        "List the owned engines only when the pools change.",
    ),
    Role(
        "busiest owner: streams",
        "streams from nearly every host",
        "oleanderpier/peers/mesh.py",
        ("stream memory", "stream cpu"),
        _compute_busiest_owner_streams,
        "owner",
        "The cost in excess of the mean for the host that owns the most pools, as the"
        " hash assigns them at this size.",
        "Limit the ownership to two pools per host, or let the hosts of a failure"
        " domain send their queries through a few of them. The remedy of"
        " `peer: streams` helps as well.",
    ),
    Role(
        "busiest owner: admission",
        "counters, queue and the last servers of each chat",
        "oleanderpier/placement/admission.py",
        ("chats", "owner cpu", "owner bytes"),
        _compute_busiest_owner_admission,
        "owner",
        "Requests in excess of the mean: a query and a release received and a grant"
        " sent, with encoding and decoding. The chats of all pools of the owner.",
        "Limit the ownership to two pools per host.",
    ),
    Role(
        "busiest owner: cache events",
        "one read of each owned engine every 5 s",
        "oleanderpier/daemon/probes.py",
        ("cache read cpu", "probe bytes"),
        _compute_busiest_owner_reads,
        "owner",
        "Engines in excess of the mean.",
        "Long-poll each engine for its events, and limit the ownership to two pools"
        " per host.",
    ),
    Role(
        "watcher: configuration",
        "a long-polling watch and the whole value for each change",
        "oleanderpier/configuration/watch.py",
        ("configuration json", "configuration read"),
        _make_watch_load("configuration", sizes.WORKSPACES),
        "watcher",
        "Bytes received, if all changes are of this document.",
    ),
    Role(
        "watcher: backend_servers",
        "a long-polling watch and the whole value for each change",
        "oleanderpier/configuration/watch.py",
        ("backend_servers json", "backend_servers read"),
        _make_watch_load("backend_servers", sizes.SERVERS),
        "watcher",
        "Bytes received, if all changes are of this document.",
        "One document per region: a tenth of the bytes and of the time, which still"
        " exceeds the limit of bytes if all changes are of servers. After that, let the"
        " platform send deltas.",
    ),
    Role(
        "watcher: one value",
        "the list of servers as a single value of the platform",
        "oleanderpier/configuration/documents.py",
        ("backend_servers json",),
        _compute_value_size,
        "value",
        "The size of the value, compared with the limit of one megabyte.",
        "One document per region.",
    ),
    Role(
        "peer: failure detection",
        "a ping per second, gossip, bitmaps of the hosts that hold a list",
        "oleanderpier/membership/members.py",
        ("idle bytes", "idle messages", "idle cpu"),
        _compute_membership,
        "control",
        "Idle fleets under simulated time, with 5% of the messages lost. The processor"
        " time includes the fake network. The memory is in the row of the list of"
        " servers.",
    ),
    Role(
        "peer: changes of hosts",
        "owners recomputed, a hosts list applied",
        "oleanderpier/placement/owners.py",
        ("owners", "hosts delta", "hosts applied"),
        _compute_host_changes,
        "control",
        "130 failures and 1,500 restarts per day, each with a new hosts list.",
    ),
    Role(
        "peer: dissemination of changes",
        "deltas pushed to four peers each, repair by pull",
        "oleanderpier/configuration/gossip.py",
        ("change bytes", "change time", "configuration delta"),
        _compute_dissemination,
        "control",
        "All changes are of `configuration`.",
    ),
    Role(
        "peer: list of servers",
        "a delta applied, pools and duties recomputed",
        "oleanderpier/configuration/store.py",
        ("state", "topology", "backend_servers delta", "placed", "viewed"),
        _compute_server_lists,
        "control",
        "All changes are of `backend_servers`, and each host applies them. The memory"
        " is that of eight versions of both lists and of a record per host and server.",
        "Recompute only the pools of changed entries, and apply the changes of up to a"
        " second together.",
    ),
    Role(
        "prober",
        "each server is probed by two hosts, every 2 s by each",
        "oleanderpier/membership/servers.py",
        ("probe cpu", "probe bytes", "ticked"),
        _compute_probes,
        "control",
        "A new connection for each probe, as in the daemon.",
    ),
    Role(
        "witness: claims",
        "a majority of seven witnesses for each call that may not be repeated",
        "oleanderpier/claims/claims.py",
        ("call bytes", "call messages", "records", "grants", "choices", "list memory"),
        _compute_claims,
        "control",
        "Assumes that one request in 100 may not be repeated; bytes, messages and time"
        " are proportional to that. Each of 1,630 lists per day is kept for 604 s and"
        " accepts new keys until 30 s after the next one; a list that can't be closed"
        " is kept for an hour.",
    ),
    Role(
        "witness: collector",
        "proofs that a hosts list is closed, sent by three hosts to all",
        "oleanderpier/claims/supersession.py",
        ("collector messages", "collector size"),
        _compute_collector,
        "rare",
        "The busiest of the three hosts, in the 30 s after each new hosts list; with"
        " 1,630 lists per day, that is more than half of the time.",
        "Send the proofs in two steps: from the collectors to one host of each failure"
        " domain, which forwards them to the others.",
    ),
    Role(
        "witness: leases",
        "a lease per engine, renewed by a majority of witnesses",
        "oleanderpier/orders/leases.py",
        ("lease messages", "lease bytes", "lease cpu"),
        _compute_leases,
        "later",
        "Assumes that each of 10,000 servers has a lease; the daemon does not use"
        " leases yet.",
        "One lease per group of servers, such as a pool, instead of one per server.",
    ),
    Role(
        "event buffer",
        "a ring buffer of the newest events, read on demand",
        "oleanderpier/events/buffer.py",
        ("event memory", "event cpu"),
        _compute_events,
        "control",
        "One event per second: about 3,300 changes of hosts per day on each host, and"
        " failed requests.",
    ),
    Role(
        "process",
        "the interpreter and the libraries",
        "oleanderpier/daemon/program.py",
        ("response memory",),
        _compute_process,
        "control",
        "Resident memory of the relay process without responses.",
    ),
    Role(
        "relay: tokens",
        "the head of each event checked, and the event forwarded",
        "oleanderpier/relay/responses.py",
        ("response cpu",),
        _compute_tokens,
        "data",
        "Data path, not control.",
    ),
    Role(
        "relay: responses",
        "a connection, an attempt and a response for each request",
        "oleanderpier/relay/attempts.py",
        ("response cpu", "response memory"),
        _compute_responses,
        "data",
        "Data path, not control. The number of open responses is that of the permits in"
        " the row of the renewals.",
    ),
)
