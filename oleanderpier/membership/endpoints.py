"""The address at which a host accepts messages from its peers."""

from typing import NamedTuple

__all__ = ["HostEndpoint"]


class HostEndpoint(NamedTuple):
    """A host's name, failure domain and peer address.

    Attributes:
        host: The host's name.
        failure_domain: The failure domain that the host is in.
        address: IP address on which the host listens for peers.
        peer_port: TCP port on which the host listens for peers.
    """

    host: str
    failure_domain: str
    address: str
    peer_port: int
