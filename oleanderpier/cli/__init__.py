"""The operators' command-line tool, ``oleanderpier``."""

from oleanderpier.cli.program import *  # noqa: F403
