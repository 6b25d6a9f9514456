"""The daemon of one entry host, which connects all its components."""

from oleanderpier.daemon.program import *  # noqa: F403
