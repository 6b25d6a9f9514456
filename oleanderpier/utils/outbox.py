"""The one interface through which parts send to other hosts."""

from collections.abc import Iterable
from typing import Any, Protocol

__all__ = ["Outbox"]


class Outbox(Protocol):
    """Sends typed messages to hosts, best effort and without waiting."""

    def send(self, host: str, message: Any) -> bool:
        """Hand a registered message to the stream towards a host.

        Args:
            host: The name of the host.
            message: An instance of a registered message class.

        Returns:
            Whether a stream to the host was open. True is no promise that
            the message arrives.
        """

    def send_to_all(self, hosts: Iterable[str], message: Any) -> None:
        """Hand one message to the streams towards several other hosts.

        Args:
            hosts: Their names.
            message: An instance of a registered message class.
        """
