"""The messages in which a host reports its state and its use of servers."""

from typing import NamedTuple

from oleanderpier.replication import ReplicaSummary
from oleanderpier.utils import register_message

__all__ = [
    "CRASHES_FEATURE",
    "DOMAIN_LOADS_FEATURE",
    "LEAVING_FEATURE",
    "LIMITS_FEATURE",
    "NOTICES_FEATURE",
    "PERMITS_FEATURE",
    "REQUEST_KEYS_FEATURE",
    "CachePlacements",
    "CrashNews",
    "DomainLoads",
    "HostReport",
    "LeavingServers",
    "LimitQuery",
    "LimitReply",
    "LimitedServers",
    "PrefillEnd",
    "PrefillNotice",
    "ReportedCrash",
    "ReportedLimit",
    "ReportedQuarantine",
    "ServerPermitQuery",
    "ServerPermitRelease",
    "ServerPermitReply",
    "ServerUse",
    "SpeedNotice",
    "merge_reports",
]


class ServerUse(NamedTuple):
    """A host's use of a backend server.

    Attributes:
        in_flight: The number of the host's requests in flight there.
        responses: The number of responses since the previous report.
        failures: How many of these responses were failures of the server.
    """

    in_flight: int
    responses: int
    failures: int


# The key in ``HostReport.replica_summaries`` by which a host announces that it handles
# ``DomainLoads``. Hosts of earlier versions close the stream on an unknown message, but
# ignore summaries of unknown key spaces.
DOMAIN_LOADS_FEATURE = "feature:domain_loads"
# The same for ``LeavingServers``.
LEAVING_FEATURE = "feature:leaving_servers"
# The same for ``CrashNews``.
CRASHES_FEATURE = "feature:crash_news"
# The same for keys of whole requests in ``CrashNews``. Hosts without it take them for
# prompt parts that no request has.
REQUEST_KEYS_FEATURE = "feature:request_keys"
# The same for ``LimitedServers`` and ``LimitQuery``.
LIMITS_FEATURE = "feature:server_limits"
# The same for ``ServerPermitQuery``, ``ServerPermitRelease`` and ``PrefillEnd``.
PERMITS_FEATURE = "feature:server_permits"
# The same for ``PrefillNotice`` and ``SpeedNotice``. It is announced only while a
# service is known to be uneven.
NOTICES_FEATURE = "feature:prefill_notices"


@register_message(135)
class HostReport(NamedTuple):
    """A host's periodic report to the other hosts.

    Attributes:
        caller_address: Where callers connect to the host, ``IP:PORT``.
        ready: Whether it accepts requests of callers.
        platform_reachable: Whether the platform responds to it.
        replica_summaries: The summary of each of its replicas, by key space.
        servers: Its use of each backend server, by server id.
        placements: Pairs of the key of a prompt part and the id of the server
            to which the host sent it, since the previous report.
    """

    caller_address: str
    ready: bool
    platform_reachable: bool
    replica_summaries: dict[str, ReplicaSummary]
    servers: dict[str, ServerUse]
    placements: list[tuple[str, str]]


@register_message(136)
class CachePlacements(NamedTuple):
    """The known contents of the servers' caches, for a host that has just started.

    Attributes:
        placements: Pairs of the key of a cached prompt part and a server's id.
    """

    placements: list[tuple[str, str]]


@register_message(137)
class DomainLoads(NamedTuple):
    """The requests in flight of the hosts of a failure domain.

    Attributes:
        failure_domain: The failure domain.
        hosts: The number of hosts whose requests these are.
        age_s: The mean time since the hosts counted them, in seconds.
        interval_s: The time until the next total, in seconds.
        in_flight: The number of requests in flight, by server id.
    """

    failure_domain: str
    hosts: int
    age_s: float
    interval_s: float
    in_flight: dict[str, int]


@register_message(138)
class LeavingServers(NamedTuple):
    """Backend servers that have said in a response that they leave.

    Attributes:
        servers: Pairs of a server's id and the start of its run in Unix
            milliseconds, 0 if unknown.
    """

    servers: list[tuple[str, int]]


class ReportedCrash(NamedTuple):
    """A crash of a backend server.

    Attributes:
        identity: The server's id.
        born_ms: The start of the run that ended, in Unix milliseconds, 0 if unknown.
        age_s: The seconds since it ended.
        suspects: The keys of the requests that may have caused it: ids of prompt parts,
            and keys of requests as a whole.
    """

    identity: str
    born_ms: int
    age_s: float
    suspects: list[tuple[str, ...]]


class ReportedQuarantine(NamedTuple):
    """A prompt part, or the key of a request as a whole, that is refused.

    Attributes:
        part: The part's id, or the key.
        age_s: The seconds since the quarantine began.
        term_s: Its length, in seconds.
        group: The ids of the parts that were in the same crashes.
    """

    part: str
    age_s: float
    term_s: float
    group: list[str]


@register_message(139)
class CrashNews(NamedTuple):
    """Crashes of backend servers, and what is known of the requests behind them.

    Attributes:
        crashes: Crashes with suspects.
        sound: Pairs of the id of a prompt part under suspicion and the seconds since
            a request with it was answered.
        quarantines: The parts with which requests are refused.
    """

    crashes: list[ReportedCrash]
    sound: list[tuple[str, float]]
    quarantines: list[ReportedQuarantine]


