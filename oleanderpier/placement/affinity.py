"""Which backend servers are likely to hold a chat's cached prefix."""

from collections import OrderedDict

__all__ = ["ChatHomes"]

MAX_CHATS = 32_768
HOMES_PER_CHAT = 3


class ChatHomes:
    """The last backend servers of each chat, bounded, oldest chat out first.

    Args:
        max_chats: How many chats are remembered.

    Examples:
        >>> homes = ChatHomes()
        >>> homes.record(7, "e1")
        >>> homes.record(7, "e2")
        >>> homes.find(7)
        ('e2', 'e1')
    """

    def __init__(self, max_chats: int = MAX_CHATS):
        self._homes: OrderedDict[int, tuple[str, ...]] = OrderedDict()
        self._max_chats = max_chats

    def find(self, chat: int) -> tuple[str, ...]:
        """Return a chat's backend servers, newest first."""
        return self._homes.get(chat, ())

    def record(self, chat: int, backend_server: str) -> None:
        """Note that a chat's next turn was placed."""
        older = [name for name in self.find(chat) if name != backend_server]
        self._keep(chat, (backend_server, *older)[:HOMES_PER_CHAT])

    def note_stored(self, chat: int, backend_server: str) -> None:
        """Note a late report that a chat's prefix was stored.

        What was placed since is newer, so that the report goes last.
        """
        known = self.find(chat)
        if backend_server not in known and len(known) < HOMES_PER_CHAT:
            self._keep(chat, (*known, backend_server))

    def note_evicted(self, chat: int, backend_server: str) -> None:
        """Note a late report that a chat's prefix was evicted."""
        known = self.find(chat)
        if backend_server not in known:
            return
        left = tuple(name for name in known if name != backend_server)
        if left:
            self._homes[chat] = left
        else:
            del self._homes[chat]

    def _keep(self, chat: int, homes: tuple[str, ...]) -> None:
        self._homes[chat] = homes
        self._homes.move_to_end(chat)
        if len(self._homes) > self._max_chats:
            self._homes.popitem(last=False)
