"""Simulation of one load pattern under one routing policy."""

import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import NamedTuple

from bench.emulator.engines import Engine, Job
from bench.emulator.outboxes import NETWORK_LATENCY_S, DelayedOutbox, HostMessage
from bench.emulator.outcomes import (
    WINDOW_S,
    Outcome,
    Request,
    compute_on_time_ratio,
    compute_over_ratio,
    compute_worst_over_ratio,
)
from bench.emulator.patterns import Disturbance, Pattern, RequestClass
from bench.emulator.policies import HostContext, HostReport, Policy
from bench.emulator.statements import EngineStatements, Statement
from oleanderpier.fleet import FleetSite, ReportTiming
from oleanderpier.routing import PromptPrefix, ServerQuery
from oleanderpier.utils import ManualTimers

__all__ = ["World", "run_pattern"]

# Time from the crash of an engine until its entry is removed from the hosts' rosters.
REMOVAL_DELAY_S = 3.6
TICK_S = 0.05
MAX_ATTEMPTS = 2
# The users' limit on the load of an engine: the mean over all engines times the
# factor, plus the extra requests.
LOAD_LIMIT_FACTOR = 2.0
LOAD_LIMIT_EXTRA_REQUESTS = 3.0
SERVICE = "engines"
# Added to the exponent of the random draw of a prompt: 0 draws all prompts equally
# often, higher values favour low indexes.
PROMPT_SKEW = 0.3


class _ReportStream(NamedTuple):
    """The reports of one host to the hosts of its own domain, or to all others.

    Attributes:
        sender: The host.
        receivers: The hosts that receive them.
        interval_s: The time between two reports, in seconds.
        placements: The placements for the next report.
    """

    sender: int
    receivers: list[int]
    interval_s: float
    placements: list[tuple[str, str]]


