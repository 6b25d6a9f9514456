"""Result codes: what became of a request, and why."""

from oleanderpier.results.codes import *  # noqa: F403
