"""The command-line tool for operators, ``oleanderpier``."""

from oleanderpier.cli.program import *  # noqa: F403
