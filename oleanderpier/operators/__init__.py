"""The operators' read-only interface: what hosts answer, and a client."""

from oleanderpier.operators.client import *  # noqa: F403
from oleanderpier.operators.responses import *  # noqa: F403
from oleanderpier.operators.server import *  # noqa: F403
