"""The roles of a daemon at the size to come, and what each costs there."""

import math
from collections.abc import Callable
from typing import NamedTuple

from bench.slopes import sizes
from bench.slopes.fits import Amount, Slope
from bench.slopes.hosts import Largest
from oleanderpier.daemon.node import CACHE_EVENTS_INTERVAL_S
from oleanderpier.membership.probers import PROBER_COUNT
from oleanderpier.membership.server_probes import PROBE_INTERVAL_S
from oleanderpier.peers.mesh import IDLE_TIMEOUT_S
from oleanderpier.placement.client import RENEWAL_INTERVAL_S
from oleanderpier.placement.pools import TARGET_POOL_SERVERS
from oleanderpier.settings.schema import DEFAULT_LIMITS

__all__ = ["ROLES", "Found", "Load", "Role", "Streams", "count_streams"]

MESSAGES_A_REQUEST = 3
WITNESSES = 7
MESSAGES_A_CLAIM = 3 * WITNESSES
CALLS_PART = 0.01
FLEET_REQUESTS_S = sizes.REQUESTS_S * sizes.HOSTS
RECORD_LIFE_S = 604.0
EVENTS_S = 1.0
READS_S = 1 / CACHE_EVENTS_INTERVAL_S
COLLECT_S = 30.0
PINGS_S = 1.0
LEASES_A_HOST = sizes.SERVERS / sizes.HOSTS


class Found(NamedTuple):
    """What was measured.

    Attributes:
        slopes: The slopes by name.
        pools: How many pools and owners there are, and the most of one host.
        overhead: Bytes that go with a message on a stream.
        largest: The check at the full number of hosts.
    """

    slopes: dict[str, Slope]
    pools: dict[str, float]
    overhead: float
    largest: Largest


class Load(NamedTuple):
    """What a role costs a host; None where it costs nothing of the kind.

    Attributes:
        state: Memory, bytes.
        messages: Messages sent a second.
        octets: Bytes sent a second, or received where the role says so.
        core_us: Processor time, microseconds a second.
    """

    state: Amount | None = None
    messages: Amount | None = None
    octets: Amount | None = None
    core_us: Amount | None = None


class Role(NamedTuple):
    """One row of the page.

    Attributes:
        role: What the daemon is in this role.
        mechanism: What carries it.
        module: Where that lives.
        slopes: Names of the slopes that are used.
        work_out: Returns the load of one host.
        part: ``control``, ``watcher``, ``owner`` (the busiest one), ``rare``
            or ``data``: to which sum the row belongs.
        note: What the figures rest on.
        mend: What would bring it within the budget, if it is over.
    """

    role: str
    mechanism: str
    module: str
    slopes: tuple[str, ...]
    work_out: Callable[[Found], Load]
    part: str
    note: str
    mend: str = ""


class Streams(NamedTuple):
    """Ends of open streams of one host, on average and of the busiest owner."""

    mean: float
    busiest: float


def count_distinct(draws: float, of: float) -> float:
    """Return how many of ``of`` alike ones some draws hit, on average.

    Examples:
        >>> round(count_distinct(100, 100))
        63
    """
    return of * (1 - math.exp(-draws / of))


def count_streams(pools: dict[str, float]) -> Streams:
    """Return how many ends of streams a host has that stay open for 30 s."""
    pings = PINGS_S * IDLE_TIMEOUT_S
    asked = count_distinct(sizes.REQUESTS_S * IDLE_TIMEOUT_S, pools["owners"])
    share = pools["most owned"] / pools["pools"]
    draws = FLEET_REQUESTS_S * share * IDLE_TIMEOUT_S
    asking = count_distinct(draws, sizes.HOSTS)
    return Streams(2 * (asked + pings), asked + asking + 2 * pings)


def count_held_pools(pools: dict[str, float]) -> float:
    """Return in how many pools a host holds permits, on average."""
    return count_distinct(sizes.HELD, pools["pools"])


def _constant(value: float, text: str) -> Amount:
    return Amount(value, text)