class World:
    """The engines, hosts and load of one simulation run.

    Args:
        pattern: The load pattern.
        make_policy: Creates the routing policy of one host.
        seed: Seed of the random arrivals, prompts and lengths.
    """

    def __init__(
        self,
        pattern: Pattern,
        make_policy: Callable[[HostContext], Policy],
        seed: int,
    ) -> None:
        self._pattern = pattern
        self._make_policy = make_policy
        self.timers = ManualTimers()
        self._rng = random.Random(seed)
        self._engines: dict[str, Engine] = {}
        self._leaving: set[str] = set()
        self._statements = EngineStatements(self.timers)
        self._policies: list[Policy | None] = []
        self._requests: list[Request] = []
        self._counts: Counter[str] = Counter()
        self._prompts_read: set[str] = set()
        self._report_streams: dict[int, list[_ReportStream]] = defaultdict(list)
        self._sends: list[tuple[float, bool]] = []
        self._selection_cpu_s = 0.0
        self._rate_factors = {
            request_class["name"]: 1.0 for request_class in pattern["classes"]
        }
        self._hot_key_ratios: dict[str, float] = {}
        self._names = [f"h{host}" for host in range(pattern["hosts"])]
        self._hosts_by_name = {name: host for host, name in enumerate(self._names)}
        domains = pattern["failure_domains"]
        self._domain_hosts = [self._names[domain::domains] for domain in range(domains)]
        for host in range(pattern["hosts"]):
            self._policies.append(self._make_host(host))
        for _ in range(pattern["engines"]):
            self._add_engine()

    def run(self) -> Outcome:
        """Run the simulation to its end and return the results."""
        pattern, timers = self._pattern, self.timers
        for request_class in pattern["classes"]:
            self._schedule_arrival(request_class)
        for disturbance in pattern["troubles"]:
            timers.call_later(
                disturbance["at_s"],
                lambda disturbance=disturbance: self._apply_disturbance(disturbance),
            )
        for host in range(pattern["hosts"]):
            self._schedule_reports(host)
        max_deadline_s = max(
            request_class["deadline_s"] for request_class in pattern["classes"]
        )
        for _ in range(round((pattern["length_s"] + max_deadline_s) / TICK_S)):
            timers.advance(TICK_S)
        return self._summarize()

    def _make_host(self, host: int) -> Policy:
        site = FleetSite(
            self._names[host],
            self._find_domain(self._names[host]),
            self._find_domain,
            lambda: self._domain_hosts[host % self._pattern["failure_domains"]],
            lambda: self._names,
        )
        rng = random.Random(self._rng.random())
        policy = self._make_policy(
            HostContext(
                self.timers,
                rng,
                site,
                DelayedOutbox(self.timers, self._names[host], self.deliver_message),
            )
        )
        for name in self._engines:
            policy.update_engine(name, name in self._leaving)
        return policy

    def _find_domain(self, name: str) -> str:
        return f"d{self._hosts_by_name[name] % self._pattern['failure_domains']}"

    def deliver_message(self, sender: str, receiver: str, message: HostMessage) -> None:
        """Deliver a message of one host to another one, if it is running."""
        policy = self._policies[self._hosts_by_name[receiver]]
        if policy is not None and self._policies[self._hosts_by_name[sender]]:
            policy.receive_message(sender, message)

    def _list_hosts(self) -> list[int]:
        return [n for n, policy in enumerate(self._policies) if policy is not None]

    def _update_all_hosts(self, engine: str, leaving: bool | None) -> None:
        for policy in self._policies:
            if policy is not None:
                policy.update_engine(engine, leaving)

    def _add_engine(self) -> None:
        name = f"e{len(self._engines)}"
        pattern = self._pattern
        self._engines[name] = Engine(
            self.timers, pattern["slots"], pattern["capacity_tokens"]
        )
        self._update_all_hosts(name, False)

    def _schedule_arrival(self, request_class: RequestClass) -> None:
        rate = request_class["per_s"] * self._rate_factors[request_class["name"]]
        self.timers.call_later(
            self._rng.expovariate(rate), lambda: self._handle_arrival(request_class)
        )

    def _handle_arrival(self, request_class: RequestClass) -> None:
        if self.timers.now() >= self._pattern["length_s"]:
            return
        self._schedule_arrival(request_class)
        request = Request(
            request_class, self._make_query(request_class), self.timers.now()
        )
        self._requests.append(request)
        hosts = self._list_hosts()
        if hosts:
            self._send(request, self._rng.choice(hosts))

    def _make_query(self, request_class: RequestClass) -> ServerQuery:
        """Return a query for a random prompt of a class.

        The draw favours prompts with low indexes; a hot key is the prompt with index 0.
        A class without prompt parts yields a query without prefixes.
        """
        if not request_class["chain"]:
            return ServerQuery(SERVICE)
        last = request_class["chain"][-1]
        prompt_index = int(last["things"] * self._rng.random() ** (1 + PROMPT_SKEW))
        if self._rng.random() < self._hot_key_ratios.get(request_class["name"], 0.0):
            prompt_index = 0
        parts, tokens = [], 0
        for level in request_class["chain"]:
            tokens += level["tokens"]
            key = (
                f"{request_class['name']}-{level['tokens']}"
                f"-{prompt_index % level['things']}"
            )
            parts.append(PromptPrefix(key, tokens))
        return ServerQuery(SERVICE, tuple(parts))

    def _send(self, request: Request, host: int) -> None:
        policy = self._policies[host]
        if policy is None or len(request.tried_engines) >= MAX_ATTEMPTS:
            request.is_failed = True
            return
        started_s = time.process_time()
        selection = policy.select(request.query, request.tried_engines)
        self._selection_cpu_s += time.process_time() - started_s
        self._counts["choices"] += 1
        if selection is None:
            request.is_failed = True
            return
        request.tried_engines.add(selection.engine)
        policy.begin_request(request.query, selection.engine)
        self._record_overload(selection.engine)
        sent_s = self.timers.now()
        engine = self._engines[selection.engine]
        source = (
            self._engines.get(selection.copy_source) if selection.copy_source else None
        )

        def handle_end(complete: bool) -> None:
            if self._policies[host] is not policy:
                return
            took_s = self.timers.now() - sent_s
            if complete and self._pattern["states_speed"]:
                policy.receive_load(selection.engine, engine.state_load())
            policy.end_request(selection.engine, not complete, took_s)
            request.is_complete = complete
            if not complete:
                self._send(request, host)

        if not engine.alive:
            self.timers.call_later(NETWORK_LATENCY_S, lambda: handle_end(False))
            return
        statement = self._statements.record_send(host, selection.engine)
        if statement is not None:
            self.timers.call_later(
                NETWORK_LATENCY_S,
                lambda: self._deliver_statement(policy, selection.engine, statement),
            )
        if statement is not None and statement.wait_s:
            self.timers.call_later(
                NETWORK_LATENCY_S, lambda: self._retry(request, host, selection.engine)
            )
            return
        job = self._make_job(request, handle_end)
        self._record_prefill_cost(request, engine.submit(job, source))

    def _deliver_statement(
        self, policy: Policy, engine: str, statement: Statement
    ) -> None:
        if policy in self._policies:
            policy.receive_statement(engine, statement)

    def _retry(self, request: Request, host: int, engine: str) -> None:
        """Send a request again that an engine has refused."""
        policy = self._policies[host]
        if policy is not None:
            policy.end_refused_request(engine)
        self._send(request, host)

    def _make_job(self, request: Request, on_end: Callable[[bool], None]) -> Job:
        request_class, per_event = (
            request.request_class,
            self._pattern["tokens_an_event"],
        )
        events = max(1, round(self._rng.expovariate(1 / request_class["events"])))

        def record_event(number: int) -> None:
            if request.first_event_s is None:
                request.first_event_s = self.timers.now()

        return Job(
            request.query.prefixes,
            max(1, round(self._rng.expovariate(1 / request_class["own_tokens"]))),
            events * per_event,
            per_event,
            record_event,
            on_end,
        )

    def _record_prefill_cost(self, request: Request, cost) -> None:
        key = request.query.cache_key
        if key and key in self._prompts_read:
            self._counts["again"] += cost.reread_tokens
        self._prompts_read.add(key)
        self._counts["copied"] += cost.copied_tokens

    def _record_overload(self, engine: str) -> None:
        loads = [e.count_requests() for e in self._engines.values() if e.alive]
        mean = sum(loads) / max(1, len(loads))
        over = self._engines[engine].count_requests() > (
            LOAD_LIMIT_FACTOR * mean + LOAD_LIMIT_EXTRA_REQUESTS
        )
        self._sends.append((self.timers.now(), over))

    def _schedule_reports(self, host: int) -> None:
        """Start a host's reports, at the intervals of ``ReportTiming``."""
        for in_domain in (True, False):
            receivers = self._list_report_receivers(host, in_domain)
            if receivers:
                interval_s = ReportTiming().compute_interval_s(
                    in_domain, len(receivers)
                )
                stream = _ReportStream(host, receivers, interval_s, [])
                self._report_streams[host].append(stream)
                self.timers.call_later(
                    self._rng.uniform(0.0, interval_s),
                    lambda stream=stream: self._send_report(stream),
                )

    def _list_report_receivers(self, host: int, in_domain: bool) -> list[int]:
        """Return the other hosts of a host's own domain, or those of all others."""
        domains = self._pattern["failure_domains"]
        return [
            other
            for other in range(self._pattern["hosts"])
            if other != host and (other % domains == host % domains) == in_domain
        ]

    def _send_report(self, stream: "_ReportStream") -> None:
        """Send a host's report to a group of hosts, with the network latency."""
        self.timers.call_later(stream.interval_s, lambda: self._send_report(stream))
        policy = self._policies[stream.sender]
        if policy is None:
            return
        report = policy.collect_report()
        # Placements that are new have to reach both groups.
        for other in self._report_streams[stream.sender]:
            other.placements.extend(report.placements)
        report = report._replace(placements=list(stream.placements))
        stream.placements.clear()
        self.timers.call_later(
            NETWORK_LATENCY_S, lambda: self._deliver_report(stream, report)
        )

    def _deliver_report(self, stream: "_ReportStream", report: HostReport) -> None:
        for host in stream.receivers:
            if self._policies[host] is not None:
                self._policies[host].receive_report(self._names[stream.sender], report)

    def _apply_disturbance(self, disturbance: Disturbance) -> None:
        _DISTURBANCE_HANDLERS[disturbance["kind"]](self, disturbance)

    def _list_available(self) -> list[str]:
        return [
            name
            for name, engine in self._engines.items()
            if engine.alive and name not in self._leaving
        ]

    def _list_class_names(self, disturbance: Disturbance) -> list[str]:
        return (
            [disturbance["name"]] if "name" in disturbance else list(self._rate_factors)
        )

    def _start_burst(self, disturbance: Disturbance) -> None:
        names = self._list_class_names(disturbance)
        for name in names:
            self._rate_factors[name] *= disturbance["x"]

        def restore() -> None:
            for name in names:
                self._rate_factors[name] /= disturbance["x"]

        self.timers.call_later(disturbance["for_s"], restore)

    def _start_hot_key(self, disturbance: Disturbance) -> None:
        for name in self._list_class_names(disturbance):
            self._hot_key_ratios[name] = disturbance["share"]
        self.timers.call_later(disturbance["for_s"], self._hot_key_ratios.clear)

    def _crash_engines(self, disturbance: Disturbance) -> None:
        for name in self._list_available()[: disturbance["count"]]:
            self._engines[name].crash()
            self.timers.call_later(
                REMOVAL_DELAY_S, lambda name=name: self._update_all_hosts(name, None)
            )

    def _slow_engines(self, disturbance: Disturbance) -> None:
        engines = [
            self._engines[n] for n in self._list_available()[: disturbance["count"]]
        ]
        for engine in engines:
            engine.slowdown_factor = disturbance["x"]

        def restore() -> None:
            for engine in engines:
                engine.slowdown_factor = 1.0

        self.timers.call_later(disturbance["for_s"], restore)

    def _add_engines(self, disturbance: Disturbance) -> None:
        for _ in range(disturbance["count"]):
            self._add_engine()

    def _mark_engines_leaving(self, disturbance: Disturbance) -> None:
        for name in self._list_available()[: disturbance["count"]]:
            self._leaving.add(name)
            self._update_all_hosts(name, True)

    def _let_engines_ask_for_time(self, disturbance: Disturbance) -> None:
        self._statements.start_asking(
            self._list_available()[: disturbance["count"]],
            disturbance["x"],
            disturbance["for_s"],
        )

    def _let_engines_say_leaving(self, disturbance: Disturbance) -> None:
        """Let engines say that they leave before the hosts get it from the platform.

        Hosts that are cut off from the platform never get it from there; none does if
        the engines stay.
        """
        cut_off = round(disturbance.get("share", 0.0) * len(self._policies))
        for name in self._list_available()[: disturbance["count"]]:
            self._leaving.add(name)
            self._statements.start_leaving(name)
            if "for_s" in disturbance:
                self.timers.call_later(
                    disturbance["for_s"],
                    lambda name=name: self._mark_leaving(name, cut_off),
                )

    def _mark_leaving(self, engine: str, first_host: int) -> None:
        for policy in self._policies[first_host:]:
            if policy is not None:
                policy.update_engine(engine, True)

    def _kill_hosts(self, disturbance: Disturbance) -> None:
        count = round(disturbance["share"] * len(self._policies))
        for host in range(count):
            self._policies[host] = None

        def restart() -> None:
            for host in range(count):
                self._policies[host] = self._make_host(host)

        self.timers.call_later(disturbance["for_s"], restart)

    def _summarize(self) -> Outcome:
        requests, counts = self._requests, self._counts
        delays_s = sorted(
            r.first_event_s - r.sent_s for r in requests if r.first_event_s
        )
        windows = [
            compute_on_time_ratio(
                [r for r in requests if int(r.sent_s / WINDOW_S) == index]
            )
            for index in range(int(self._pattern["length_s"] / WINDOW_S))
        ]
        return Outcome(
            requests=len(requests),
            on_time=compute_on_time_ratio(requests),
            served=sum(r.is_complete for r in requests) / len(requests),
            worst_window=min(windows),
            p95_s=delays_s[int(0.95 * len(delays_s))],
            read_again=counts["again"] / len(requests),
            copied=counts["copied"] / len(requests),
            over_limit=compute_over_ratio(self._sends),
            worst_over_limit=compute_worst_over_ratio(self._sends),
            choice_us=1e6 * self._selection_cpu_s / counts["choices"],
            windows=windows,
            unwanted=self._statements.unwanted_sends / len(requests),
            refused_sends=self._statements.refused_sends / len(requests),
            failed=sum(r.is_failed for r in requests) / len(requests),
        )


def run_pattern(
    pattern: Pattern,
    make_policy: Callable[[HostContext], Policy],
    seed: int,
) -> Outcome:
    """Run a pattern under a routing policy.

    Args:
        pattern: The load pattern.
        make_policy: Creates the routing policy of one host.
        seed: Seed of the random numbers.
    """
    return World(pattern, make_policy, seed).run()


_DISTURBANCE_HANDLERS = {
    "burst": World._start_burst,
    "hot_key": World._start_hot_key,
    "crash": World._crash_engines,
    "slow": World._slow_engines,
    "join": World._add_engines,
    "leave": World._mark_engines_leaving,
    "herd_kill": World._kill_hosts,
    "ask_for_time": World._let_engines_ask_for_time,
    "say_leaving": World._let_engines_say_leaving,
}
