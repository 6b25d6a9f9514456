"""Disseminates the documents in force among the hosts.

Changes are pushed by gossip; versions are compared with each contact, so that
hosts which missed a push fetch the document (anti-entropy).

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

# Receivers of each push.
FANOUT_IN_DOMAIN = 3
FANOUT_TO_OTHER_DOMAINS = 1
# A larger difference is announced by its version, and fetched by those without it.
MAX_PUSH_BYTES = 4096
# A larger difference is replaced by the parts of the whole document.
MAX_DELTA_BYTES = 64 * 1024
MAX_REFUSAL_TEXT_LENGTH = 300
QUERY_TIMEOUT_S = 1.0
STARTUP_QUERY_INTERVAL_S = 0.5
STARTUP_PEER_COUNT = 3
# Time after which replies of peers that are not ready themselves are enough.
STARTING_PEERS_WAIT_S = 5.0
# Time after which a host without replies serves what the platform publishes.
ISOLATED_WAIT_S = 30.0

VersionKey = tuple[int, str]
NO_VERSION: VersionKey = (0, "")


class DocumentFetch:
    """A document that is being fetched from a peer.

    Attributes:
        peer: Name of the host that was queried.
        deadline_s: Monotonic time after which another fetch may replace it.
        base_version: Version that a difference may apply to.
        buffer: The parts received so far.
    """

    def __init__(self, peer: str, deadline_s: float, base_version: VersionKey):
        self.peer = peer
        self.deadline_s = deadline_s
        self.base_version = base_version
        self.buffer = PartBuffer()


class DocumentGossip:
    """Pushes changed documents to peers and fetches newer ones from them.

    Args:
        documents: The documents in force on this host.
        members: The membership view.
        timers: The timer service.
        rng: The source of randomness.
        outbox: Sends messages to other hosts.
    """

    def __init__(
        self,
        documents: Documents,
        members: Members,
        timers: Timers,
        rng: Random,
        outbox: Outbox,
    ) -> None:
        self._documents = documents
        self._members = members
        self._timers = timers
        self._rng = rng
        self._outbox = outbox
        self._fetches: dict[DocumentName, DocumentFetch] = {}
        self._part_cache: dict[DocumentName, list[DocumentPart]] = {}
        self._delta_cache: dict[
            DocumentName, dict[VersionKey, DocumentDelta | None]
        ] = {}
        self._peer_versions: dict[DocumentName, dict[str, VersionKey]] = {}
        self._refused_versions: set[tuple[DocumentName, VersionKey]] = set()
        self._ready_by_peer: dict[str, bool] = {}
        self._started_s = timers.now()
        self._ready = False

    def start(self) -> None:
        """Start to push changes, and query peers for the documents in force."""
        self._started_s = self._timers.now()
        for name in DOCUMENT_NAMES:
            self._documents.subscribe(name, self._push_document)
        self._documents.subscribe_refusals(self._push_refusal)
        self._members.subscribe_pings(self._announce_versions)
        self._query_peers_until_ready()

    def is_ready(self) -> bool:
        """Return whether this host may serve callers.

        A host becomes ready once it has every document in the newest version
        that a peer has reported, and enough peers have replied. It stays ready.
        """
        if not self._ready:
            self._ready = self._has_newest_documents() and self._has_enough_replies()
        return self._ready

    def handle(self, sender: str, message: Any) -> None:
        """Handle a message of another host.

        Args:
            sender: Name of the host that sent the message.
            message: A ``DocumentDelta`` or one of the classes of
                ``configuration.messages`` other than ``PlatformReachable``.
        """
        self._receive(message, sender)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no handler for {type(message).__name__}")

    @_receive.register
    def _receive_versions(self, message: DocumentVersions, sender: str) -> None:
        self._ready_by_peer[sender] = message.sender_ready
        peer_versions = {v.name: (v.version, v.digest) for v in message.versions}
        peer_is_behind = False
        for name in DOCUMENT_NAMES:
            peer_version = peer_versions.get(name, NO_VERSION)
            self._record_peer_version(name, peer_version, sender)
            if peer_version > self._get_version_key(name):
                self._start_fetch(name, sender)
            peer_is_behind = peer_is_behind or peer_version < self._get_version_key(
                name
            )
        if message.wants_reply or peer_is_behind:
            self._send_versions(sender, wants_reply=False)

    @_receive.register
    def _receive_delta(self, message: DocumentDelta, sender: str) -> None:
        name = message.name
        version_key = (message.version, message.digest)
        if version_key <= self._get_version_key(name):
            return
        self._record_peer_version(name, version_key, sender)
        base = self._documents.find_retained(
            name, message.base_version, message.base_digest
        )
        if base is None:
            self._start_fetch(name, sender)
            return
        self._fetches.pop(name, None)
        try:
            published = apply_delta(base, message)
        except SettingsError as error:
            self._record_refusal(name, message.version, str(error))
            return
        if published.digest == message.digest:
            self._documents.apply(published)
        else:
            self._start_fetch(name, sender, NO_VERSION)

    @_receive.register
    def _receive_query(self, message: DocumentQuery, sender: str) -> None:
        current = self._documents.get(message.name)
        if current is None or current.version_key <= (message.version, message.digest):
            return
        delta = self._get_delta(current, (message.version, message.digest))
        if delta is not None:
            self._outbox.send(sender, delta)
            return
        parts = self._get_parts(current)
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
            self._record_refusal(message.name, message.version, str(error))
            return
        if value is None:
            fetch.deadline_s = self._timers.now() + QUERY_TIMEOUT_S
            self._send_query(message.name, fetch)
            return
        del self._fetches[message.name]
        if self._documents.apply_value(message.name, value).is_error():
            version_key = (message.version, message.digest)
            self._refused_versions.add((message.name, version_key))

    @_receive.register
    def _receive_refused(self, message: DocumentRefused, sender: str) -> None:
        text = message.text[:MAX_REFUSAL_TEXT_LENGTH]
        self._documents.record_refusal(message.name, message.version, text)

    def _record_refusal(self, name: DocumentName, version: int, text: str) -> None:
        self._documents.record_refusal(name, version, text[:MAX_REFUSAL_TEXT_LENGTH])

    def _get_version_key(self, name: DocumentName) -> VersionKey:
        current = self._documents.get(name)
        return current.version_key if current else NO_VERSION

    def _record_peer_version(
        self, name: DocumentName, version_key: VersionKey, peer: str
    ) -> None:
        """Record the version of a peer, which is needed until this host is ready."""
        if not self._ready:
            self._peer_versions.setdefault(name, {})[peer] = version_key

    def _start_fetch(
        self, name: DocumentName, peer: str, base_version: VersionKey | None = None
    ) -> None:
        """Fetch a document from a peer, as a difference if the peer can send one.

        Does nothing while another fetch of the document has time left.

        Args:
            name: Name of the document.
            peer: Name of the host to query.
            base_version: Version that a difference may apply to; None for the
                version in force.
        """
        now_s = self._timers.now()
        active_fetch = self._fetches.get(name)
        if active_fetch is not None and now_s < active_fetch.deadline_s:
            return
        base_version = (
            self._get_version_key(name) if base_version is None else base_version
        )
        self._fetches[name] = DocumentFetch(peer, now_s + QUERY_TIMEOUT_S, base_version)
        self._send_query(name, self._fetches[name])

    def _send_query(self, name: DocumentName, fetch: DocumentFetch) -> None:
        version, digest = fetch.base_version
        query = DocumentQuery(name, version, digest, len(fetch.buffer))
        self._outbox.send(fetch.peer, query)

    def _push_document(self, published: PublishedDocument) -> None:
        """Push a new document to a few hosts inside and outside the failure domain."""
        self._part_cache.pop(published.name, None)
        self._delta_cache.pop(published.name, None)
        retained = self._documents.list_retained(published.name)
        delta = (
            self._get_delta(published, retained[-2].version_key)
            if retained[1:]
            else None
        )
        fits_push = delta is not None and len(encode_message(delta)) <= MAX_PUSH_BYTES
        for host in self._choose_receivers():
            if fits_push:
                self._outbox.send(host, delta)
            else:
                self._announce_versions(host)

    def _push_refusal(self, refusal: DocumentRefusal) -> None:
        text = refusal.text[:MAX_REFUSAL_TEXT_LENGTH]
        message = DocumentRefused(refusal.name, refusal.version, text)
        for host in self._choose_receivers():
            self._outbox.send(host, message)

    def _choose_receivers(self) -> list[str]:
        domain = self._members.find_domain(self._members.host)
        inside = self._members.choose_hosts(FANOUT_IN_DOMAIN, domain=domain)
        fanout = FANOUT_IN_DOMAIN + FANOUT_TO_OTHER_DOMAINS
        others = self._members.choose_hosts(fanout)
        outside = [host for host in others if host not in inside]
        return inside + outside[: fanout - len(inside)]

    def _get_delta(
        self, target: PublishedDocument, base_version: VersionKey
    ) -> DocumentDelta | None:
        """Return the cached difference to the document in force, or None.

        There is none if the base is no longer retained, if the order of entries
        changed, or if the difference is larger than ``MAX_DELTA_BYTES``.
        """
        cached_deltas = self._delta_cache.setdefault(target.name, {})
        if base_version not in cached_deltas:
            base = self._documents.find_retained(target.name, *base_version)
            delta = make_delta(base, target) if base else None
            if delta is not None and len(encode_message(delta)) > MAX_DELTA_BYTES:
                delta = None
            cached_deltas[base_version] = delta
        return cached_deltas[base_version]

    def _get_parts(self, current: PublishedDocument) -> list[DocumentPart]:
        if current.name not in self._part_cache:
            self._part_cache[current.name] = split_document(current)
        return self._part_cache[current.name]

    def _announce_versions(self, host: str) -> None:
        self._send_versions(host, wants_reply=False)

    def _send_versions(self, host: str, *, wants_reply: bool) -> None:
        current = [self._documents.get(name) for name in DOCUMENT_NAMES]
        versions = [DocumentVersion(*item[:3]) for item in current if item]
        self._outbox.send(host, DocumentVersions(self._ready, wants_reply, versions))

    def _query_peers_until_ready(self) -> None:
        """Query peers for their versions, repeatedly until this host is ready."""
        if self.is_ready():
            log_message(
                "configuration:ready",
                waited_s=round(self._timers.now() - self._started_s, 3),
            )
            return
        for host in self._members.choose_hosts(STARTUP_PEER_COUNT):
            self._send_versions(host, wants_reply=True)
        self._timers.call_later(STARTUP_QUERY_INTERVAL_S, self._query_peers_until_ready)

    def _has_newest_documents(self) -> bool:
        return all(
            NO_VERSION
            < self._get_version_key(name)
            >= self._find_newest_peer_version(name)
            for name in DOCUMENT_NAMES
        )

    def _find_newest_peer_version(self, name: DocumentName) -> VersionKey:
        """Return the newest version that an alive peer has reported.

        Versions that this host has refused do not count.
        """
        alive = set(self._members.list_alive())
        peer_versions = [
            version_key
            for peer, version_key in self._peer_versions.get(name, {}).items()
            if peer in alive and (name, version_key) not in self._refused_versions
        ]
        return max(peer_versions, default=NO_VERSION)

    def _has_enough_replies(self) -> bool:
        """Return whether enough peers have reported their versions.

        Required are ``STARTUP_PEER_COUNT`` ready peers, or all if there are
        fewer. After ``STARTING_PEERS_WAIT_S`` the peers need not be ready, and
        after ``ISOLATED_WAIT_S`` none is required.
        """
        waited_s = self._timers.now() - self._started_s
        other_count = len(self._members.list_alive()) - 1
        required_count = min(STARTUP_PEER_COUNT, other_count)
        if sum(self._ready_by_peer.values()) >= required_count and other_count:
            return True
        if (
            len(self._ready_by_peer) >= required_count
            and waited_s >= STARTING_PEERS_WAIT_S
        ):
            return True
        return waited_s >= ISOLATED_WAIT_S
