"""The host lists that are in use for claims, synchronized between hosts.

Versions of the list follow each other without gaps, but a host may miss some. A
list stays in use until it is closed for every key that has not expired. It is
closed for a key if a majority of its hosts, among them a majority of the key's
witnesses, had a newer list at one instant before the key was made. These
witnesses refuse claims under the older list.
"""

from functools import singledispatchmethod
from itertools import pairwise
from typing import Any

from eliot import log_message

from oleanderpier.claims.history_replies import HistoryReplies
from oleanderpier.claims.limits import (
    COLLECTOR_COUNT,
    LIST_LIFETIME_S,
    LIST_SYNC_INTERVAL_S,
    PROOF_FAST_PHASE_S,
    PROOF_INTERVAL_S,
    PROOF_SLOW_INTERVAL_S,
    RECORD_LIFETIME_S,
)
from oleanderpier.claims.messages import (
    HistoryQuery,
    HistoryReply,
    ListProofs,
    ListQuery,
    ListReply,
    OpenList,
    ProofQuery,
    ProofReply,
    SupersessionProof,
)
from oleanderpier.claims.supersession import SupersessionProofs
from oleanderpier.claims.version_observations import VersionObservations
from oleanderpier.claims.witness_sets import (
    HostList,
    WitnessSet,
    choose_witnesses,
    read_host_list,
)
from oleanderpier.configuration import HostsDocument
from oleanderpier.utils import Outbox, Timers, rank_candidates

__all__ = ["HostLists"]


