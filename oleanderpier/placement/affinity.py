"""Which backend servers are likely to hold a chat's cached prefix."""

from collections import OrderedDict

__all__ = ["ChatAffinity"]

MAX_CHATS = 32_768
MAX_SERVERS_PER_CHAT = 3


class ChatAffinity:
    """The last backend servers of each chat, bounded, oldest chat out first.

    Args:
        max_chats: How many chats are remembered.

    Examples:
        >>> homes = ChatAffinity()
        >>> homes.record_placement(7, "e1")
        >>> homes.record_placement(7, "e2")
        >>> homes.find_servers(7)
        ('e2', 'e1')
    """

    def __init__(self, max_chats: int = MAX_CHATS):
        self._servers: OrderedDict[int, tuple[str, ...]] = OrderedDict()
        self._max_chats = max_chats

    def find_servers(self, chat: int) -> tuple[str, ...]:
        """Return a chat's backend servers, newest first."""
        return self._servers.get(chat, ())

    def record_placement(self, chat: int, backend_server: str) -> None:
        """Note that a chat's next turn was placed."""
        older = [name for name in self.find_servers(chat) if name != backend_server]
        self._store(chat, (backend_server, *older)[:MAX_SERVERS_PER_CHAT])

    def record_stored(self, chat: int, backend_server: str) -> None:
        """Note a late report that a chat's prefix was stored.

        What was placed since is newer, so that the report goes last.
        """
        known = self.find_servers(chat)
        if backend_server not in known and len(known) < MAX_SERVERS_PER_CHAT:
            self._store(chat, (*known, backend_server))

    def record_evicted(self, chat: int, backend_server: str) -> None:
        """Note a late report that a chat's prefix was evicted."""
        known = self.find_servers(chat)
        if backend_server not in known:
            return
        left = tuple(name for name in known if name != backend_server)
        if left:
            self._servers[chat] = left
        else:
            del self._servers[chat]

    def _store(self, chat: int, servers: tuple[str, ...]) -> None:
        self._servers[chat] = servers
        self._servers.move_to_end(chat)
        if len(self._servers) > self._max_chats:
            self._servers.popitem(last=False)
