"""Spreads the documents in force from host to host.

References:
    A. Demers et al., "Epidemic algorithms for replicated database
    maintenance", PODC 1987.
"""

from functools import singledispatchmethod
from random import Random
from typing import Any

from eliot import log_message

from oleanderpier.configuration.deltas import DocumentDelta, apply_delta, make_delta
from oleanderpier.configuration.documents import DocumentName, PublishedDocument
from oleanderpier.configuration.messages import (
    DocumentPart,
    DocumentQuery,
    DocumentRefused,
    DocumentVersion,
    DocumentVersions,
)
from oleanderpier.configuration.parts import PartBuffer, split_document
from oleanderpier.configuration.store import DOCUMENT_NAMES, DocumentRefusal, Documents
from oleanderpier.exception import MessageError, SettingsError
from oleanderpier.membership.members import Members
from oleanderpier.utils import Outbox, Timers, encode_message

__all__ = ["DocumentGossip"]

FAN_OUT_INSIDE = 3
FAN_OUT_OUTSIDE = 1
MAX_PUSH_BYTES = 4096
MAX_DELTA_BYTES = 64 * 1024
MAX_REFUSAL_LENGTH = 300
ASK_TIMEOUT_S = 1.0
NEWCOMER_INTERVAL_S = 0.5
NEWCOMER_PEERS = 3
PEERS_WAIT_S = 5.0
ISOLATED_WAIT_S = 30.0

Order = tuple[int, str]
NO_ORDER: Order = (0, "")


class DocumentFetch:
    """A document on its way from a peer.

    Attributes:
        peer: The host that was asked.
        deadline_s: When to give it up, on the monotonic clock.
        base: The order from which a difference would do.
        buffer: The parts that came in.
    """

    def __init__(self, peer: str, deadline_s: float, base: Order):
        self.peer = peer
        self.deadline_s = deadline_s
        self.base = base
        self.buffer = PartBuffer()


