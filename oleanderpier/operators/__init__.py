"""The operators' read-only interface: what hosts answer, and a client."""

from oleanderpier.operators.answers import *  # noqa: F403
