"""The interface through which components send messages to other hosts."""

from collections.abc import Iterable
from typing import Any, Protocol

__all__ = ["Outbox"]


class Outbox(Protocol):
    """Sends typed messages to hosts, without waiting or guarantee of delivery."""

    def send(self, host: str, message: Any) -> bool:
        """Write a message to the stream to a host.

        Args:
            host: Name of the host.
            message: An instance of a registered message class.

        Returns:
            Whether a stream to the host is open. Even then the message may
            be lost.
        """

    def send_to_all(self, hosts: Iterable[str], message: Any) -> None:
        """Write a message to the streams to several other hosts.

        Args:
            hosts: Names of the hosts.
            message: An instance of a registered message class.
        """
