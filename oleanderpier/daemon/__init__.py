"""The daemon: the parts of one entry host put together."""

from oleanderpier.daemon.program import *  # noqa: F403
