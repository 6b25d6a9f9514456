"""Runs an entry host: ``python3 -m oleanderpier.platform``."""

from oleanderpier.platform.program import run

run()
