"""The HTTP client towards backend servers and the platform."""

from oleanderpier.connections.sessions import *  # noqa: F403