def _take_greater(line: Slope, measured: float) -> Amount:
    """Return what the line gives, or what the whole fleet showed if that is more."""
    amount = line.at(sizes.HOSTS)
    if amount.value >= measured:
        return amount
    text = f"measured with {sizes.HOSTS:,} hosts, where the line gives {amount.text}"
    return Amount(measured, f"{text} = {amount.value:,.0f}; taken")


def _work_out_directory(found: Found) -> Load:
    return Load(core_us=found.slopes["directory"].at(sizes.HOSTS))


def _work_out_permits(found: Found) -> Load:
    each = found.slopes["request bytes"].at(TARGET_POOL_SERVERS)
    core = found.slopes["request core"].at(TARGET_POOL_SERVERS)
    messages = _constant(MESSAGES_A_REQUEST, "ask, grant, release")
    return Load(
        state=found.slopes["permits"].at(sizes.HELD),
        messages=messages.scale(sizes.REQUESTS_S, "requests/s"),
        octets=each.scale(sizes.REQUESTS_S, "requests/s"),
        core_us=core.scale(sizes.REQUESTS_S, "requests/s"),
    )


def _work_out_renewals(found: Found) -> Load:
    held = count_held_pools(found.pools)
    rate = 1 / RENEWAL_INTERVAL_S
    one = _constant(held, "pools with permits")
    return Load(
        messages=one.scale(rate, "rounds/s"),
        octets=found.slopes["renewal bytes"].at(held).scale(rate, "rounds/s"),
        core_us=found.slopes["renewal core"].at(held).scale(rate, "rounds/s"),
    )


def _count_messages(found: Found) -> float:
    """Return the messages a second that a host sends to others."""
    parts = (_work_out_permits, _work_out_renewals, _work_out_members, _work_out_claims)
    return sum(part(found).messages.value for part in parts)


def _work_out_streams(found: Found) -> Load:
    ends = count_streams(found.pools).mean
    sent = _constant(_count_messages(found), "messages/s sent")
    core = found.slopes["stream core"].at(400).scale(1 / 400)
    return Load(
        state=found.slopes["stream memory"].at(ends / 2),
        octets=sent.scale(found.overhead, "bytes"),
        core_us=core.scale(sent.value, "messages/s"),
    )


def _count_busy_requests(found: Found) -> float:
    """Return the requests a second of the busiest owner above a mean one's."""
    share = found.pools["most owned"] / found.pools["pools"]
    return FLEET_REQUESTS_S * share - sizes.REQUESTS_S


def _work_out_busy_streams(found: Found) -> Load:
    streams = count_streams(found.pools)
    share = found.pools["most owned"] / found.pools["pools"]
    requests = _constant(_count_busy_requests(found), "requests/s more than a mean one")
    held = count_held_pools(found.pools)
    renewals = (sizes.HOSTS * share - 1) * held / RENEWAL_INTERVAL_S
    taken = requests.scale(MESSAGES_A_REQUEST, "messages")
    taken += _constant(renewals, "renewals/s more")
    core = found.slopes["stream core"].at(400).scale(1 / 400)
    memory = found.slopes["stream memory"].slope
    return Load(
        state=Amount(memory, f"{memory:,.0f}").scale(
            (streams.busiest - streams.mean) / 2, "streams more"
        ),
        messages=requests,
        octets=requests.scale(found.overhead, "bytes of stamp and sign of life"),
        core_us=core.scale(taken.value / 2, "messages/s, one end each"),
    )


def _work_out_busy_admission(found: Found) -> Load:
    chats = sizes.CHATS / found.pools["pools"]
    requests = _count_busy_requests(found)
    core = found.slopes["owner core"].at(TARGET_POOL_SERVERS)
    sent = found.slopes["owner bytes"].at(TARGET_POOL_SERVERS)
    return Load(
        state=found.slopes["chats"].at(chats).scale(found.pools["most owned"], "pools"),
        octets=sent.scale(requests, "requests/s"),
        core_us=core.scale(requests, "requests/s"),
    )


