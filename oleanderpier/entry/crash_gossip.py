"""Gossip between hosts on servers that crashed, and on the requests behind it."""

import random
from collections.abc import Callable, Iterable, Iterator

from eliot import log_message

from oleanderpier.fleet import CrashNews, ReportedCrash, ReportedQuarantine
from oleanderpier.forwarding import log_quarantines
from oleanderpier.routing import (
    Crash,
    CrashCauses,
    Quarantine,
    ServerEntry,
    SuspectKeys,
)
from oleanderpier.utils import Outbox, Timers

__all__ = ["CrashGossip"]

# Upper bound of the random delay before a host sends that a request was answered. Most
# hosts get it from another one meanwhile and send nothing.
MAX_DELAY_S = 0.25
# Interval at which a host sends its quarantines to one of the others, since messages
# may be lost.
REPEAT_INTERVAL_S = 1.0
REMOVAL_INTERVAL_S = 5.0
# Interval at which the latest crashes are looked at again.
REVIEW_INTERVAL_S = 0.2
# How many hosts are sent a quarantine when it begins.
ASKED_HOSTS = 4
# Upper bound of the quarantines that each host sends one that has just started; there
# are rarely more than one or two.
URGENT_QUARANTINES = 16
# Upper bound of the keys of suspects in a message; a key has up to 64 bytes.
MAX_MESSAGE_KEYS = 8192


