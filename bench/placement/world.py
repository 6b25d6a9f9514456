"""Simulation of the engines and chats of one run, independent of the router."""

import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

from bench.placement.engines import Engine, Stream, Turn
from bench.placement.samples import LoadSamples
from bench.placement.scenarios import (
    CACHE_EVENT_DELAY_S,
    CACHE_EVENT_LOSS_RATIO,
    DRAIN_S,
    FIRST_TOKEN_TARGETS_S,
    SAMPLE_INTERVAL_S,
    Report,
    Scenario,
)
from oleanderpier.utils import ManualTimers

__all__ = ["World"]

CHAT_END_PROBABILITY = 0.08
SAME_HOST_PROBABILITY = 0.8


class Chat:
    """A chat that alternates between turns and pauses.

    Each chat has its own random numbers, so that its turns are the same for all
    routers.

    Args:
        number: Number of the chat, unique in the run.
        workspace: Name of the workspace that it belongs to.
        continues: Returns whether the chat starts further turns.
        seed: Seed of the run.

    Attributes:
        work_class: Name of the class of all its requests.
        host_position: Position of its usual entry host in the list of hosts, from 0
            to 1.
        prompt_tokens: Length of its next prompt, in tokens.
        reusable_tokens: Tokens of that prompt that were part of earlier turns.
    """

    def __init__(self, number: int, workspace: str, continues: Callable, seed: int):
        self.name = f"chat-{number}"
        self.workspace = workspace
        self.continues = continues
        self.rng = random.Random(f"{seed}-{number}")
        self.work_class = self.rng.choice(list(FIRST_TOKEN_TARGETS_S))
        self.host_position = self.rng.random()
        self.prompt_tokens = self.rng.randrange(300, 3_000)
        self.reusable_tokens = 0

    def make_turn(self, number: int) -> Turn:
        """Return the next turn of the chat."""
        output_tokens = self.rng.randrange(60, 200)
        return Turn(
            number,
            self.name,
            self.workspace,
            self.work_class,
            self.prompt_tokens,
            self.reusable_tokens,
            output_tokens,
        )

    def record_turn(self, turn: Turn) -> None:
        """Extend the prompt by a turn's response and the next message."""
        self.reusable_tokens = turn.prompt_tokens + turn.output_tokens
        self.prompt_tokens = self.reusable_tokens + self.rng.randrange(20, 300)