def _work_out_cache_reads(found: Found) -> Load:
    engines = sizes.SERVERS / sizes.HOSTS
    listed = found.slopes["owned"].at(sizes.SERVERS).scale(READS_S, "lists/s")
    load = _read_engines(found, engines)
    return load._replace(core_us=load.core_us + listed)


def _work_out_busy_reads(found: Found) -> Load:
    most = found.pools["most owned"] / found.pools["pools"]
    return _read_engines(found, sizes.SERVERS * (most - 1 / sizes.HOSTS))


def _read_engines(found: Found, engines: float) -> Load:
    """Return the load of reading the cache events of engines."""
    events = 2 * FLEET_REQUESTS_S / sizes.SERVERS / READS_S
    reads = engines * READS_S
    return Load(
        messages=_constant(reads, "reads of engines a second"),
        octets=found.slopes["probe bytes"].at(engines).scale(READS_S, "reads/s"),
        core_us=found.slopes["cache read core"].at(events).scale(reads, "reads/s"),
    )


def _make_watch(name: str, size: float) -> Callable[[Found], Load]:
    def work_out(found: Found) -> Load:
        value = found.slopes[f"{name} json"].at(size)
        core = found.slopes[f"{name} read"].at(size)
        return Load(
            messages=_constant(sizes.CHANGES_S, "changes/s"),
            octets=value.scale(sizes.CHANGES_S, "changes/s"),
            core_us=core.scale(sizes.CHANGES_S, "changes/s"),
        )

    return work_out


def _work_out_members(found: Found) -> Load:
    slopes = found.slopes
    return Load(
        messages=slopes["idle messages"].at(sizes.HOSTS),
        octets=_take_greater(slopes["idle bytes"], found.largest.octets),
        core_us=_take_greater(slopes["idle core"], found.largest.core_us),
    )


def _work_out_host_changes(found: Found) -> Load:
    slopes = found.slopes
    each = slopes["owners"].at(sizes.HOSTS).scale(2, "word of a loss and a return")
    listed = slopes["hosts delta"].at(sizes.HOSTS)
    adopted = slopes["hosts adopted"].at(sizes.HOSTS)
    total = each + listed + adopted
    return Load(core_us=total.scale(sizes.HOST_CHANGES_S, "changes/s"))


def _work_out_spread(found: Found) -> Load:
    each = found.slopes["change bytes"].at(sizes.HOSTS)
    core = found.slopes["configuration delta"].at(sizes.WORKSPACES)
    return Load(
        messages=_constant(4 * sizes.CHANGES_S, "4 copies of each change"),
        octets=each.scale(sizes.CHANGES_S, "changes/s"),
        core_us=core.scale(sizes.CHANGES_S, "changes/s"),
    )


def _work_out_lists(found: Found) -> Load:
    slopes = found.slopes
    parts = [slopes[n].at(sizes.SERVERS) for n in ("backend_servers delta", "placed")]
    total = parts[0] + parts[1] + slopes["viewed"].at(sizes.SERVERS)
    return Load(
        state=slopes["state"].at(sizes.SERVERS) + slopes["topology"].at(sizes.SERVERS),
        core_us=total.scale(sizes.CHANGES_S, "changes/s"),
    )


def _work_out_value(found: Found) -> Load:
    return Load(octets=found.slopes["backend_servers json"].at(sizes.SERVERS))


def _work_out_probes(found: Found) -> Load:
    rate = PROBER_COUNT * sizes.SERVERS / PROBE_INTERVAL_S / sizes.HOSTS
    ticks = found.slopes["ticked"].at(sizes.SERVERS)
    return Load(
        messages=_constant(rate, "probes/s"),
        octets=found.slopes["probe bytes"].at(rate),
        core_us=Amount(found.slopes["probe core"].slope * rate, "")._replace(
            text=f"{rate:.2f} probes/s x {found.slopes['probe core'].slope:.0f}"
        )
        + ticks,
    )


