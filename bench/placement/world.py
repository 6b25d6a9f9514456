"""The engines and the chats of one run, whatever routes between them."""

import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

from bench.placement.engines import Engine, Stream, Turn
from bench.placement.samples import LoadSamples
from bench.placement.scenarios import (
    CACHE_EVENT_LAG_S,
    CACHE_EVENT_LOSS,
    CLASSES,
    DRAIN_S,
    SAMPLE_S,
    Report,
    Scenario,
)
from oleanderpier.utils import ManualTimers

__all__ = ["World"]

CHAT_ENDS = 0.08
SAME_HOST = 0.8


class Chat:
    """A chat that asks, pauses and asks again, with random numbers of its own."""

    def __init__(self, number: int, workspace: str, goes_on: Callable, seed: int):
        self.name = f"chat-{number}"
        self.workspace = workspace
        self.goes_on = goes_on
        self.rng = random.Random(f"{seed}-{number}")
        self.work_class = self.rng.choice(list(CLASSES))
        self.host = self.rng.random()
        self.prompt = self.rng.randrange(300, 3_000)
        self.reusable = 0

    def make_turn(self, number: int) -> Turn:
        """Return the chat's next turn."""
        output = self.rng.randrange(60, 200)
        return Turn(
            number,
            self.name,
            self.workspace,
            self.work_class,
            self.prompt,
            self.reusable,
            output,
        )

    def note_ran(self, turn: Turn) -> None:
        """Append what a turn's answer and the next message add."""
        self.reusable = turn.prompt + turn.output
        self.prompt = self.reusable + self.rng.randrange(20, 300)