class World:
    """The engines, hosts and chats of one run.

    Args:
        scenario: Sizes and events of the run.
        router_class: Class of the router, which is created with this object.

    Attributes:
        engines: The engines by name, including those that are leaving.
        published: Published entry of each engine.
        hosts: Names of the hosts that run.
        samples: Samples of the load balance.
        router: The router under test.
    """

    def __init__(self, scenario: Scenario, router_class: type):
        self.scenario = scenario
        self.timers = ManualTimers()
        self.engines: dict[str, Engine] = {}
        self.published: dict[str, dict] = {}
        self.hosts = [f"host-{i}" for i in range(scenario.hosts)]
        self.rng = random.Random(scenario.seed)
        self._chat_count = 0
        self._turn_count = 0
        self._replacements_due = 0.0
        self._token_counts = Counter()
        self._requests_by_class, self._refused_by_class, self._late_by_class = (
            Counter(),
            Counter(),
            Counter(),
        )
        self._surge_counts = defaultdict(Counter)
        self._engine_count = 0
        for index in range(scenario.engines):
            self._add_engine(f"domain-{index % scenario.failure_domains}")
        self.samples = LoadSamples(
            self.timers, self.engines, lambda: list(self.published.values())
        )
        self.samples.update_engines()
        self.router = router_class(self)

    def run(self) -> Report:
        """Run the scenario and return its report."""
        scenario, timers = self.scenario, self.timers
        timers.advance(1.0)
        for _ in range(scenario.chats):
            self._start_chat(self._choose_workspace(), lambda: True)
        if scenario.surge_chats:
            timers.call_later(scenario.surge_start_s, self._start_surge)
        if scenario.owner_killed_s is not None:
            timers.call_later(scenario.owner_killed_s, self.router.kill_owner)
        if scenario.replaced_ratio_per_minute:
            interval_s = 60 / (scenario.replaced_ratio_per_minute * scenario.engines)
            timers.subscribe(
                max(interval_s, scenario.min_publish_interval_s), self._replace_engines
            )
        timers.subscribe(SAMPLE_INTERVAL_S, self._record_sample)
        timers.advance(scenario.warm_up_s)
        bytes_before = self.router.count_sent_bytes()
        timers.advance(scenario.length_s - scenario.warm_up_s)
        return self._make_report(self.router.count_sent_bytes() - bytes_before)

    def list_live_engines(self) -> list[Engine]:
        """Return the engines that are not leaving."""
        return [
            self.engines[name]
            for name, server in self.published.items()
            if server["state"] == "live"
        ]

    def remove_host(self, host: str) -> None:
        """Remove a host, so that chats use the other hosts from now on."""
        self.hosts.remove(host)

    def _make_report(self, sent_bytes: int) -> Report:
        scenario, samples = self.scenario, self.samples
        ratios = sorted(samples.ratios) or [0.0]
        counted_s = scenario.length_s - scenario.warm_up_s
        requests = self._requests_by_class.total()

        def compute_ratios(counter: Counter) -> dict[str, float]:
            return {
                name: counter[name] / max(1, self._requests_by_class[name])
                for name in FIRST_TOKEN_TARGETS_S
            }

        on_time = {
            kind: counts["on_time"] / max(1, counts["asked"])
            for kind, counts in self._surge_counts.items()
        }
        return Report(
            router=self.router.name,
            requests=requests,
            reuse=self._token_counts["reused"] / max(1, self._token_counts["reusable"]),
            ratio_p50=ratios[len(ratios) // 2],
            ratio_p99=ratios[math.ceil(0.99 * len(ratios)) - 1],
            ratio_worst=ratios[-1],
            ratio_all=samples.worst_overall_ratio,
            samples=len(samples.ratios),
            over_bound=samples.over_bound,
            over_unrounded=samples.over_unrounded,
            stayed_over=samples.stayed_over,
            migrated=self.router.migrations / max(1, self._turn_count),
            refused=compute_ratios(self._refused_by_class),
            late=compute_ratios(self._late_by_class),
            quiet_on_time=on_time.get("quiet", 0.0),
            surging_on_time=on_time.get("surging", 0.0),
            requests_a_host=requests / counted_s / scenario.hosts,
            control_bytes=sent_bytes / counted_s / scenario.hosts,
            control_bytes_a_request=sent_bytes / max(1, requests),
        )

    def _add_engine(self, failure_domain: str) -> None:
        scenario = self.scenario
        name = f"engine-{self._engine_count}"
        self._engine_count += 1
        engine = Engine(
            name, scenario.slots, scenario.cache_capacity_tokens, self.timers
        )
        engine.on_cache_event = self._emit_cache_event
        self.engines[name] = engine
        self.published[name] = {
            "name": name,
            "failure_domain": failure_domain,
            "kind": "engine",
            "address": "127.0.0.1",
            "port": 1,
            "provides": ["share-explainer"],
            "slots": scenario.slots,
            "state": "live",
            "checks_fencing": True,
        }

    def _replace_engines(self) -> None:
        """Replace as many engines as are due, each in its own failure domain."""
        scenario = self.scenario
        interval_s = 60 / (scenario.replaced_ratio_per_minute * scenario.engines)
        self._replacements_due += max(1.0, scenario.min_publish_interval_s / interval_s)
        count, self._replacements_due = (
            int(self._replacements_due),
            self._replacements_due % 1,
        )
        leaving = [e.name for e in self.rng.sample(self.list_live_engines(), count)]
        for name in leaving:
            self.published[name] = {**self.published[name], "state": "leaving"}
            self._add_engine(self.published[name]["failure_domain"])
        self._publish()
        self.timers.call_later(DRAIN_S, lambda: self._remove_engines(leaving))

    def _remove_engines(self, names: list[str]) -> None:
        for name in names:
            del self.published[name]
            del self.engines[name]
        if not self.scenario.min_publish_interval_s:
            self._publish()

    def _publish(self) -> None:
        self.samples.update_engines()
        self.router.update_engines()

    def _emit_cache_event(self, name: str, kind: str, chat: str) -> None:
        self.router.handle_immediate_cache_event(name, kind, chat)
        if self.rng.random() >= CACHE_EVENT_LOSS_RATIO:
            self.timers.call_later(
                CACHE_EVENT_DELAY_S,
                lambda: self.router.handle_cache_event(name, kind, chat),
            )

    def _choose_workspace(self) -> str:
        indexes = [0] * 3 + [1] * 3 + list(range(self.scenario.workspaces))
        return f"workspace-{self.rng.choice(indexes)}"

    def _start_surge(self) -> None:
        end_s = self.scenario.surge_end_s
        for index in range(self.scenario.surge_chats):
            self._start_chat(
                f"workspace-{index % 2}", lambda: self.timers.now() < end_s
            )

    def _start_chat(self, workspace: str, continues: Callable[[], bool]) -> None:
        self._chat_count += 1
        chat = Chat(self._chat_count, workspace, continues, self.scenario.seed)
        first_s = chat.rng.uniform(0, self.scenario.mean_pause_s)
        self.timers.call_later(first_s, lambda: self._start_turn(chat))

    def _start_turn(self, chat: Chat) -> None:
        if not chat.continues():
            return
        self._turn_count += 1
        turn = chat.make_turn(self._turn_count)
        position = (
            chat.host_position
            if chat.rng.random() < SAME_HOST_PROBABILITY
            else chat.rng.random()
        )
        self._send_turn(chat, turn, self.hosts[int(position * len(self.hosts))])

    def _end_turn(self, chat: Chat, turn: Turn, ran: bool) -> None:
        if ran:
            chat.record_turn(turn)
        if chat.rng.random() < CHAT_END_PROBABILITY:
            self._start_chat(chat.workspace, chat.continues)
        else:
            pause_s = chat.rng.expovariate(1 / self.scenario.mean_pause_s)
            self.timers.call_later(pause_s, lambda: self._start_turn(chat))

    def _send_turn(self, chat: Chat, turn: Turn, entry: str) -> None:
        sent_s = self.timers.now()
        counted = sent_s >= self.scenario.warm_up_s
        in_surge = self.scenario.surge_start_s < sent_s < self.scenario.surge_end_s
        surging = turn.workspace in ("workspace-0", "workspace-1")
        surge_counts = self._surge_counts["surging" if surging else "quiet"]
        self._requests_by_class[turn.work_class] += counted
        surge_counts["asked"] += in_surge

        def on_assigned(engine: str | None, release: Callable[[], None]) -> Any:
            if engine is None or engine not in self.engines:
                release()
                self._refused_by_class[turn.work_class] += counted
                self._end_turn(chat, turn, ran=False)
                return None
            stream = Stream(turn, on_first_token, lambda: on_end(release))
            self.engines[engine].submit(stream)
            return stream

        def on_first_token(prefill_s: float, reused: int) -> None:
            first_s = self.timers.now() + prefill_s - sent_s
            on_time = first_s <= FIRST_TOKEN_TARGETS_S[turn.work_class]
            self._late_by_class[turn.work_class] += counted and not on_time
            surge_counts["on_time"] += in_surge and on_time
            if counted:
                self._token_counts["reused"] += min(reused, turn.reusable_tokens)
                self._token_counts["reusable"] += turn.reusable_tokens

        def on_end(release: Callable[[], None]) -> None:
            release()
            self._end_turn(chat, turn, ran=True)

        self.router.place(turn, entry, on_assigned)

    def _record_sample(self) -> None:
        if self.timers.now() >= self.scenario.warm_up_s:
            self.samples.record_sample()