def _count_calls() -> float:
    return CALLS_PART * FLEET_REQUESTS_S


def _work_out_claims(found: Found) -> Load:
    calls = _count_calls()
    slopes = found.slopes
    one = 1 / sizes.HOSTS
    octets = Amount(slopes["call bytes"].slope, f"{slopes['call bytes'].slope:.0f}")
    messages = slopes["call messages"].slope
    records = WITNESSES * RECORD_LIFE_S * calls / sizes.HOSTS
    grants = slopes["grants"].slope * WITNESSES
    open_lists = 1 + COLLECT_S * sizes.HOST_CHANGES_S
    kept_lists = 1 + RECORD_LIFE_S * sizes.HOST_CHANGES_S
    chosen = slopes["choices"].at(sizes.HOSTS).scale(open_lists, "lists")
    listed = slopes["list memory"].at(sizes.HOSTS).scale(kept_lists, "lists")
    core = chosen + Amount(grants, f"{WITNESSES} x {slopes['grants'].slope:.3g}")
    return Load(
        state=slopes["records"].at(records) + listed,
        messages=Amount(messages, f"{messages:.3g}").scale(calls * one, "calls/s"),
        octets=octets.scale(calls * one, "calls/s"),
        core_us=core.scale(calls * one, "calls/s"),
    )


def _work_out_collector(found: Found) -> Load:
    slopes = found.slopes
    messages = slopes["collector messages"].at(sizes.HOSTS).scale(1 / COLLECT_S)
    size = slopes["collector size"].at(sizes.HOSTS)
    return Load(
        messages=messages,
        octets=size.scale(messages.value, "messages/s"),
    )


def _work_out_leases(found: Found) -> Load:
    slopes = found.slopes
    values = [slopes[f"lease {name}"].slope for name in ("messages", "bytes", "core")]
    amounts = [
        Amount(value, f"{value:.3g}").scale(LEASES_A_HOST, "leases") for value in values
    ]
    return Load(messages=amounts[0], octets=amounts[1], core_us=amounts[2])


def _work_out_events(found: Found) -> Load:
    kept = DEFAULT_LIMITS["events_kept"]
    each = found.slopes["event core"].slope
    return Load(
        state=found.slopes["event memory"].at(kept),
        core_us=Amount(each, f"{each:.3g}").scale(EVENTS_S, "events/s"),
    )


def _work_out_process(found: Found) -> Load:
    size = found.slopes["answer memory"].intercept
    return Load(state=Amount(size, "intercept of the line for open answers"))


def _work_out_tokens(found: Found) -> Load:
    each = found.slopes["answer core"].slope
    return Load(
        messages=_constant(sizes.TOKENS_S, "tokens/s"),
        core_us=Amount(each, f"{each:.3g}").scale(sizes.TOKENS_S, "tokens/s"),
    )


def _work_out_answers(found: Found) -> Load:
    line = found.slopes["answer core"]
    held = found.slopes["answer memory"].slope
    return Load(
        state=Amount(held, f"{held:,.0f}").scale(sizes.HELD, "open answers"),
        messages=_constant(sizes.REQUESTS_S, "answers/s"),
        core_us=Amount(line.intercept, f"{line.intercept:.0f}").scale(
            sizes.REQUESTS_S, "answers/s"
        ),
    )