class World:
    """The engines, and the chats that a router sends to them.

    Args:
        scenario: Sizes and events.
        router_class: Makes the router from this world.
    """

    def __init__(self, scenario: Scenario, router_class: type):
        self.scenario = scenario
        self.timers = ManualTimers()
        self.engines: dict[str, Engine] = {}
        self.published: dict[str, dict] = {}
        self.hosts = [f"host-{i}" for i in range(scenario.hosts)]
        self.rng = random.Random(scenario.seed)
        self._chats = 0
        self._turns = 0
        self._to_replace = 0.0
        self._tokens = Counter()
        self._asked, self._refused, self._late = Counter(), Counter(), Counter()
        self._surge = defaultdict(Counter)
        self._engines_made = 0
        for index in range(scenario.engines):
            self._add_engine(f"domain-{index % scenario.failure_domains}")
        self.samples = LoadSamples(
            self.timers, self.engines, lambda: list(self.published.values())
        )
        self.samples.update()
        self.router = router_class(self)

    def run(self) -> Report:
        """Run the scenario and return what it showed."""
        scenario, timers = self.scenario, self.timers
        timers.advance(1.0)
        for _ in range(scenario.chats):
            self._start_chat(self._choose_workspace(), lambda: True)
        if scenario.surge_chats:
            timers.call_later(scenario.surge_start_s, self._start_surge)
        if scenario.owner_killed_s is not None:
            timers.call_later(scenario.owner_killed_s, self.router.kill_owner)
        if scenario.replaced_ratio_per_minute:
            each_s = 60 / (scenario.replaced_ratio_per_minute * scenario.engines)
            timers.subscribe(max(each_s, scenario.publish_s), self._replace_engines)
        timers.subscribe(SAMPLE_S, self._sample)
        timers.advance(scenario.warm_s)
        bytes_before = self.router.count_bytes()
        timers.advance(scenario.length_s - scenario.warm_s)
        return self._report(self.router.count_bytes() - bytes_before)

    def list_live(self) -> list[Engine]:
        """Return the engines that are not leaving."""
        return [
            self.engines[name]
            for name, server in self.published.items()
            if server["state"] == "live"
        ]

    def remove_host(self, host: str) -> None:
        """Send chats to the other hosts from now on."""
        self.hosts.remove(host)

    def _report(self, bytes_sent: int) -> Report:
        scenario, samples = self.scenario, self.samples
        ratios = sorted(samples.values) or [0.0]
        counted_s = scenario.length_s - scenario.warm_s
        requests = self._asked.total()

        def part(counter: Counter) -> dict[str, float]:
            return {name: counter[name] / max(1, self._asked[name]) for name in CLASSES}

        on_time = {
            kind: counts["on_time"] / max(1, counts["asked"])
            for kind, counts in self._surge.items()
        }
        return Report(
            router=self.router.name,
            requests=requests,
            reuse=self._tokens["reused"] / max(1, self._tokens["reusable"]),
            ratio_p50=ratios[len(ratios) // 2],
            ratio_p99=ratios[math.ceil(0.99 * len(ratios)) - 1],
            ratio_worst=ratios[-1],
            ratio_all=samples.worst_of_all,
            samples=len(samples.values),
            over_bound=samples.over_bound,
            over_unrounded=samples.over_unrounded,
            stayed_over=samples.stayed_over,
            migrated=self.router.migrations / max(1, self._turns),
            refused=part(self._refused),
            late=part(self._late),
            quiet_on_time=on_time.get("quiet", 0.0),
            surging_on_time=on_time.get("surging", 0.0),
            requests_a_host=requests / counted_s / scenario.hosts,
            control_bytes=bytes_sent / counted_s / scenario.hosts,
            control_bytes_a_request=bytes_sent / max(1, requests),
        )

    def _add_engine(self, failure_domain: str) -> None:
        scenario = self.scenario
        name = f"engine-{self._engines_made}"
        self._engines_made += 1
        engine = Engine(name, scenario.slots, scenario.cache_tokens, self.timers)
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
        """Replace the engines that are due, in their failure domains."""
        scenario = self.scenario
        each_s = 60 / (scenario.replaced_ratio_per_minute * scenario.engines)
        self._to_replace += max(1.0, scenario.publish_s / each_s)
        count, self._to_replace = int(self._to_replace), self._to_replace % 1
        leaving = [e.name for e in self.rng.sample(self.list_live(), count)]
        for name in leaving:
            self.published[name] = {**self.published[name], "state": "leaving"}
            self._add_engine(self.published[name]["failure_domain"])
        self._publish()
        self.timers.call_later(DRAIN_S, lambda: self._remove_engines(leaving))

    def _remove_engines(self, names: list[str]) -> None:
        for name in names:
            del self.published[name]
            del self.engines[name]
        if not self.scenario.publish_s:
            self._publish()

    def _publish(self) -> None:
        self.samples.update()
        self.router.update_engines()

    def _emit_cache_event(self, name: str, kind: str, chat: str) -> None:
        self.router.note_exact_cache(name, kind, chat)
        if self.rng.random() >= CACHE_EVENT_LOSS:
            self.timers.call_later(
                CACHE_EVENT_LAG_S,
                lambda: self.router.note_cache_event(name, kind, chat),
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

    def _start_chat(self, workspace: str, goes_on: Callable[[], bool]) -> None:
        self._chats += 1
        chat = Chat(self._chats, workspace, goes_on, self.scenario.seed)
        first_s = chat.rng.uniform(0, self.scenario.pause_s)
        self.timers.call_later(first_s, lambda: self._ask(chat))

    def _ask(self, chat: Chat) -> None:
        if not chat.goes_on():
            return
        self._turns += 1
        turn = chat.make_turn(self._turns)
        place = chat.host if chat.rng.random() < SAME_HOST else chat.rng.random()
        self._send_turn(chat, turn, self.hosts[int(place * len(self.hosts))])

    def _end_turn(self, chat: Chat, turn: Turn, ran: bool) -> None:
        if ran:
            chat.note_ran(turn)
        if chat.rng.random() < CHAT_ENDS:
            self._start_chat(chat.workspace, chat.goes_on)
        else:
            pause_s = chat.rng.expovariate(1 / self.scenario.pause_s)
            self.timers.call_later(pause_s, lambda: self._ask(chat))

    def _send_turn(self, chat: Chat, turn: Turn, entry: str) -> None:
        asked_s = self.timers.now()
        counted = asked_s >= self.scenario.warm_s
        in_surge = self.scenario.surge_start_s < asked_s < self.scenario.surge_end_s
        surging = turn.workspace in ("workspace-0", "workspace-1")
        surge = self._surge["surging" if surging else "quiet"]
        self._asked[turn.work_class] += counted
        surge["asked"] += in_surge

        def assigned(engine: str | None, release: Callable[[], None]) -> Any:
            if engine is None or engine not in self.engines:
                release()
                self._refused[turn.work_class] += counted
                self._end_turn(chat, turn, ran=False)
                return None
            stream = Stream(turn, first, lambda: finish(release))
            self.engines[engine].submit(stream)
            return stream

        def first(prefill_s: float, reused: int) -> None:
            first_s = self.timers.now() + prefill_s - asked_s
            on_time = first_s <= CLASSES[turn.work_class]
            self._late[turn.work_class] += counted and not on_time
            surge["on_time"] += in_surge and on_time
            if counted:
                self._tokens["reused"] += min(reused, turn.reusable)
                self._tokens["reusable"] += turn.reusable

        def finish(release: Callable[[], None]) -> None:
            release()
            self._end_turn(chat, turn, ran=True)

        self.router.place(turn, entry, assigned)

    def _sample(self) -> None:
        if self.timers.now() >= self.scenario.warm_s:
            self.samples.take()
