"""Where a host is to be found."""

from typing import NamedTuple

__all__ = ["HostEndpoint"]


class HostEndpoint(NamedTuple):
    """Where a host is to be found.

    Attributes:
        host: The host's name.
        failure_domain: Its failure domain.
        address: IP number of its peer port.
        peer_port: Its peer port.
    """

    host: str
    failure_domain: str
    address: str
    peer_port: int
