"""The backend servers that are likely to have a chat's prompt prefix cached."""

from collections import OrderedDict

__all__ = ["ChatAffinity"]

MAX_CHATS = 32_768
MAX_SERVERS_PER_CHAT = 3


class ChatAffinity:
    """The last backend servers of each chat, in a bounded table.

    The least recently placed chat is dropped first.

    Args:
        max_chats: The maximum number of chats in the table.

    Examples:
        >>> affinity = ChatAffinity()
        >>> affinity.record_placement(7, "e1")
        >>> affinity.record_placement(7, "e2")
        >>> affinity.find_servers(7)
        ('e2', 'e1')
    """

    def __init__(self, max_chats: int = MAX_CHATS):
        self._servers: OrderedDict[int, tuple[str, ...]] = OrderedDict()
        self._max_chats = max_chats

    def find_servers(self, chat: int) -> tuple[str, ...]:
        """Return a chat's backend servers, newest first."""
        return self._servers.get(chat, ())

    def record_placement(self, chat: int, backend_server: str) -> None:
        """Record that a request of a chat was placed on a server."""
        older = [name for name in self.find_servers(chat) if name != backend_server]
        self._store(chat, (backend_server, *older)[:MAX_SERVERS_PER_CHAT])

    def record_stored(self, chat: int, backend_server: str) -> None:
        """Record a cache event that a server has stored a chat's prompt prefix.

        Cache events arrive late, so placements may be newer: the server is
        added as the oldest of the chat's servers.
        """
        servers = self.find_servers(chat)
        if backend_server not in servers and len(servers) < MAX_SERVERS_PER_CHAT:
            self._store(chat, (*servers, backend_server))

    def record_evicted(self, chat: int, backend_server: str) -> None:
        """Record a cache event that a server has evicted a chat's prompt prefix."""
        servers = self.find_servers(chat)
        if backend_server not in servers:
            return
        remaining = tuple(name for name in servers if name != backend_server)
        if remaining:
            self._servers[chat] = remaining
        else:
            del self._servers[chat]

    def _store(self, chat: int, servers: tuple[str, ...]) -> None:
        self._servers[chat] = servers
        self._servers.move_to_end(chat)
        if len(self._servers) > self._max_chats:
            self._servers.popitem(last=False)