ROLES = (
    Role(
        "entry: directory",
        "three hosts at random from a list worked out once a second",
        "oleanderpier/daemon/directory.py",
        ("directory",),
        _work_out_directory,
        "control",
        "As if each request asked first, since most chats return after the"
        " 30 s for which an address is kept.",
        "Keep the list of settled hosts until membership or the document changes.",
    ),
    Role(
        "entry: permits",
        "ask, grant and release with a pool's owner",
        "oleanderpier/placement/client.py",
        ("request bytes", "request core", "permits"),
        _work_out_permits,
        "control",
        "Memory, bytes and time of entry host and owner together: on average a host is"
        " both for as many requests as it takes in. Encoding is in this row and in"
        " the streams' row.",
    ),
    Role(
        "entry: renewals",
        "one message for each pool with permits, every 5 s",
        "oleanderpier/placement/client.py",
        ("renewal bytes", "renewal core"),
        _work_out_renewals,
        "control",
        "One permit in each pool; the permits are held for as long as an answer"
        " of the mean length takes at 49 ms a token.",
    ),
    Role(
        "peer: streams",
        "a TCP stream to each host in use, with keep-alive and stamps",
        "oleanderpier/peers/mesh.py",
        ("stream memory", "stream core", "stream growth"),
        _work_out_streams,
        "control",
        "A host's streams to owners and ping targets within 30 s, and as many that"
        " others opened. One message at a time on a stream, each with its stamp and"
        " its sign of life, which is what a stream that is little used costs. The"
        " third slope is not in the row: a receiving end's buffer grows with what it"
        " carried, up to a megabyte; a stream closes after 30 s without use.",
        "Give `make_unpacker` a `read_size` of some KB, ask for a sign of life only"
        " where nothing came back within the interval, and send messages to one host"
        " of the same moment in one write.",
    ),
    Role(
        "owner: cache events",
        "a read of each owned engine every 5 s",
        "oleanderpier/daemon/probes.py",
        ("cache read core", "owned", "probe bytes"),
        _work_out_cache_reads,
        "control",
        "A mean host; two events a request. A read's request is taken to be as long as"
        " a probe's. Each time the daemon goes through the whole list of servers.",
        "List the owned engines only when pools change.",
    ),
    Role(
        "busiest owner: streams",
        "streams from nearly every host",
        "oleanderpier/peers/mesh.py",
        ("stream memory", "stream core"),
        _work_out_busy_streams,
        "owner",
        "What the host that owns most pools has more than a mean one, by the hash of"
        " this size.",
        "Smaller shares: let a host own at most two pools, or let the hosts of one"
        " failure domain ask through a few of them. What is said of `peer: streams`"
        " helps as well.",
    ),
    Role(
        "busiest owner: admission",
        "counts, queue and the last servers of each chat",
        "oleanderpier/placement/admission.py",
        ("chats", "owner core", "owner bytes"),
        _work_out_busy_admission,
        "owner",
        "Requests more than a mean host's: ask and release taken in, a grant sent, with"
        " encoding and decoding. The chats of all its pools.",
        "At most two pools a host.",
    ),
    Role(
        "busiest owner: cache events",
        "a read of each owned engine every 5 s",
        "oleanderpier/daemon/probes.py",
        ("cache read core", "probe bytes"),
        _work_out_busy_reads,
        "owner",
        "Engines more than a mean host's.",
        "Wait for events in one long call for each engine, and let a host own at most"
        " two pools.",
    ),
    Role(
        "watcher: configuration",
        "a waiting watch and the whole value for each change",
        "oleanderpier/configuration/watch.py",
        ("configuration json", "configuration read"),
        _make_watch("configuration", sizes.WORKSPACES),
        "watcher",
        "Bytes received, if all changes are of this document.",
    ),
    Role(
        "watcher: backend_servers",
        "a waiting watch and the whole value for each change",
        "oleanderpier/configuration/watch.py",
        ("backend_servers json", "backend_servers read"),
        _make_watch("backend_servers", sizes.SERVERS),
        "watcher",
        "Bytes received, if all changes are of this document.",
        "One document for each region: a tenth of the bytes and of the time, still"
        " over for bytes if all changes are of servers; then differences from the"
        " platform.",
    ),
    Role(
        "watcher: one value",
        "the list of servers as one value of the platform",
        "oleanderpier/configuration/documents.py",
        ("backend_servers json",),
        _work_out_value,
        "value",
        "Bytes of the value, held against a megabyte.",
        "One document for each region.",
    ),
    Role(
        "peer: failure detection",
        "a ping a second, rumours, bits of who has which list",
        "oleanderpier/membership/members.py",
        ("idle bytes", "idle messages", "idle core"),
        _work_out_members,
        "control",
        "Whole fleets driven by hand, 5% of messages lost, idle; the time includes"
        " the fake network. The state is in the row of the list of servers.",
    ),
    Role(
        "peer: changes of hosts",
        "owners worked out anew, a hosts list taken in",
        "oleanderpier/placement/owners.py",
        ("owners", "hosts delta", "hosts adopted"),
        _work_out_host_changes,
        "control",
        "130 failures and 1,500 restarts a day, each with a new hosts list.",
    ),
    Role(
        "peer: changes spread",
        "differences to four hosts each, pull as repair",
        "oleanderpier/configuration/gossip.py",
        ("change bytes", "change time", "configuration delta"),
        _work_out_spread,
        "control",
        "All changes are of `configuration`.",
    ),
    Role(
        "peer: list of servers",
        "a difference applied, pools and duties worked out anew",
        "oleanderpier/configuration/store.py",
        ("state", "topology", "backend_servers delta", "placed", "viewed"),
        _work_out_lists,
        "control",
        "All changes are of `backend_servers`, on each host. The state is eight"
        " versions of both lists and a fact of each host and server.",
        "Work out only the pools of changed entries, and apply up to a second's"
        " changes at once.",
    ),
    Role(
        "prober",
        "two hosts probe a server, every 2 s each",
        "oleanderpier/membership/servers.py",
        ("probe core", "probe bytes", "ticked"),
        _work_out_probes,
        "control",
        "A new connection for each probe, as the daemon does.",
    ),
    Role(
        "witness: claims",
        "majority of seven witnesses for each call that may not be repeated",
        "oleanderpier/claims/claims.py",
        ("call bytes", "call messages", "records", "grants", "choices", "list memory"),
        _work_out_claims,
        "control",
        "As if one request in 100 may not be repeated; bytes, messages and time are"
        " in proportion to that. Each of 1,630 lists a day is kept for 604 s and is"
        " open for new keys for 30 s after the next; one that can't be closed is kept"
        " for an hour.",
    ),
    Role(
        "witness: collector",
        "proofs that a hosts list is closed, from three hosts to all",
        "oleanderpier/claims/supersession.py",
        ("collector messages", "collector size"),
        _work_out_collector,
        "rare",
        "The busiest of the three, in the 30 s after each new hosts list; with 1,630"
        " lists a day that is more than half of the time.",
        "A step between, by failure domain: collectors answer one host of each, which"
        " passes the proof on.",
    ),
    Role(
        "witness: leases",
        "a lease an engine, renewed by a majority of witnesses",
        "oleanderpier/orders/leases.py",
        ("lease messages", "lease bytes", "lease core"),
        _work_out_leases,
        "later",
        "As if each of 10,000 servers had a lease; the daemon does not use this part"
        " yet.",
        "Leases of groups of servers, such as a pool's, in place of single ones.",
    ),
    Role(
        "time line",
        "a ring of the newest events, read on demand",
        "oleanderpier/events/buffer.py",
        ("event memory", "event core"),
        _work_out_events,
        "control",
        "One event a second: some 3,300 changes of hosts a day on each host, and"
        " failed requests.",
    ),
    Role(
        "process",
        "the interpreter and the libraries",
        "oleanderpier/daemon/program.py",
        ("answer memory",),
        _work_out_process,
        "control",
        "Resident memory of the relay's process without answers.",
    ),
    Role(
        "relay: tokens",
        "an event's head checked and forwarded",
        "oleanderpier/relay/responses.py",
        ("answer core",),
        _work_out_tokens,
        "data",
        "Data path, not control.",
    ),
    Role(
        "relay: answers",
        "a connection, an attempt and an answer for each request",
        "oleanderpier/relay/attempts.py",
        ("answer core", "answer memory"),
        _work_out_answers,
        "data",
        "Data path, not control; open answers as in the row of renewals.",
    ),
)
