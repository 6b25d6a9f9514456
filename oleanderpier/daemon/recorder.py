"""Writes what happens to the parts of a daemon on its time line."""

from oleanderpier.configuration import (
    DOCUMENT_NAMES,
    DocumentRefusal,
    Documents,
    PublishedDocument,
)
from oleanderpier.events import Ring
from oleanderpier.membership import BackendServers, Members, MemberState, ServerState
from oleanderpier.placement import Permit
from oleanderpier.relay import Step
from oleanderpier.results import Code

__all__ = ["Recorder"]


class Recorder:
    """Subscribes to the parts and keeps their events.

    Args:
        ring: The time line of this process.
    """

    def __init__(self, ring: Ring) -> None:
        self._ring = ring

    def follow(
        self, documents: Documents, members: Members, servers: BackendServers
    ) -> None:
        """Record what comes into force, and who comes and goes."""
        for name in DOCUMENT_NAMES:
            documents.subscribe(name, self._record_document)
        documents.subscribe_refusals(self._record_refusal)
        members.subscribe(self._record_member)
        servers.subscribe(self._record_server)

    def record_state(self, host: str, state: str) -> None:
        """Record a step in the life of the daemon itself."""
        self._ring.record(f"daemon:{state}", host)

    def record_failure(self, subject: str, code: Code, work_class: str) -> None:
        """Record a request that did not end as done."""
        self._ring.record("request:failed", subject, code, work_class)

    def record_attempt(self, server: str, step: Step) -> None:
        """Record a backend server's failure to go on with an answer."""
        self._ring.record("relay:attempt_failed", server, text=step.value)

    def record_move(self, permit: Permit) -> None:
        """Record that a stream is to go on at another backend server."""
        self._ring.record("relay:moved", permit.backend_server, text=permit.request)

    def _record_document(self, published: PublishedDocument) -> None:
        text = f"version {published.version}, digest {published.digest}"
        self._ring.record("configuration:in_force", published.name, text=text)

    def _record_refusal(self, refusal: DocumentRefusal) -> None:
        code = Code.CONFIGURATION_INVALID
        self._ring.record("configuration:refused", refusal.name, code, refusal.text)

    def _record_member(self, host: str, state: MemberState) -> None:
        self._ring.record("membership:state", host, text=state.name.lower())

    def _record_server(self, server: str, state: ServerState) -> None:
        self._ring.record("membership:server", server, text=state.name.lower())