class ReportedLimit(NamedTuple):
    """How many requests a backend server takes from all hosts together.

    Attributes:
        identity: The server's id.
        born_ms: The start of the run that said so, in Unix milliseconds, 0 if unknown.
        per_s: The requests per second; infinite if it no longer names a limit.
        age_s: The seconds since it said so.
    """

    identity: str
    born_ms: int
    per_s: float
    age_s: float


@register_message(140)
class LimitedServers(NamedTuple):
    """Backend servers that have named a limit, or no longer do.

    Attributes:
        limits: What they have said.
    """

    limits: list[ReportedLimit]


@register_message(141)
class LimitQuery(NamedTuple):
    """Asks the owner of a server's limit whether one more request may be sent.

    Attributes:
        number: The number of the query, unique on the sending host.
        limit: The limit as the sending host knows it.
    """

    number: int
    limit: ReportedLimit


@register_message(142)
class LimitReply(NamedTuple):
    """Answers a ``LimitQuery``.

    Attributes:
        number: The number of the query.
        decision: A ``LimitDecision``.
        wait_s: The seconds until the server takes the next request; 0 unless its limit
            is used up.
    """

    number: int
    decision: int
    wait_s: float


@register_message(143)
class ServerPermitQuery(NamedTuple):
    """Asks the owner of a server whether a request may be sent to it.

    Attributes:
        number: The number of the query, unique on the sending host.
        identity: The server's id.
        born_ms: The start of the server's run, in Unix milliseconds, 0 if unknown.
        slots: How many requests the server runs at a time, 0 if unknown.
        rate_per_s: The requests per second that the owner grants, 0 without a limit.
        rate_burst: The requests that it grants at once at most, 0 without a limit.
        urgency: 0 to 9; 0 is the most urgent.
        workspace: The name of the workspace, empty without one.
        is_repeat: Whether it is a retry, a hedged request or a resumed stream.
        uncached_tokens: Prompt tokens that are not cached at the server, as far as the
            sending host knows.
        max_wait_s: How long the request may wait at the owner; 0 to decide now.
        expires_after_s: The seconds after which a permit expires without a release.
    """

    number: int
    identity: str
    born_ms: int
    slots: int
    rate_per_s: float
    rate_burst: float
    urgency: int
    workspace: str
    is_repeat: bool
    uncached_tokens: int
    max_wait_s: float
    expires_after_s: float


@register_message(144)
class ServerPermitReply(NamedTuple):
    """Answers a ``ServerPermitQuery``, once its request is decided.

    Attributes:
        number: The number of the query.
        decision: A ``PermitOutcome`` other than ``QUEUED``.
        wait_s: The expected seconds until there is room, 0 if it is granted.
        in_flight: The permits of the server that are held.
    """

    number: int
    decision: int
    wait_s: float
    in_flight: int


@register_message(145)
class ServerPermitRelease(NamedTuple):
    """Returns a permit, or withdraws a query that is not decided.

    The load is what the server stated last; -1 stands for unknown.

    Attributes:
        number: The number of the query.
        running: The requests that the server ran.
        waiting: The requests that waited at it.
        slots: How many it runs at a time.
        slow_factor: How long work took there, as a multiple of the usual time.
    """

    number: int
    running: int
    waiting: int
    slots: int
    slow_factor: float


@register_message(146)
class PrefillEnd(NamedTuple):
    """Says that the server has read the prompt of a request with a permit.

    Attributes:
        number: The number of the query.
    """

    number: int


@register_message(147)
class PrefillNotice(NamedTuple):
    """Says that a host sends a long prompt to a server now, which reads it.

    Attributes:
        identity: The server's id.
        born_ms: The start of the server's run, in Unix milliseconds, 0 if unknown.
        tokens: The tokens of the prompt that the server has not cached.
        expected_s: How long it is expected to read them, if it reads no other prompt.
    """

    identity: str
    born_ms: int
    tokens: int
    expected_s: float


@register_message(148)
class SpeedNotice(NamedTuple):
    """Says how long work takes on a server.

    Attributes:
        identity: The server's id.
        born_ms: The start of the server's run, in Unix milliseconds, 0 if unknown.
        slow_factor: How long it takes, as a multiple of the usual time.
        age_s: The seconds since the server said so.
    """

    identity: str
    born_ms: int
    slow_factor: float
    age_s: float


_NO_USE = ServerUse(0, 0, 0)


def merge_reports(earlier: HostReport | None, later: HostReport) -> HostReport:
    """Merge two successive reports of a host into one.

    Responses, failures and placements are added up; everything else is taken
    from the later report.

    Examples:
        >>> first = {"s1": ServerUse(4, 3, 1)}
        >>> earlier = HostReport("10.0.0.1:80", True, True, {}, first, [("k", "s1")])
        >>> later = earlier._replace(servers={"s1": ServerUse(2, 1, 0)})
        >>> merge_reports(earlier, later).servers
        {'s1': ServerUse(in_flight=2, responses=4, failures=1)}
    """
    if earlier is None:
        return later
    servers = {}
    for identity in {*earlier.servers, *later.servers}:
        before = earlier.servers.get(identity, _NO_USE)
        after = later.servers.get(identity, _NO_USE)
        servers[identity] = ServerUse(
            after.in_flight,
            before.responses + after.responses,
            before.failures + after.failures,
        )
    placements = earlier.placements + later.placements
    return later._replace(servers=servers, placements=placements)