class HostLists:
    """The published lists that this host knows, and whether it may use them.

    A process starts without history and so queries the hosts of its list. A host
    that has been ready before reports which older lists are still in use; a majority
    of replies confirms that the process's newest list is not out of date.

    Args:
        host: This host's name.
        incarnation: Id of this process.
        timers: The timer service.
        outbox: Sends messages to other hosts.
    """

    def __init__(self, host: str, incarnation: str, timers: Timers, outbox: Outbox):
        self._host = host
        self._incarnation = incarnation
        self._timers = timers
        self._outbox = outbox
        self._lists: dict[int, HostList] = {}
        # When each list was stored, by the monotonic clock.
        self._added_s: dict[int, float] = {}
        self._proofs = SupersessionProofs()
        self._proof_due_s = 0.0
        # Wall clock of each collector in its last reply, echoed in the next query.
        self._peer_clocks_s: dict[str, float] = {}
        self._seen_versions: set[int] = set()
        self._skipped_versions: set[int] = set()
        self._replies = HistoryReplies(host)
        self._observations = VersionObservations()
        # The oldest version in use; 0 while it is unknown.
        self._floor = 0
        # The newest version that enough hosts have confirmed.
        self._confirmed_version = 0
        # The newest version when this process first became ready; or 0.
        self._established_version = 0
        # Incarnations by host, of processes that got a reply before that.
        self._requesters: dict[str, str] = {}
        timers.subscribe(LIST_SYNC_INTERVAL_S, self.synchronize)

    @property
    def newest(self) -> HostList:
        """The newest list; an empty one of version 0 if there is none."""
        if not self._lists:
            return HostList(0, ())
        return self._lists[max(self._lists)]

    @property
    def known_lists(self) -> list[HostList]:
        """All lists in use that this host has, the newest first."""
        return [self._lists[version] for version in sorted(self._lists, reverse=True)]

    @property
    def highest_version(self) -> int:
        """The newest version that this host knows of, or 0.

        The list itself may still be missing.
        """
        return max(self._seen_versions, default=0)

    @property
    def ready(self) -> bool:
        """Whether this host may make and grant claims under its newest list."""
        newest = self.newest.version
        return (
            self._floor > 0
            and self.highest_version == newest == self._confirmed_version
        )

    def apply_document(self, document: HostsDocument) -> None:
        """Store a published list.

        A list older than the newest is ignored, unless it is in use and missing.
        """
        self._add_list(read_host_list(document))

    def receive_process_version(
        self, host: str, incarnation: str, version: int
    ) -> None:
        """Handle a report of the newest version that a process knows of.

        The report can also come from outside this package, such as a heartbeat
        that carries the sender's version.

        Args:
            host: Name of the host.
            incarnation: The host's process.
            version: The newest version that the process knows of.
        """
        self._observations.record_version(
            host, incarnation, version, self._timers.wall()
        )
        self.receive_version(host, version)

    def receive_version(self, host: str, version: int) -> None:
        """Handle a report that a version exists.

        If the version is the newest so far, query the host that reported it.

        Args:
            host: Name of the host that reported it, possibly this one.
            version: The version.
        """
        if version <= self.highest_version:
            return
        self._seen_versions.add(version)
        if host != self._host:
            self._outbox.send(host, HistoryQuery(self._incarnation, version))

    def choose_witness_sets(
        self, key: bytes, key_time: float
    ) -> list[WitnessSet] | None:
        """Return the witness sets of a key; a claim needs a majority of each.

        Args:
            key: The bytes of the key, or of the subject of a lease.
            key_time: When the key was made, in seconds since 1970.

        Returns:
            One set for each list that is not closed for the key, the newest first;
            None while this host is not ready or misses a list in use.
        """
        if not self.ready or self._list_missing_versions():
            return None
        required = [choose_witnesses(key, self.newest)]
        for older, following in self._pair_older_lists():
            if self._proofs.is_closed_for_all(older, following, key_time):
                continue
            witnesses = choose_witnesses(key, older)
            if not self._proofs.is_closed_for(witnesses, following, key_time):
                required.append(witnesses)
        return required

    def handle(self, sender: str, message: Any) -> None:
        """Handle a message about host lists from a peer."""
        self._receive(message, sender)

    def synchronize(self) -> None:
        """Advance the state of all lists, and query hosts for what is missing.

        Update the readiness, prove that older lists are closed, skip versions that
        were never used, drop lists that are out of use, and send queries.
        """
        self.receive_process_version(
            self._host, self._incarnation, self.highest_version
        )
        self._observations.record_alive(
            self._host, self._incarnation, self._timers.wall()
        )
        self._update_readiness()
        self._close_older_lists()
        self._skip_unused_versions()
        self._raise_floor()
        for host in self._list_hosts_to_query():
            self._outbox.send(
                host, HistoryQuery(self._incarnation, self.highest_version)
            )

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no handler for host list message {message!r}")

    @_receive.register
    def _(self, message: HistoryQuery, sender: str) -> None:
        self.receive_process_version(sender, message.incarnation, message.list_version)
        self._outbox.send(sender, self._make_history_reply(message.incarnation))
        if not self._established_version:
            self._requesters[sender] = message.incarnation

    @_receive.register
    def _(self, message: HistoryReply, sender: str) -> None:
        if message.requester != self._incarnation:
            return
        self._replies.record_reply(sender, message)
        self.receive_process_version(
            sender, message.incarnation, max(message.seen_versions, default=0)
        )
        self._skipped_versions.update(
            message.skipped_versions if message.established_version else ()
        )
        self._update_readiness()
        wanted = set(self._list_missing_versions()) | {self.highest_version}
        for version in sorted(wanted & set(message.stored_versions) - set(self._lists)):
            self._outbox.send(sender, ListQuery(version))

    @_receive.register
    def _(self, message: ListQuery, sender: str) -> None:
        found = self._lists.get(message.version)
        if found is not None:
            proofs = self._proofs.pack_proofs(found)
            reply = ListReply(found.version, list(found.hosts), proofs)
            self._outbox.send(sender, reply)

    @_receive.register
    def _(self, message: ListReply, sender: str) -> None:
        received = HostList(message.version, tuple(message.hosts))
        if self._add_list(received):
            self._add_received_proofs(received, message.proofs, sender)

    @_receive.register
    def _(self, message: ProofQuery, sender: str) -> None:
        self.receive_process_version(sender, message.incarnation, message.list_version)
        self._observations.record_alive(sender, message.incarnation, message.echoed_s)
        better = [
            ListProofs(version, self._proofs.pack_proofs(self._lists[version]))
            for version, holder_count in message.open_lists
            if version in self._lists
            and self._proofs.count_holders(version) > holder_count
        ]
        self._outbox.send(sender, ProofReply(self._timers.wall(), better))

    @_receive.register
    def _(self, message: ProofReply, sender: str) -> None:
        self._peer_clocks_s[sender] = message.at_s
        for version, proofs in message.lists:
            older = self._lists.get(version)
            if older is not None:
                self._add_received_proofs(older, proofs, sender)

    def _add_received_proofs(
        self, older: HostList, proofs: list[SupersessionProof], sender: str
    ) -> None:
        for proof in proofs:
            self._proofs.add_received(older, proof)
            self.receive_version(sender, proof.version)

    def _add_list(self, added: HostList) -> bool:
        """Store a list that is newer than all others or missing between them.

        A list that differs from the stored one of the same version is logged and
        ignored.

        Returns:
            Whether exactly this list is stored now.
        """
        known = self._lists.get(added.version)
        if known is not None:
            if known != added:
                log_message("claims:list_conflict", version=added.version)
            return known == added
        if added.version < self.newest.version and not self._is_missing(added.version):
            return False
        self._lists[added.version] = added
        self._added_s[added.version] = self._timers.now()
        self._proof_due_s = 0.0
        self.receive_version(self._host, added.version)
        self.synchronize()
        return True

    def _make_history_reply(self, requester: str) -> HistoryReply:
        return HistoryReply(
            requester,
            self._incarnation,
            self._established_version,
            sorted(self._seen_versions),
            sorted(self._lists),
            sorted(self._skipped_versions),
            self._floor,
        )

    def _is_missing(self, version: int) -> bool:
        return version in self._list_missing_versions()

    def _list_missing_versions(self) -> list[int]:
        """Return the versions in use whose lists this host does not have."""
        if not self._floor:
            return []
        in_use = range(self._floor, self.newest.version)
        return [
            version
            for version in in_use
            if version not in self._lists and version not in self._skipped_versions
        ]

    def _update_readiness(self) -> None:
        """Confirm the newest list if enough hosts replied; update what follows."""
        newest = self.newest
        waited_s = self._timers.now() - self._added_s.get(newest.version, 0.0)
        if newest.version != self._confirmed_version and self._replies.is_newest(
            newest, waited_s
        ):
            self._confirmed_version = newest.version
        self._update_floor()
        self._record_established()

    def _record_established(self) -> None:
        """Record that this process is ready, and correct its earlier replies.

        Replies from before said that it never was ready, so their receivers could
        not rely on its history.
        """
        if self._established_version or not self.ready:
            return
        self._established_version = self.highest_version
        log_message(
            "claims:established", version=self.highest_version, floor=self._floor
        )
        for host, incarnation in self._requesters.items():
            self._outbox.send(host, self._make_history_reply(incarnation))
        self._requesters.clear()

    def _update_floor(self) -> None:
        """Set the oldest version in use as soon as it can be known.

        Version 1 has no older one. Otherwise, a host that has been ready knows the
        floor; if there is none, all lists that any host has count as in use.
        """
        if self._floor or not self._lists:
            return
        if self.newest.version == 1:
            self._floor = 1
        elif self._replies.find_floor():
            self._floor = self._replies.find_floor()
        elif self._confirmed_version == self.newest.version:
            self._floor = self._replies.find_oldest_stored(self._lists)

    def _pair_older_lists(self) -> list[tuple[HostList, int]]:
        """Return each older list with the next known version, the newest first."""
        versions = sorted(self._lists, reverse=True)
        return [
            (self._lists[version], following)
            for following, version in pairwise(versions)
        ]

    def _close_older_lists(self) -> None:
        """Build proofs that older lists are closed, and query the collectors.

        The collectors are the best ranked hosts of the newest list. All hosts report
        to them, so that hosts need not report to each other.
        """
        if self._timers.now() < self._proof_due_s:
            return
        for older, following in self._pair_older_lists():
            self._proofs.add_own(older, following, self._observations)
        open_lists = [
            OpenList(older.version, self._proofs.count_holders(older.version))
            for older, following in self._pair_older_lists()
            if not self._proofs.covers_every_key(older, following)
        ]
        if not open_lists:
            return
        age_s = self._timers.now() - self._added_s[self.newest.version]
        wait_s = (
            PROOF_INTERVAL_S if age_s < PROOF_FAST_PHASE_S else PROOF_SLOW_INTERVAL_S
        )
        self._proof_due_s = self._timers.now() + wait_s
        ranked = rank_candidates(f"closing-{self.highest_version}", self.newest.names)
        for host in ranked[:COLLECTOR_COUNT]:
            echoed_s = self._peer_clocks_s.get(host, 0.0)
            query = ProofQuery(
                self._incarnation, self.highest_version, echoed_s, open_lists
            )
            if host != self._host:
                self._outbox.send(host, query)

    def _skip_unused_versions(self) -> None:
        """Skip missing versions that a majority of the list below never knew of."""
        for version in self._list_missing_versions():
            below = max((known for known in self._lists if known < version), default=0)
            following = min(known for known in self._lists if known > version)
            if below and self._replies.is_unused(
                version, self._lists[below], following
            ):
                self._skipped_versions.add(version)
                log_message("claims:version_skipped", version=version)

    def _raise_floor(self) -> None:
        """Drop the oldest lists if no unexpired key can be claimed under them."""
        for version in sorted(self._lists)[:-1]:
            if version != self._floor or not self._is_out_of_use(version):
                return
            following = min(known for known in self._lists if known > version)
            if any(
                between in self._list_missing_versions()
                for between in range(version, following)
            ):
                return
            self._drop_list(version, following)

    def _is_out_of_use(self, version: int) -> bool:
        """Whether a list is too old, or closed for all keys that have not expired."""
        following = min(known for known in self._lists if known > version)
        if self._timers.now() > self._added_s[following] + LIST_LIFETIME_S:
            return True
        expired_s = self._timers.wall() - RECORD_LIFETIME_S
        return self._proofs.is_closed_for_all(
            self._lists[version], following, expired_s
        )

    def _drop_list(self, version: int, following: int) -> None:
        """Forget a list and all that concerns it; raise the floor to the next one."""
        del self._lists[version]
        del self._added_s[version]
        self._proofs.drop_proofs(version)
        self._floor = following
        self._skipped_versions = {
            skipped for skipped in self._skipped_versions if skipped >= following
        }
        self._seen_versions = {
            seen for seen in self._seen_versions if seen >= following
        }
        self._observations.drop_below(following)
        names = {name for kept in self._lists.values() for name in kept.names}
        self._replies.drop_others(names)
        self._peer_clocks_s.clear()

    def _list_hosts_to_query(self) -> list[str]:
        """Return the hosts whose ``HistoryReply`` is needed now."""
        if self.newest.version == 0:
            return []
        hosts: set[str] = set()
        if not self.ready:
            hosts.update(self.newest.names)
        for version in self._list_missing_versions():
            below = max((known for known in self._lists if known < version), default=0)
            hosts.update(self._lists[below].names if below else self.newest.names)
        hosts.discard(self._host)
        return sorted(hosts)