class DocumentGossip:
    """Tells peers what came into force and fetches what they have newer.

    Args:
        documents: The documents in force on this host.
        members: The other hosts.
        timers: The timer service.
        generator: The source of randomness.
        outbox: Where messages to other hosts go.
    """

    def __init__(
        self,
        documents: Documents,
        members: Members,
        timers: Timers,
        generator: Random,
        outbox: Outbox,
    ) -> None:
        self._documents = documents
        self._members = members
        self._timers = timers
        self._generator = generator
        self._outbox = outbox
        self._fetches: dict[DocumentName, DocumentFetch] = {}
        self._parts: dict[DocumentName, list[DocumentPart]] = {}
        self._deltas: dict[DocumentName, dict[Order, DocumentDelta | None]] = {}
        self._told: dict[DocumentName, dict[str, Order]] = {}
        self._refused: set[tuple[DocumentName, Order]] = set()
        self._answered: dict[str, bool] = {}
        self._started_s = timers.now()
        self._ready = False

    def start(self) -> None:
        """Begin to spread, and ask peers for what they have in force."""
        self._started_s = self._timers.now()
        for name in DOCUMENT_NAMES:
            self._documents.subscribe(name, self._push)
        self._documents.subscribe_refusals(self._push_refusal)
        self._members.subscribe_contacts(self._send_versions)
        self._ask_around()

    def is_ready(self) -> bool:
        """Return whether this host may serve callers.

        It may once it has every document, nothing newer that a peer told of
        is missing, and enough peers were heard; it stays so.
        """
        if not self._ready:
            self._ready = self._is_caught_up() and self._has_heard_enough()
        return self._ready

    def handle(self, sender: str, message: Any) -> None:
        """Take in a message of another host.

        Args:
            sender: The host that sent it.
            message: A ``DocumentDelta`` or one of the classes of
                ``configuration.messages`` other than ``PlatformReachable``.
        """
        self._receive(message, sender)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no handler for {type(message).__name__}")

    @_receive.register
    def _receive_versions(self, message: DocumentVersions, sender: str) -> None:
        self._answered[sender] = message.ready
        theirs = {v.name: (v.version, v.digest) for v in message.versions}
        behind = False
        for name in DOCUMENT_NAMES:
            order = theirs.get(name, NO_ORDER)
            self._note_order(name, order, sender)
            if order > self._find_order(name):
                self._fetch(name, sender)
            behind = behind or order < self._find_order(name)
        if message.answer or behind:
            self._tell_versions(sender, answer=False)

    @_receive.register
    def _receive_delta(self, message: DocumentDelta, sender: str) -> None:
        name = message.name
        order = (message.version, message.digest)
        if order <= self._find_order(name):
            return
        self._note_order(name, order, sender)
        base = self._documents.find_retained(
            name, message.base_version, message.base_digest
        )
        if base is None:
            self._fetch(name, sender)
            return
        self._fetches.pop(name, None)
        try:
            published = apply_delta(base, message)
        except SettingsError as error:
            self._refuse(name, message.version, str(error))
            return
        if published.digest == message.digest:
            self._documents.apply(published)
        else:
            self._fetch(name, sender, NO_ORDER)

    @_receive.register
    def _receive_ask(self, message: DocumentQuery, sender: str) -> None:
        current = self._documents.get(message.name)
        if current is None or current.version_key <= (message.version, message.digest):
            return
        delta = self._find_delta(current, (message.version, message.digest))
        if delta is not None:
            self._outbox.send(sender, delta)
            return
        parts = self._split(current)
        self._outbox.send(sender, parts[min(message.part, len(parts) - 1)])

    @_receive.register
    def _receive_part(self, message: DocumentPart, sender: str) -> None:
        fetch = self._fetches.get(message.name)
        if fetch is None or fetch.peer != sender:
            return
        try:
            value = fetch.buffer.add(message)
        except MessageError as error:
            del self._fetches[message.name]
            self._refuse(message.name, message.version, str(error))
            return
        if value is None:
            fetch.deadline_s = self._timers.now() + ASK_TIMEOUT_S
            self._ask(message.name, fetch)
            return
        del self._fetches[message.name]
        if self._documents.apply_value(message.name, value).is_error():
            order = (message.version, message.digest)
            self._refused.add((message.name, order))

    @_receive.register
    def _receive_refused(self, message: DocumentRefused, sender: str) -> None:
        text = message.text[:MAX_REFUSAL_LENGTH]
        self._documents.record_refusal(message.name, message.version, text)

    def _refuse(self, name: DocumentName, version: int, text: str) -> None:
        self._documents.record_refusal(name, version, text[:MAX_REFUSAL_LENGTH])

    def _find_order(self, name: DocumentName) -> Order:
        current = self._documents.get(name)
        return current.version_key if current else NO_ORDER

    def _note_order(self, name: DocumentName, order: Order, peer: str) -> None:
        """Note what a peer has, as long as that decides on readiness."""
        if not self._ready:
            self._told.setdefault(name, {})[peer] = order

    def _fetch(self, name: DocumentName, peer: str, base: Order | None = None) -> None:
        """Ask a peer for what it has, by way of a difference if it can.

        Args:
            name: Which document.
            peer: Whom to ask.
            base: The order of what the difference may start from; None takes
                what is in force here.
        """
        now_s = self._timers.now()
        running = self._fetches.get(name)
        if running is not None and now_s < running.deadline_s:
            return
        base = self._find_order(name) if base is None else base
        self._fetches[name] = DocumentFetch(peer, now_s + ASK_TIMEOUT_S, base)
        self._ask(name, self._fetches[name])

    def _ask(self, name: DocumentName, fetch: DocumentFetch) -> None:
        version, digest = fetch.base
        ask = DocumentQuery(name, version, digest, len(fetch.buffer))
        self._outbox.send(fetch.peer, ask)

    def _push(self, published: PublishedDocument) -> None:
        """Send what came into force to a few hosts in each direction."""
        self._parts.pop(published.name, None)
        self._deltas.pop(published.name, None)
        kept = self._documents.list_retained(published.name)
        delta = self._find_delta(published, kept[-2].version_key) if kept[1:] else None
        small = delta is not None and len(encode_message(delta)) <= MAX_PUSH_BYTES
        for host in self._choose_receivers():
            if small:
                self._outbox.send(host, delta)
            else:
                self._send_versions(host)

    def _push_refusal(self, refusal: DocumentRefusal) -> None:
        text = refusal.text[:MAX_REFUSAL_LENGTH]
        news = DocumentRefused(refusal.name, refusal.version, text)
        for host in self._choose_receivers():
            self._outbox.send(host, news)

    def _choose_receivers(self) -> list[str]:
        domain = self._members.find_domain(self._members.host)
        inside = self._members.choose_hosts(FAN_OUT_INSIDE, domain=domain)
        wanted = FAN_OUT_INSIDE + FAN_OUT_OUTSIDE
        others = self._members.choose_hosts(wanted)
        outside = [host for host in others if host not in inside]
        return inside + outside[: wanted - len(inside)]

    def _find_delta(
        self, target: PublishedDocument, base_order: Order
    ) -> DocumentDelta | None:
        """Return the way to the document in force, worked out only once."""
        known = self._deltas.setdefault(target.name, {})
        if base_order not in known:
            base = self._documents.find_retained(target.name, *base_order)
            delta = make_delta(base, target) if base else None
            if delta is not None and len(encode_message(delta)) > MAX_DELTA_BYTES:
                delta = None
            known[base_order] = delta
        return known[base_order]

    def _split(self, current: PublishedDocument) -> list[DocumentPart]:
        if current.name not in self._parts:
            self._parts[current.name] = split_document(current)
        return self._parts[current.name]

    def _send_versions(self, host: str) -> None:
        self._tell_versions(host, answer=False)

    def _tell_versions(self, host: str, *, answer: bool) -> None:
        current = [self._documents.get(name) for name in DOCUMENT_NAMES]
        versions = [DocumentVersion(*item[:3]) for item in current if item]
        self._outbox.send(host, DocumentVersions(self._ready, answer, versions))

    def _ask_around(self) -> None:
        """Ask peers until this host is ready."""
        if self.is_ready():
            log_message(
                "configuration:ready",
                waited_s=round(self._timers.now() - self._started_s, 3),
            )
            return
        for host in self._members.choose_hosts(NEWCOMER_PEERS):
            self._tell_versions(host, answer=True)
        self._timers.call_later(NEWCOMER_INTERVAL_S, self._ask_around)

    def _is_caught_up(self) -> bool:
        return all(
            NO_ORDER < self._find_order(name) >= self._find_newest(name)
            for name in DOCUMENT_NAMES
        )

    def _find_newest(self, name: DocumentName) -> Order:
        """Return the newest order that a peer which is not gone has told of."""
        alive = set(self._members.list_alive())
        orders = [
            order
            for peer, order in self._told.get(name, {}).items()
            if peer in alive and (name, order) not in self._refused
        ]
        return max(orders, default=NO_ORDER)

    def _has_heard_enough(self) -> bool:
        """Return whether peers that serve were heard, or too few exist."""
        waited_s = self._timers.now() - self._started_s
        others = len(self._members.list_alive()) - 1
        wanted = min(NEWCOMER_PEERS, others)
        if sum(self._answered.values()) >= wanted and others:
            return True
        if len(self._answered) >= wanted and waited_s >= PEERS_WAIT_S:
            return True
        return waited_s >= ISOLATED_WAIT_S
