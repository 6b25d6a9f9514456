"""Notices between hosts on the long prompts that they send to backend servers.

A prompt of 11,812 tokens is read in 0.1 to 0.6 s. A notice is therefore sent at once,
and it is neither repeated nor sent to hosts that start later.
"""

from collections.abc import Callable

from oleanderpier.entry.metrics import EntryMetrics, NoticeKind
from oleanderpier.entry.notice_sender import NoticeSender
from oleanderpier.fleet import PrefillNotice
from oleanderpier.routing import MIN_PREFILL_TOKENS, Choice, Prefills, ServerEntry
from oleanderpier.utils import Outbox, Timers

__all__ = ["PrefillNotices"]


class PrefillNotices:
    """Sends and receives notices of long prompts.

    Args:
        prefills: The long prompts that servers are reading.
        estimate_s: Returns how long a server takes to read some tokens.
        find_server: Returns the registration of a server, None if it is unknown.
        list_receivers: Returns the other hosts that take these messages.
        timers: The timer service.
        outbox: Sends messages to other hosts.
        metrics: The metrics of this host.
    """

    def __init__(
        self,
        prefills: Prefills,
        estimate_s: Callable[[ServerEntry, int], float],
        find_server: Callable[[str], ServerEntry | None],
        list_receivers: Callable[[], list[str]],
        timers: Timers,
        outbox: Outbox,
        metrics: EntryMetrics,
    ) -> None:
        self._prefills = prefills
        self._estimate_s = estimate_s
        self._find_server = find_server
        self._timers = timers
        self._sender = NoticeSender(NoticeKind.PREFILL, list_receivers, outbox, metrics)

    def announce(self, choice: Choice) -> None:
        """Record that a request is sent to a server, and tell the others if it is long.

        The tokens are known only for services that are uneven or under permits.
        """
        server, tokens = choice.server, choice.uncached_tokens
        if tokens < MIN_PREFILL_TOKENS:
            return
        now_s = self._timers.now()
        expected_s = self._estimate_s(server, tokens)
        self._prefills.record(server, tokens, expected_s, now_s)
        self._sender.send(
            PrefillNotice(server.identity, server.born_ms, tokens, expected_s), now_s
        )

    def receive(self, sender: str, message: PrefillNotice) -> None:
        """Record a long prompt that another host has sent to a server."""
        self._sender.record_received()
        server = self._find_server(message.identity)
        # The last run of a server that has restarted reads nothing more.
        if server is not None and server.born_ms == message.born_ms:
            self._prefills.record(
                server, message.tokens, message.expected_s, self._timers.now()
            )
