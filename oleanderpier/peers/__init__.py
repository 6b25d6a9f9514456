"""Peers: the streams of typed messages between hosts."""

from oleanderpier.peers.mesh import *  # noqa: F403
from oleanderpier.peers.messages import *  # noqa: F403