class CrashGossip:
    """Sends and receives crashes and what is known of their causes.

    Args:
        poison: What is known of the parts of prompts that crash servers.
        list_receivers: Returns the other hosts that take these messages.
        timers: The timer service.
        rng: The source of randomness.
        outbox: Sends messages to other hosts.
    """

    def __init__(
        self,
        poison: CrashCauses,
        list_receivers: Callable[[], list[str]],
        timers: Timers,
        rng: random.Random,
        outbox: Outbox,
    ) -> None:
        self._poison = poison
        self._list_receivers = list_receivers
        self._timers = timers
        self._rng = rng
        self._outbox = outbox
        self._unsent_sound_s: dict[str, float] = {}
        # The keys whose quarantines were sent when they began.
        self._sent_parts: set[str] = set()
        timers.subscribe(REPEAT_INTERVAL_S, self._repeat_quarantines)
        timers.subscribe(REVIEW_INTERVAL_S, self._review_crashes)
        timers.subscribe(
            REMOVAL_INTERVAL_S, lambda: poison.remove_expired(timers.now())
        )

    def announce_crash(
        self, server: ServerEntry, at_s: float, suspects: list[SuspectKeys]
    ) -> None:
        """Send the other hosts a crash, with this host's suspects."""
        crash = Crash(
            server.identity, server.born_ms, at_s, frozenset(suspects), frozenset()
        )
        receivers = self._list_receivers()
        for crashes in _split_crashes([self._report_crash(crash)]):
            self._outbox.send_to_all(receivers, CrashNews(crashes, [], []))
        self._send_new_quarantines()

    def announce_sound(self, parts: list[str]) -> None:
        """Send the other hosts that a request with suspected parts was answered."""
        if not self._unsent_sound_s:
            delay_s = self._rng.uniform(0.0, MAX_DELAY_S)
            self._timers.call_later(delay_s, self._send_sound)
        self._unsent_sound_s |= dict.fromkeys(parts, self._timers.now())

    def receive(self, sender: str, message: CrashNews) -> None:
        """Apply what another host knows."""
        now_s = self._timers.now()
        for part, age_s in message.sound:
            self._unsent_sound_s.pop(part, None)
            self._poison.record_sound((part,), now_s - age_s)
        answered: list[tuple[str, float]] = []
        for reported in message.quarantines:
            quarantine = Quarantine(
                reported.part,
                now_s - reported.age_s,
                reported.term_s,
                frozenset(reported.group),
            )
            answered_s = self._poison.find_answer(quarantine)
            is_outdated = answered_s is not None
            if not is_outdated:
                answered_s = self._poison.find_unknown_answer(quarantine)
            if answered_s is not None:
                answered.append((reported.part, now_s - answered_s))
            if not is_outdated and self._poison.receive_quarantine(quarantine):
                log_quarantines([quarantine], sender)
        if answered:
            # It does not know of the answers, and would go on refusing.
            self._outbox.send(sender, CrashNews([], answered, []))
        for crash in message.crashes:
            log_quarantines(
                self._poison.record_crash(
                    crash.identity,
                    crash.born_ms,
                    now_s - crash.age_s,
                    [tuple(prompt) for prompt in crash.suspects],
                ),
                sender,
            )
        self._send_new_quarantines()

    def send_all(self, newcomer: str) -> None:
        """Send everything to a host that has just started."""
        now_s = self._timers.now()
        crashes = [self._report_crash(crash) for crash in self._poison.list_crashes()]
        quarantines = self._report_quarantines()
        if not (crashes or quarantines) or newcomer not in self._list_receivers():
            return
        sound = [(part, now_s - at_s) for part, at_s in self._poison.list_sound()]
        # What was answered goes first, so that no crash before that counts.
        news = [
            CrashNews([], sound[first : first + MAX_MESSAGE_KEYS], [])
            for first in range(0, len(sound), MAX_MESSAGE_KEYS)
        ]
        news.append(CrashNews([], [], quarantines))
        news += [CrashNews(part, [], []) for part in _split_crashes(crashes)]
        for each in news:
            self._outbox.send(newcomer, each)
        log_message("poison:sent", host=newcomer, crashes=len(crashes))

    def send_quarantines(self, newcomer: str) -> None:
        """Send the latest quarantines to a host that has just started."""
        quarantines = sorted(self._report_quarantines(), key=lambda each: each.age_s)
        if quarantines and newcomer in self._list_receivers():
            news = CrashNews([], [], quarantines[:URGENT_QUARANTINES])
            self._outbox.send(newcomer, news)
            log_message("poison:sent_quarantines", host=newcomer)

    def _send_sound(self) -> None:
        now_s = self._timers.now()
        sound = [(part, now_s - at_s) for part, at_s in self._unsent_sound_s.items()]
        self._unsent_sound_s = {}
        if sound:
            self._outbox.send_to_all(self._list_receivers(), CrashNews([], sound, []))

    def _review_crashes(self) -> None:
        begun = self._poison.review_crashes(self._timers.now())
        if begun:
            log_quarantines(begun)
            self._send_new_quarantines()

    def _repeat_quarantines(self) -> None:
        quarantines = self._report_quarantines()
        receivers = self._list_receivers() if quarantines else []
        if receivers:
            host = self._rng.choice(receivers)
            self._outbox.send(host, CrashNews([], [], quarantines))

    def _send_new_quarantines(self) -> None:
        """Send the quarantines that have begun to a few hosts.

        They may know that a part was answered before, which this host has not seen: a
        part that many use may not have come here yet.
        """
        reported = {each.part: each for each in self._report_quarantines()}
        begun = [
            each for part, each in reported.items() if part not in self._sent_parts
        ]
        self._sent_parts = set(reported)
        receivers = self._list_receivers() if begun else []
        for host in self._rng.sample(receivers, min(ASKED_HOSTS, len(receivers))):
            self._outbox.send(host, CrashNews([], [], begun))

    def _report_crash(self, crash: Crash) -> ReportedCrash:
        return ReportedCrash(
            crash.identity,
            crash.born_ms,
            self._timers.now() - crash.at_s,
            sorted(crash.suspects),
        )

    def _report_quarantines(self) -> list[ReportedQuarantine]:
        now_s = self._timers.now()
        return [
            ReportedQuarantine(
                each.key, now_s - each.since_s, each.term_s, sorted(each.group)
            )
            for each in self._poison.list_quarantines()
        ]


def _split_crashes(crashes: Iterable[ReportedCrash]) -> Iterator[list[ReportedCrash]]:
    """Yield crashes in lists that fit in a message.

    The suspects of a crash may be in several; receivers merge them.
    """
    batch: list[ReportedCrash] = []
    count = 0
    for crash in crashes:
        part = crash._replace(suspects=[])
        batch.append(part)
        for suspect in crash.suspects:
            if count and count + len(suspect) > MAX_MESSAGE_KEYS:
                yield batch
                part = crash._replace(suspects=[])
                batch, count = [part], 0
            part.suspects.append(suspect)
            count += len(suspect)
    if batch:
        yield batch
