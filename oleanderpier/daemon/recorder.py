"""Records events of a daemon's components in its event buffer."""

from oleanderpier.configuration import (
    DOCUMENT_NAMES,
    DocumentRefusal,
    Documents,
    PublishedDocument,
)
from oleanderpier.events import EventBuffer
from oleanderpier.membership import BackendServers, Members, MemberState, ServerState
from oleanderpier.placement import Permit
from oleanderpier.relay import Step
from oleanderpier.results import Code

__all__ = ["EventRecorder"]


class EventRecorder:
    """Subscribes to the components of a daemon and records their events.

    Args:
        events: The event buffer of this process.
    """

    def __init__(self, events: EventBuffer) -> None:
        self._events = events

    def subscribe(
        self, documents: Documents, members: Members, servers: BackendServers
    ) -> None:
        """Record documents in force and refused, and states of hosts and servers."""
        for name in DOCUMENT_NAMES:
            documents.subscribe(name, self._record_document)
        documents.subscribe_refusals(self._record_refusal)
        members.subscribe(self._record_member_state)
        servers.subscribe(self._record_server_state)

    def record_state(self, host: str, state: str) -> None:
        """Record a change of the daemon's own state."""
        self._events.record(f"daemon:{state}", host)

    def record_request_failure(self, subject: str, code: Code, work_class: str) -> None:
        """Record a request that ended with another code than ``DONE``."""
        self._events.record("request:failed", subject, code, work_class)

    def record_failed_attempt(self, server: str, step: Step) -> None:
        """Record an attempt that failed at a backend server."""
        self._events.record("relay:attempt_failed", server, text=step.value)

    def record_stream_move(self, permit: Permit) -> None:
        """Record that a stream moves to another backend server."""
        self._events.record("relay:moved", permit.backend_server, text=permit.request)

    def _record_document(self, published: PublishedDocument) -> None:
        text = f"version {published.version}, digest {published.digest}"
        self._events.record("configuration:in_force", published.name, text=text)

    def _record_refusal(self, refusal: DocumentRefusal) -> None:
        code = Code.CONFIGURATION_INVALID
        self._events.record("configuration:refused", refusal.name, code, refusal.text)

    def _record_member_state(self, host: str, state: MemberState) -> None:
        self._events.record("membership:state", host, text=state.name.lower())

    def _record_server_state(self, server: str, state: ServerState) -> None:
        self._events.record("membership:server", server, text=state.name.lower())
